//! Processor time and memory of a process, as the kernel counts them.

use std::fs;

use anyhow::Context;
use anyhow::Result;

/// Column of the user time after the command name in a process's `stat`.
const USER_TIME_COLUMN: usize = 11;
/// Length of a clock tick of `stat`, in milliseconds.
const TICK_MS: f64 = 10.0;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time, in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in megabytes.
    pub rss_mb: f64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// If the process is gone.
    pub fn read(pid: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let column = |index: usize| -> Result<f64> {
            let text = after_name.split_whitespace().nth(index);
            Ok(text.context("a column of stat is missing")?.parse()?)
        };
        let ticks = column(USER_TIME_COLUMN)? + column(USER_TIME_COLUMN + 1)?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        Ok(Self {
            cpu_ms: ticks * TICK_MS,
            rss_mb: kilobytes.context("VmRSS is missing")?.parse::<f64>()? / 1_024.0,
        })
    }
}
