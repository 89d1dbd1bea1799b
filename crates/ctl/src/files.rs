//! Reads workspace files and renders them.

use std::fs;
use std::path::Path;

use jy_config::agent;
use jy_config::agent::AgentSettings;
use jy_config::render;
use jy_config::render::SourceText;
use jy_types::workspace::WorkspaceRecord;

use crate::error::CtlError;
use crate::error::Result;

/// Reads a file.
///
/// # Errors
///
/// [`CtlError::File`].
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

/// Renders a workspace file. The templates that it names are looked for beside it.
///
/// # Errors
///
/// [`CtlError::File`] or [`CtlError::Findings`].
pub fn render(path: &str) -> Result<WorkspaceRecord> {
    let source = read(path)?;
    let folder = Path::new(path).parent().unwrap_or(Path::new(""));
    let load = |name: &str| {
        let path = folder.join(name);
        let text = fs::read_to_string(&path).map_err(|cause| cause.to_string())?;
        Ok(SourceText {
            name: path.to_string_lossy().into(),
            text,
        })
    };
    Ok(render::render(&source, load)?)
}

/// Reads the settings of an agent.
///
/// # Errors
///
/// [`CtlError::File`] or [`CtlError::Findings`].
pub fn agent_settings(path: &str) -> Result<AgentSettings> {
    let source = read(path)?;
    Ok(agent::parse(&source.name, &source.text)?)
}
