//! Structured logs: one JSON object a line, one line a change of state.

use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;
use thiserror::Error;

use crate::bounded::BoundedWriter;

/// Result of this module.
pub type Result<T> = std::result::Result<T, LogError>;

/// Why logging did not start.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level or the output was refused.
    #[error("logging did not start: {0}; use a level such as info or warn")]
    Start(#[from] FlexiLoggerError),
    /// The thread that writes could not be started.
    #[error("logging did not start: {0}; are there too many threads?")]
    Thread(std::io::Error),
}

/// Prefix of the names of the product's own areas.
const OWN_AREAS: &str = "jy";

/// Starts logging to standard error at a level such as `info`. Libraries log warnings only.
///
/// # Errors
///
/// [`LogError::Start`] if the level is not understood or logging runs already.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let levels = format!("warn, {OWN_AREAS}={level}");
    Ok(Logger::try_with_str(levels)?.format(write_line).start()?)
}

/// Starts logging to standard output at a level such as `info`, without ever blocking on it. Libraries log
/// warnings only.
///
/// # Errors
///
/// [`LogError::Start`] if the level is not understood or logging runs already, [`LogError::Thread`] if no
/// thread can be started.
pub fn start_on_stdout(level: &str) -> Result<LoggerHandle> {
    let levels = format!("warn, {OWN_AREAS}={level}");
    let writer = BoundedWriter::new(Box::new(std::io::stdout())).map_err(LogError::Thread)?;
    let logger = Logger::try_with_str(levels)?;
    Ok(logger.log_to_writer(Box::new(writer)).start()?)
}

/// Writes one record as a JSON object.
///
/// # Errors
///
/// What the output says.
pub(crate) fn write_line(
    output: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let line = serde_json::json!({
        "at": now.now_utc_owned().to_rfc3339(),
        "level": record.level().as_str(),
        "area": record.target(),
        "message": record.args().to_string(),
    });
    write!(output, "{line}")
}
