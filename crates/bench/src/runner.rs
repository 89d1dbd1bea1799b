//! Runs a trial with processes until it ends or this program gets SIGINT or SIGTERM. In each case, every
//! process that the trial started is stopped.

use std::future::Future;

use anyhow::Result;
use anyhow::bail;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs a trial on its own actix system.
///
/// # Errors
///
/// If the trial fails, a signal handler cannot be installed, or a signal ends the trial.
pub fn run<T>(trial: impl Future<Output = Result<T>>) -> Result<T> {
    actix_rt::System::new().block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            result = trial => result,
            _ = interrupt.recv() => bail!("trial interrupted by SIGINT; all of its processes are stopped"),
            _ = terminate.recv() => bail!("trial terminated by SIGTERM; all of its processes are stopped"),
        }
    })
}
