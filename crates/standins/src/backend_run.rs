//! One run of a request: its simulated work, the events that end it early and the body of its answer.

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

/// Query parameter with the duration of the work, in milliseconds.
pub const WORK_PARAMETER: &str = "work";
/// Query parameter with the size of the answer's padding, in bytes.
pub const PAD_PARAMETER: &str = "pad";

/// Body of an answer. Callers use unique paths, so that the path and the checksum show whether an answer
/// belongs to the request and is intact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoAnswer {
    /// Path and query of the request.
    pub path: Name,
    /// Key of the request.
    pub key: Option<Name>,
    /// XXH3 hash of the request's body.
    pub body_hash: u64,
    /// Number of the run in the journal of its backend server.
    pub run: usize,
    /// Padding of the requested size.
    pub pad: Name,
    /// XXH3 hash over all other fields.
    pub checksum: u64,
}

impl EchoAnswer {
    /// Returns the answer with its checksum set.
    #[must_use]
    pub fn with_checksum(mut self) -> Self {
        self.checksum = self.expected_checksum();
        self
    }

    /// Computes the checksum of the other fields.
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

/// Parses a numeric parameter of a query such as `work=5&pad=100`.
#[must_use]
pub fn parameter(query: &str, name: &str) -> Option<u64> {
    let value = |pair: &str| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    query.split('&').find_map(value)
}

/// Records the end of a run in the journal when it is dropped. A run whose future is dropped early counts as
/// cancelled.
pub struct RunGuard {
    state: Rc<RefCell<BackendState>>,
    number: usize,
    outcome: RunOutcome,
}

impl RunGuard {
    /// Makes the guard of a run that has started.
    #[must_use]
    pub const fn new(state: Rc<RefCell<BackendState>>, number: usize) -> Self {
        Self {
            state,
            number,
            outcome: RunOutcome::Cancelled,
        }
    }

    /// Returns the number of the run in the journal.
    #[must_use]
    pub const fn number(&self) -> usize {
        self.number
    }

    /// Waits for `work_ms`, or until `timeout_ms` has passed or the backend server restarts.
    pub async fn work(
        &mut self,
        work_ms: u64,
        timeout_ms: Option<u64>,
        mut restarts: watch::Receiver<u64>,
    ) -> RunOutcome {
        let limit_ms = timeout_ms.unwrap_or(u64::MAX).min(work_ms);
        self.outcome = tokio::select! {
            () = sleep(Duration::from_millis(limit_ms)) => {
                if limit_ms < work_ms { RunOutcome::Late } else { RunOutcome::Done }
            }
            _ = restarts.changed() => RunOutcome::Lost,
        };
        self.outcome
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.end(self.number, clock::now(), self.outcome);
    }
}
