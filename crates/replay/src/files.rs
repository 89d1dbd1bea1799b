//! Trace files and the outcome files beside them.

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

/// Ending of a trace file.
const TRACE_ENDING: &str = "jsonl";

/// Ending of an outcome file, in place of the trace's.
const OUTCOME_ENDING: &str = "outcome.json";

/// What the replay of one trace yielded.
#[derive(Clone, Debug)]
pub struct ReplayResult {
    /// The trace.
    pub trace: PathBuf,
    /// All figures.
    pub figures: FigureMap,
    /// Figures that break the stated outcome.
    pub differences: Vec<FigureDifference>,
}

/// Lists the traces that a path names: the file itself, or every trace below a folder, in order.
///
/// # Errors
///
/// If the path can't be read or holds no trace.
pub fn list(path: &Path) -> Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut found = Vec::new();
    collect(path, &mut found)?;
    if found.is_empty() {
        bail!(
            "{} holds no trace; traces end in .{TRACE_ENDING}",
            path.display()
        );
    }
    found.sort();
    Ok(found)
}

/// Collects the traces below a folder.
///
/// # Errors
///
/// If the folder can't be read.
fn collect(folder: &Path, found: &mut Vec<PathBuf>) -> Result<()> {
    let entries = fs::read_dir(folder).with_context(|| {
        format!(
            "could not read {}; give a trace or a folder",
            folder.display()
        )
    })?;
    for entry in entries {
        let path = entry?.path();
        if path.is_dir() {
            collect(&path, found)?;
        } else if path
            .extension()
            .is_some_and(|ending| ending == TRACE_ENDING)
        {
            found.push(path);
        }
    }
    Ok(())
}

/// Replays a trace against an outcome file, by default the one beside it.
///
/// # Errors
///
/// If a file can't be read or understood, or no decision has the trace's area.
pub fn replay(trace: &Path, outcome: Option<&Path>) -> Result<ReplayResult> {
    let beside = trace.with_extension(OUTCOME_ENDING);
    let outcome = outcome.unwrap_or(&beside);
    let source = trace.display().to_string();
    let text = read(trace)?;
    let bounds: Vec<FigureBound> = serde_json::from_str(&read(outcome)?).with_context(|| {
        let path = outcome.display();
        format!("{path}: an outcome is a JSON list of figure, at_least and at_most")
    })?;
    let Some(replay) = areas::find(&source, &text)? else {
        let known: Vec<&str> = areas::AREAS.iter().map(|(area, _)| *area).collect();
        bail!(
            "{source}:1: no decision has this area; known are {}",
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

/// Reads a file.
///
/// # Errors
///
/// With its path.
fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))
}
