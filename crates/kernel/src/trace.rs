//! Recorded traces and the outcomes stated for them.
//!
//! A trace is JSON lines: a header with the area and its settings, then one event a line. Replaying
//! it yields figures by name; an outcome states a bound for some of them.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Result of this module.
pub type Result<T> = std::result::Result<T, TraceError>;

/// Figures of a replay, by name.
pub type FigureMap = BTreeMap<Name, f64>;

/// Why a trace was not read.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The trace has no header line.
    #[error("{0}:1: the trace is empty; its first line must be a header with \"area\"")]
    Empty(Name),
    /// A line is not what its place asks for.
    #[error("{source_name}:{line}: {cause}; see docs/traces.md for the form of a line")]
    Line {
        /// File name.
        source_name: Name,
        /// Line, from 1.
        line: usize,
        /// What the parser found.
        cause: serde_json::Error,
    },
}

impl TraceError {
    /// Tells what is wrong with the settings in the header of the trace `source`.
    #[must_use]
    pub fn in_header(source: &str, cause: serde_json::Error) -> Self {
        Self::Line {
            source_name: source.into(),
            line: 1,
            cause,
        }
    }
}

/// First line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// Which decision it drives.
    pub area: Name,
    /// Seed of the decision's random numbers.
    pub seed: u64,
    /// The decision's settings.
    pub settings: serde_json::Value,
}

/// Any other line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceLine<E> {
    /// When the event happened.
    pub at: Millis,
    /// The event.
    pub event: E,
}

/// A bound on one figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FigureBound {
    /// Name of the figure.
    pub figure: Name,
    /// Smallest value allowed.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Largest value allowed.
    #[serde(default)]
    pub at_most: Option<f64>,
}

/// A figure that breaks its bound or is missing.
#[derive(Clone, Debug, PartialEq)]
pub struct FigureDifference {
    /// The broken bound.
    pub bound: FigureBound,
    /// What the replay yielded.
    pub found: Option<f64>,
}

/// Reads the header of a trace.
///
/// # Errors
///
/// [`TraceError`] with the line.
pub fn read_header(source: &str, text: &str) -> Result<TraceHeader> {
    let first = text
        .lines()
        .next()
        .ok_or_else(|| TraceError::Empty(source.into()))?;
    parse_line(source, 1, first)
}

/// Reads the events of a trace.
///
/// # Errors
///
/// [`TraceError`] with the line.
pub fn read_events<E: DeserializeOwned>(source: &str, text: &str) -> Result<Vec<TraceLine<E>>> {
    text.lines()
        .enumerate()
        .skip(1)
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| parse_line(source, index + 1, line))
        .collect()
}

/// Parses one line.
///
/// # Errors
///
/// [`TraceError::Line`].
fn parse_line<T: DeserializeOwned>(source: &str, line: usize, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|cause| TraceError::Line {
        source_name: source.into(),
        line,
        cause,
    })
}

/// Returns the figures that break their bounds.
#[must_use]
pub fn compare(figures: &FigureMap, bounds: &[FigureBound]) -> Vec<FigureDifference> {
    let breaks = |bound: &&FigureBound| {
        figures.get(&bound.figure).is_none_or(|found| {
            bound.at_least.is_some_and(|least| *found < least)
                || bound.at_most.is_some_and(|most| *found > most)
        })
    };
    let difference = |bound: &FigureBound| FigureDifference {
        bound: bound.clone(),
        found: figures.get(&bound.figure).copied(),
    };
    bounds.iter().filter(breaks).map(difference).collect()
}
