//! Reads workspace files and agent settings from disk.

use std::fs;
use std::path::Path;

use jy_config::agent;
use jy_config::agent::AgentSettings;
use jy_config::render;
use jy_config::render::SourceText;
use jy_types::workspace::WorkspaceRecord;

use crate::error::CtlError;
use crate::error::Result;

/// Reads a file and keeps its path as the name for findings.
///
/// # Errors
///
/// [`CtlError::File`] if the file cannot be read.
pub fn read(path: &str) -> Result<SourceText> {
    let text = fs::read_to_string(path).map_err(|cause| CtlError::File {
        path: path.into(),
        cause,
    })?;
    Ok(SourceText {
        name: path.into(),
        text,
    })
}

/// Renders a workspace file. Template names are relative to the directory of the file.
///
/// # Errors
///
/// [`CtlError::File`] if the file cannot be read, or [`CtlError::Findings`] if it or its template has
/// findings.
pub fn render(path: &str) -> Result<WorkspaceRecord> {
    let source = read(path)?;
    let directory = Path::new(path).parent().unwrap_or(Path::new(""));
    let load = |name: &str| {
        let path = directory.join(name);
        let text = fs::read_to_string(&path).map_err(|cause| cause.to_string())?;
        Ok(SourceText {
            name: path.to_string_lossy().into(),
            text,
        })
    };
    Ok(render::render(&source, load)?)
}

/// Reads the settings of an agent from a file.
///
/// # Errors
///
/// [`CtlError::File`] if the file cannot be read, or [`CtlError::Findings`] if it has findings.
pub fn agent_settings(path: &str) -> Result<AgentSettings> {
    let source = read(path)?;
    Ok(agent::parse(&source.name, &source.text)?)
}
