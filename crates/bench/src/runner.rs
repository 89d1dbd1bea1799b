//! Runs a trial with processes to its end, or until this program is told to stop. Either way every
//! process that the trial started is stopped.

use std::future::Future;

use anyhow::Result;
use anyhow::bail;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs a trial on an actix system of its own.
///
/// # Errors
///
/// What the trial says, or that a signal stopped it.
pub fn run<T>(trial: impl Future<Output = Result<T>>) -> Result<T> {
    actix_rt::System::new().block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            result = trial => result,
            _ = interrupt.recv() => bail!("interrupted; every process is stopped"),
            _ = terminate.recv() => bail!("told to stop; every process is stopped"),
        }
    })
}
