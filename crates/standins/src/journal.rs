//! Journal of all runs at a backend server. Checks use it to find requests that ran twice and runs of the
//! same unit under several owners at once.

use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Path of the journal, a list of [`RunEntry`], by GET.
pub const JOURNAL_PATH: &str = "/admin/journal";

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The run has not ended.
    Open,
    /// The work was done.
    Done,
    /// The connection closed before the work was done.
    Cancelled,
    /// The deadline passed before the work was done.
    Late,
    /// The backend server restarted during the run.
    Lost,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Request id of the dispatch.
    pub request_id: Option<Name>,
    /// Idempotency key that the caller gave a non-idempotent request.
    pub idempotency_key: Option<Name>,
    /// Unit of the dispatch.
    pub unit: Option<Name>,
    /// Key of the dispatch, if it had one.
    pub key: Option<Name>,
    /// Fence of the dispatch; 0 if it had none.
    pub fence: u64,
    /// Path and query of the request.
    pub path: Name,
    /// Start on the boot clock, which includes suspension and is shared by all processes of a machine.
    pub start: Millis,
    /// End on the same clock; [`Millis::MAX`] while the run is open.
    pub end: Millis,
    /// Outcome of the run.
    pub how: RunOutcome,
}

/// All runs of one backend server, numbered from 0.
#[derive(Clone, Debug, Default)]
pub struct RunJournal {
    entries: Vec<RunEntry>,
}

impl RunJournal {
    /// Makes a journal without runs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of a run and returns its number.
    pub fn open(&mut self, entry: RunEntry) -> usize {
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Records the end of a run; an unknown number is ignored.
    pub fn close(&mut self, number: usize, now: Millis, outcome: RunOutcome) {
        if let Some(entry) = self.entries.get_mut(number) {
            entry.end = now;
            entry.how = outcome;
        }
    }

    /// Returns all runs, by number.
    #[must_use]
    pub fn entries(&self) -> &[RunEntry] {
        &self.entries
    }
}
