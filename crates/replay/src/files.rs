//! Lists trace files and replays them against the outcome files beside them.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use jy_kernel::trace::FigureBound;
use jy_kernel::trace::FigureDifference;
use jy_kernel::trace::FigureMap;
use jy_kernel::trace::compare;

use crate::areas;

/// File extension of a trace.
const TRACE_EXTENSION: &str = "jsonl";

/// File extension of an outcome file, which replaces the trace's.
const OUTCOME_EXTENSION: &str = "outcome.json";

/// Result of the replay of one trace.
#[derive(Clone, Debug)]
pub struct ReplayResult {
    /// Path of the trace.
    pub trace: PathBuf,
    /// All figures that the replay computed.
    pub figures: FigureMap,
    /// Figures that violate a bound of the expected outcome.
    pub differences: Vec<FigureDifference>,
}

/// Lists the traces of a path, sorted: the file itself, or all traces in a folder and its subfolders.
///
/// # Errors
///
/// If the path can't be read or contains no trace.
pub fn list_traces(path: &Path) -> Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut found = Vec::new();
    collect_traces(path, &mut found)?;
    if found.is_empty() {
        bail!(
            "no trace found in {}; the file extension of traces is .{TRACE_EXTENSION}",
            path.display()
        );
    }
    found.sort();
    Ok(found)
}

/// Collects the traces in a folder and its subfolders.
///
/// # Errors
///
/// If a folder can't be read.
fn collect_traces(folder: &Path, found: &mut Vec<PathBuf>) -> Result<()> {
    let entries = fs::read_dir(folder).with_context(|| {
        format!(
            "could not read folder {}; expected a trace file or a folder of traces",
            folder.display()
        )
    })?;
    for entry in entries {
        let path = entry?.path();
        if path.is_dir() {
            collect_traces(&path, found)?;
        } else if path
            .extension()
            .is_some_and(|extension| extension == TRACE_EXTENSION)
        {
            found.push(path);
        }
    }
    Ok(())
}

/// Replays a trace and compares its figures with an outcome file, by default the one beside the trace.
///
/// # Errors
///
/// If a file can't be read or is invalid, or the area of the trace is unknown.
pub fn replay(trace: &Path, outcome: Option<&Path>) -> Result<ReplayResult> {
    let default_outcome = trace.with_extension(OUTCOME_EXTENSION);
    let outcome = outcome.unwrap_or(&default_outcome);
    let source = trace.display().to_string();
    let text = read_file(trace)?;
    let bounds: Vec<FigureBound> = serde_json::from_str(&read_file(outcome)?).with_context(|| {
        let path = outcome.display();
        format!(
            "invalid outcome file {path}: expected a JSON list of objects with figure, at_least and \
             at_most"
        )
    })?;
    let Some(replay) = areas::find_replay(&source, &text)? else {
        let known: Vec<&str> = areas::REPLAYS.iter().map(|(area, _)| *area).collect();
        bail!(
            "{source}:1: unknown area in the header; expected one of {}",
            known.join(", ")
        );
    };
    let figures = replay(&source, &text)?;
    Ok(ReplayResult {
        trace: trace.to_path_buf(),
        differences: compare(&figures, &bounds),
        figures,
    })
}

/// # Errors
///
/// If the file can't be read; the error names its path.
fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))
}
