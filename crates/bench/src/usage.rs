//! Processor time and memory of a process, as reported in `/proc`.

use std::fs;

use anyhow::Context;
use anyhow::Result;

/// Index of the user time in `/proc/PID/stat`, counted from the field after the command name. The system time
/// follows.
const USER_TIME_FIELD: usize = 11;
/// Unit of the times in `/proc/PID/stat`.
const CLOCK_TICK_MS: f64 = 10.0;

/// Resources that a process has used since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time in user and system mode, in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in mebibytes.
    pub rss_mb: f64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// If the process no longer exists, or a figure is missing in its `stat` or `status` file.
    pub fn read(pid: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let field = |index: usize| -> Result<f64> {
            let text = after_name.split_whitespace().nth(index);
            Ok(text.context("/proc/PID/stat has too few fields")?.parse()?)
        };
        let ticks = field(USER_TIME_FIELD)? + field(USER_TIME_FIELD + 1)?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        Ok(Self {
            cpu_ms: ticks * CLOCK_TICK_MS,
            rss_mb: kilobytes
                .context("/proc/PID/status has no VmRSS")?
                .parse::<f64>()?
                / 1_024.0,
        })
    }
}
