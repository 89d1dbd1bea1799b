//! The records of the store, complete up to one revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::record::RecordBatch;

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct RecordReplica {
    records: BTreeMap<Name, Record>,
    by_revision: BTreeSet<(u64, Name)>,
    complete_to: u64,
}

impl RecordReplica {
    /// Makes an empty replica.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The replica is complete up to this revision.
    #[must_use]
    pub const fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Iterates over all records, deleted ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Takes a batch in and returns the replica with the records that changed.
    ///
    /// A batch that asks for nothing new changes nothing. The batch must have been made for a
    /// revision no later than [`Self::complete_to`].
    #[must_use]
    pub fn with_batch(mut self, batch: RecordBatch) -> (Self, Vec<Record>) {
        let mut changed = Vec::new();
        for record in batch.records {
            if self.take(&record) {
                changed.push(record);
            }
        }
        self.complete_to = self.complete_to.max(batch.complete_to);
        (self, changed)
    }

    /// Takes in a list of all records, complete at its revision, and returns the replica with the
    /// records that changed. A record that the list lacks and that is older than it was deleted, by then
    /// at the latest. That holds also for one whose deletion is known: it may have been written and
    /// deleted again since.
    #[must_use]
    pub fn with_list(self, list: RecordBatch) -> (Self, Vec<Record>) {
        let listed: BTreeSet<&Name> = list.records.iter().map(|record| &record.key).collect();
        let is_gone =
            |record: &&Record| record.revision < list.complete_to && !listed.contains(&record.key);
        let deletion = |record: &Record| Record {
            key: record.key.clone(),
            revision: list.complete_to,
            value: None,
        };
        let gone: Vec<Record> = self.iter().filter(is_gone).map(deletion).collect();
        let mut batch = list.clone();
        batch.records.extend(gone);
        self.with_batch(batch)
    }

    /// Keeps a record if it is newer than what is there.
    fn take(&mut self, record: &Record) -> bool {
        let old = self.records.get(&record.key).map(|old| old.revision);
        if old.is_some_and(|old| old >= record.revision) {
            return false;
        }
        if let Some(old) = old {
            self.by_revision.remove(&(old, record.key.clone()));
        }
        self.by_revision
            .insert((record.revision, record.key.clone()));
        self.records.insert(record.key.clone(), record.clone());
        true
    }

    /// Returns what a replica that is complete up to `after` lacks.
    #[must_use]
    pub fn batch_after(&self, after: u64) -> RecordBatch {
        let records = self
            .by_revision
            .range((after.saturating_add(1), Name::from(""))..)
            .filter_map(|(_, key)| self.records.get(key))
            .cloned()
            .collect();
        RecordBatch {
            records,
            complete_to: self.complete_to,
        }
    }
}
