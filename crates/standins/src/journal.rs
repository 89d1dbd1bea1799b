//! The journal of every run at a backend server, from which double runs and overlapping owners are
//! found.

use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Path of the list of [`RunEntry`], by GET.
pub const JOURNAL_PATH: &str = "/admin/journal";

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It has not ended.
    Open,
    /// Its work was done.
    Done,
    /// Its connection closed before the work was done.
    Cancelled,
    /// Its deadline passed before the work was done.
    Late,
    /// The backend server fell over.
    Lost,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Request id, as the dispatch carried it.
    pub request_id: Option<Name>,
    /// The caller's id of a non-idempotent request.
    pub idempotency_key: Option<Name>,
    /// The unit, as the dispatch carried it.
    pub unit: Option<Name>,
    /// The key.
    pub key: Option<Name>,
    /// The fence, as the dispatch carried it.
    pub fence: u64,
    /// Path and query.
    pub path: Name,
    /// Start on the clock that counts suspension; all processes of one machine share it.
    pub start: Millis,
    /// End on the same clock; the latest point while the run is open.
    pub end: Millis,
    /// How it ended.
    pub how: RunOutcome,
}

/// All runs of one backend server.
#[derive(Clone, Debug, Default)]
pub struct RunJournal {
    entries: Vec<RunEntry>,
}

impl RunJournal {
    /// Makes an empty journal.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes the start of a run and returns its number.
    pub fn open(&mut self, entry: RunEntry) -> usize {
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Writes the end of a run.
    pub fn close(&mut self, number: usize, now: Millis, how: RunOutcome) {
        if let Some(entry) = self.entries.get_mut(number) {
            entry.end = now;
            entry.how = how;
        }
    }

    /// Returns all runs.
    #[must_use]
    pub fn entries(&self) -> &[RunEntry] {
        &self.entries
    }
}
