//! Recorded traces and the bounds on the figures of their replay.
//!
//! A trace consists of JSON lines: a header with the area and its settings, then one event per line. Its replay
//! returns named figures. The expected outcome of a trace bounds some of them.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Result of reading a trace.
pub type Result<T> = std::result::Result<T, TraceError>;

/// Figures of a replay, by name.
pub type FigureMap = BTreeMap<Name, f64>;

/// Why a trace could not be read.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The trace has no header line.
    #[error("{0}:1: the trace is empty; its first line must be a header with \"area\"")]
    Empty(Name),
    /// A line is not a valid header or event.
    #[error("{source_name}:{line}: {cause}; see docs/traces.md for the format of a line")]
    Line {
        /// Name of the trace file.
        source_name: Name,
        /// Line number, from 1.
        line: usize,
        /// Error of the parser.
        cause: serde_json::Error,
    },
}

impl TraceError {
    /// Creates the error for invalid settings in the header of the trace `source`.
    #[must_use]
    pub fn invalid_settings(source: &str, cause: serde_json::Error) -> Self {
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
    /// State machine that the trace drives.
    pub area: Name,
    /// Seed of the state machine's random numbers.
    pub seed: u64,
    /// Settings of the state machine.
    pub settings: serde_json::Value,
}

/// Line of a trace after the header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceLine<E> {
    /// Time of the event.
    pub at: Millis,
    /// The event.
    pub event: E,
}

/// Bounds of one figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FigureBound {
    /// Name of the figure.
    pub figure: Name,
    /// Minimum value.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Maximum value.
    #[serde(default)]
    pub at_most: Option<f64>,
}

/// A figure that violates its bounds or is missing.
#[derive(Clone, Debug, PartialEq)]
pub struct FigureDifference {
    /// The violated bounds.
    pub bound: FigureBound,
    /// Value in the replay; none if the figure is missing.
    pub found: Option<f64>,
}

/// Reads the header of a trace.
///
/// # Errors
///
/// [`TraceError::Empty`] if there is no line, [`TraceError::Line`] if the header cannot be parsed.
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
/// [`TraceError::Line`] if an event cannot be parsed.
pub fn read_events<E: DeserializeOwned>(source: &str, text: &str) -> Result<Vec<TraceLine<E>>> {
    text.lines()
        .enumerate()
        .skip(1)
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| parse_line(source, index + 1, line))
        .collect()
}

/// Parses one line of the trace `source`.
///
/// # Errors
///
/// [`TraceError::Line`] if the line cannot be parsed.
fn parse_line<T: DeserializeOwned>(source: &str, line: usize, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|cause| TraceError::Line {
        source_name: source.into(),
        line,
        cause,
    })
}

/// Returns the figures that violate their bounds or are missing.
#[must_use]
pub fn compare(figures: &FigureMap, bounds: &[FigureBound]) -> Vec<FigureDifference> {
    let is_violated = |bound: &&FigureBound| {
        figures.get(&bound.figure).is_none_or(|found| {
            bound.at_least.is_some_and(|minimum| *found < minimum)
                || bound.at_most.is_some_and(|maximum| *found > maximum)
        })
    };
    let difference = |bound: &FigureBound| FigureDifference {
        bound: bound.clone(),
        found: figures.get(&bound.figure).copied(),
    };
    bounds.iter().filter(is_violated).map(difference).collect()
}
