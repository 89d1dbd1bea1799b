//! One run of a request: its work, what ends it early, and the body of its answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_types::name::Name;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::backend_state::BackendState;
use crate::journal::RunOutcome;

/// Query parameter with the time that the work takes, in milliseconds.
pub const WORK_PARAMETER: &str = "work";
/// Query parameter with the size of the answer's padding, in bytes.
pub const PAD_PARAMETER: &str = "pad";

/// Body of an answer. The caller finds its own path, which it makes unique, and the checksum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoAnswer {
    /// Path and query of the request.
    pub path: Name,
    /// Key of the request.
    pub key: Option<Name>,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Number of the run at its backend server.
    pub run: usize,
    /// Padding.
    pub pad: Name,
    /// Hash of all the other fields.
    pub checksum: u64,
}

impl EchoAnswer {
    /// Returns the answer with its checksum set.
    #[must_use]
    pub fn with_checksum(mut self) -> Self {
        self.checksum = self.expected_checksum();
        self
    }

    /// Returns the checksum that the other fields ask for.
    #[must_use]
    pub fn expected_checksum(&self) -> u64 {
        let key = self.key.as_deref().unwrap_or_default();
        let text = format!(
            "{}|{key}|{}|{}|{}",
            self.path, self.body_hash, self.run, self.pad
        );
        xxh3_64(text.as_bytes())
    }
}

/// Returns a number from a query such as `work=5&pad=100`.
#[must_use]
pub fn parameter(query: &str, name: &str) -> Option<u64> {
    let value = |pair: &str| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    query.split('&').find_map(value)
}

/// Writes the end of a run into the journal, also when the run's future is dropped.
pub struct RunGuard {
    state: Rc<RefCell<BackendState>>,
    number: usize,
    how: RunOutcome,
}

impl RunGuard {
    /// Guards a run that has begun.
    #[must_use]
    pub const fn new(state: Rc<RefCell<BackendState>>, number: usize) -> Self {
        Self {
            state,
            number,
            how: RunOutcome::Cancelled,
        }
    }

    /// Number of the run.
    #[must_use]
    pub const fn number(&self) -> usize {
        self.number
    }

    /// Works for `work_ms`, or until `timeout_ms` is over or the backend server falls over.
    pub async fn work(
        &mut self,
        work_ms: u64,
        timeout_ms: Option<u64>,
        mut fallen: watch::Receiver<u64>,
    ) -> RunOutcome {
        let limit_ms = timeout_ms.unwrap_or(u64::MAX).min(work_ms);
        self.how = tokio::select! {
            () = sleep(Duration::from_millis(limit_ms)) => {
                if limit_ms < work_ms { RunOutcome::Late } else { RunOutcome::Done }
            }
            _ = fallen.changed() => RunOutcome::Lost,
        };
        self.how
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.end(self.number, clock::now(), self.how);
    }
}
