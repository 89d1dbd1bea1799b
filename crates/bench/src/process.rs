//! Child processes that are killed, each by its own pid, when their handle is dropped.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::time::sleep;

/// Interval between checks whether a process has exited.
const POLL_INTERVAL_MS: u64 = 5;

/// A running child process. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program from the directory of this executable and appends its output to `log`.
    ///
    /// # Errors
    ///
    /// If the program is missing, `log` can't be opened, or the program can't be started.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self> {
        let path = sibling_program(program)?;
        let output = File::options()
            .create(true)
            .append(true)
            .open(log)
            .with_context(|| format!("could not write {}", log.display()))?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::from(output.try_clone()?))
            .stderr(Stdio::from(output))
            .spawn()
            .with_context(|| format!("could not start {}", path.display()))?;
        Ok(Self { child })
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// If the process no longer exists.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal)
            .with_context(|| format!("could not signal process {}", self.pid()))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Errors are ignored: the process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Returns the exit status, or none while the process is running.
    ///
    /// # Errors
    ///
    /// If the exit status can't be read.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits up to `limit_ms` for the process to exit by itself. Returns none if it is still running.
    ///
    /// # Errors
    ///
    /// If the exit status can't be read.
    pub async fn wait(&mut self, limit_ms: u64) -> Result<Option<ExitStatus>> {
        for _ in 0..limit_ms / POLL_INTERVAL_MS {
            if let Some(status) = self.exit_status()? {
                return Ok(Some(status));
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        self.exit_status()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program in the directory of this executable.
///
/// # Errors
///
/// If the path of this executable is unknown or the program is missing.
fn sibling_program(program: &str) -> Result<PathBuf> {
    let executable =
        std::env::current_exe().context("could not find the path of this executable")?;
    let path = executable.with_file_name(program);
    if !path.is_file() {
        anyhow::bail!(
            "{} is missing; build all programs first: cargo build --release --workspace",
            path.display()
        );
    }
    Ok(path)
}
