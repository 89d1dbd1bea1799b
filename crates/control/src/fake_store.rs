//! A small fake of the platform's store for replays and trials: compare-and-swap, one lease, and
//! faults on command.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::time::Millis;

use crate::api::WriteOutcome;

/// The key bound to the controller's store lease.
#[derive(Clone, Copy, Debug)]
pub struct FakeAlive {
    /// The term it names.
    pub term: u64,
    /// End of the lease.
    pub until: Millis,
}

/// State of the fake store.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    records: BTreeMap<Name, Record>,
    revision: u64,
    /// The controller's key.
    pub alive: Option<FakeAlive>,
    /// Calls before this point get no answer and take no effect.
    pub down_until: Millis,
    /// Answers to this many more writes are lost after the write took effect.
    pub lost_answers: u32,
    /// One-way delay of a call in milliseconds.
    pub delay_ms: u64,
    /// Writes by second.
    writes: BTreeMap<u64, u32>,
}

/// What a write did.
#[derive(Clone, Debug)]
pub struct SwapResult {
    /// What the caller is told.
    pub end: WriteOutcome,
    /// The record as written, if it was.
    pub written: Option<Record>,
}

impl FakeStore {
    /// Makes an empty store with a one-way delay of its calls.
    #[must_use]
    pub fn new(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Whether calls are answered.
    #[must_use]
    pub fn is_up(&self, now: Millis) -> bool {
        now >= self.down_until
    }

    /// Writes a key if its revision is the expected one.
    pub fn swap(
        &mut self,
        now: Millis,
        key: &Name,
        expect: u64,
        value: Option<Name>,
    ) -> SwapResult {
        if !self.is_up(now) {
            return SwapResult {
                end: WriteOutcome::Unknown,
                written: None,
            };
        }
        *self.writes.entry(now.0 / 1_000).or_default() += 1;
        let found = self.records.get(key).filter(|old| old.value.is_some());
        if found.map_or(0, |record| record.revision) != expect {
            return SwapResult {
                end: WriteOutcome::Conflict,
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
        let lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        let revision = self.revision;
        let end = if lost {
            WriteOutcome::Unknown
        } else {
            WriteOutcome::Applied { revision }
        };
        SwapResult {
            end,
            written: Some(record),
        }
    }

    /// Counts a write that the fake does not keep, such as a renewal of the lease.
    pub fn count_write(&mut self, now: Millis) {
        *self.writes.entry(now.0 / 1_000).or_default() += 1;
    }

    /// Drops the controller's key once its lease has ended; returns whether it did.
    pub fn expire(&mut self, now: Millis) -> bool {
        let over = self.alive.is_some_and(|alive| alive.until <= now);
        if over && self.is_up(now) {
            self.alive = None;
            return true;
        }
        false
    }

    /// Returns a record.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The revision of the last write.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// All writes so far.
    #[must_use]
    pub fn write_count(&self) -> u32 {
        self.writes.values().sum()
    }

    /// The most writes in one second from a point in time on.
    #[must_use]
    pub fn peak_writes(&self, since: Millis) -> u32 {
        let from = since.0 / 1_000;
        let peak = self.writes.range(from..).map(|(_, writes)| *writes).max();
        peak.unwrap_or_default()
    }
}
