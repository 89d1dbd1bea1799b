//! An in-memory store for replays and trials, with compare-and-swap, one lease and fault injection.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::time::Millis;

use crate::api::WriteOutcome;

/// The key bound to the controller's store lease. It exists until the lease ends.
#[derive(Clone, Copy, Debug)]
pub struct ControllerLease {
    /// Term that the key names.
    pub term: u64,
    /// End of the lease.
    pub until: Millis,
}

/// State of the simulated store.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    records: BTreeMap<Name, Record>,
    revision: u64,
    /// The controller's key, or none if it does not exist.
    pub controller_lease: Option<ControllerLease>,
    /// Calls before this time get no answer and take no effect.
    pub down_until: Millis,
    /// Number of further writes whose answer is lost after the write took effect.
    pub answers_to_lose: u32,
    /// One-way delay of a call in milliseconds.
    pub delay_ms: u64,
    /// Number of writes in each second.
    writes: BTreeMap<u64, u32>,
}

/// Result of a write.
#[derive(Clone, Debug)]
pub struct SwapResult {
    /// Outcome as the caller sees it.
    pub outcome: WriteOutcome,
    /// The written record, if the write took effect.
    pub written: Option<Record>,
}

impl FakeStore {
    /// Creates an empty store whose calls have the given one-way delay.
    #[must_use]
    pub fn new(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Whether the store answers calls.
    #[must_use]
    pub fn is_up(&self, now: Millis) -> bool {
        now >= self.down_until
    }

    /// Writes a key if its revision is the expected one; zero stands for a key that does not exist.
    pub fn swap(
        &mut self,
        now: Millis,
        key: &Name,
        expect: u64,
        value: Option<Name>,
    ) -> SwapResult {
        if !self.is_up(now) {
            return SwapResult {
                outcome: WriteOutcome::Unknown,
                written: None,
            };
        }
        *self.writes.entry(now.0 / 1_000).or_default() += 1;
        let found = self.records.get(key).filter(|old| old.value.is_some());
        if found.map_or(0, |record| record.revision) != expect {
            return SwapResult {
                outcome: WriteOutcome::Conflict,
                written: None,
            };
        }
        self.revision += 1;
        let record = Record {
            key: key.clone(),
            revision: self.revision,
            value,
        };
        self.records.insert(key.clone(), record.clone());
        let lost = self.answers_to_lose > 0;
        self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        let revision = self.revision;
        let outcome = if lost {
            WriteOutcome::Unknown
        } else {
            WriteOutcome::Applied { revision }
        };
        SwapResult {
            outcome,
            written: Some(record),
        }
    }

    /// Counts a write that is not stored as a record, such as a renewal of the lease.
    pub fn count_write(&mut self, now: Millis) {
        *self.writes.entry(now.0 / 1_000).or_default() += 1;
    }

    /// Deletes the controller's key if its lease has ended and the store is up. Returns whether the key was
    /// deleted.
    pub fn expire(&mut self, now: Millis) -> bool {
        let ended = self
            .controller_lease
            .is_some_and(|lease| lease.until <= now);
        if ended && self.is_up(now) {
            self.controller_lease = None;
            return true;
        }
        false
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns all records, in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of writes so far.
    #[must_use]
    pub fn write_count(&self) -> u32 {
        self.writes.values().sum()
    }

    /// Returns the largest number of writes in one second since a point in time.
    #[must_use]
    pub fn peak_writes(&self, since: Millis) -> u32 {
        let from = since.0 / 1_000;
        let peak = self.writes.range(from..).map(|(_, writes)| *writes).max();
        peak.unwrap_or_default()
    }
}
