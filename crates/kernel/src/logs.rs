//! Structured logs: one JSON object per line, one line per state change.

use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;
use thiserror::Error;

use crate::bounded::BoundedWriter;

/// Result of starting the logs.
pub type Result<T> = std::result::Result<T, LogError>;

/// Why logging did not start.
#[derive(Debug, Error)]
pub enum LogError {
    /// The logger rejected the level or its output, or a logger is already running.
    #[error("cannot start logging: {0}; if the level is invalid, use one such as info or warn")]
    Start(#[from] FlexiLoggerError),
    /// The thread that writes the lines could not be started.
    #[error("cannot start the logging thread: {0}; check the limit of threads")]
    Thread(std::io::Error),
}

/// Common prefix of the log targets of this workspace's crates.
const TARGET_PREFIX: &str = "jy";

/// Starts logging to standard error at a level such as `info`. Dependencies log warnings only.
///
/// # Errors
///
/// [`LogError::Start`] if the level cannot be parsed or a logger is already running.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let log_spec = format!("warn, {TARGET_PREFIX}={level}");
    Ok(Logger::try_with_str(log_spec)?.format(write_line).start()?)
}

/// Starts logging to standard output at a level such as `info`, without ever blocking on it. Dependencies log
/// warnings only.
///
/// # Errors
///
/// [`LogError::Start`] if the level cannot be parsed or a logger is already running, [`LogError::Thread`] if
/// the writing thread cannot be started.
pub fn start_on_stdout(level: &str) -> Result<LoggerHandle> {
    let log_spec = format!("warn, {TARGET_PREFIX}={level}");
    let writer = BoundedWriter::new(Box::new(std::io::stdout())).map_err(LogError::Thread)?;
    let logger = Logger::try_with_str(log_spec)?;
    Ok(logger.log_to_writer(Box::new(writer)).start()?)
}

/// Writes one record as a JSON object.
///
/// # Errors
///
/// The error of the output.
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
