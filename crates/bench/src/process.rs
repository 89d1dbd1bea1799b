//! A child process that is stopped on every way out, by its own pid.

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

/// Time between looks whether a process has ended, in milliseconds.
const LOOK_MS: u64 = 5;

/// A running child process. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program that stands beside this one. Its output goes to `log`.
    ///
    /// # Errors
    ///
    /// If the program is missing or can't be started.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self> {
        let path = sibling(program)?;
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
    /// If the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal)
            .with_context(|| format!("could not signal process {}", self.pid()))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself, which is as good.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Returns how the process ended, or none while it runs.
    ///
    /// # Errors
    ///
    /// If the process can't be asked.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process ends by itself, at most `limit_ms`; none if it still runs.
    ///
    /// # Errors
    ///
    /// If the process can't be asked.
    pub async fn wait(&mut self, limit_ms: u64) -> Result<Option<ExitStatus>> {
        for _ in 0..limit_ms / LOOK_MS {
            if let Some(status) = self.ended()? {
                return Ok(Some(status));
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        self.ended()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program beside this one.
///
/// # Errors
///
/// If it is not there.
fn sibling(program: &str) -> Result<PathBuf> {
    let own = std::env::current_exe().context("could not find the path of this program")?;
    let path = own.with_file_name(program);
    if !path.is_file() {
        anyhow::bail!(
            "{} is missing; build all programs first: cargo build --release --workspace",
            path.display()
        );
    }
    Ok(path)
}
