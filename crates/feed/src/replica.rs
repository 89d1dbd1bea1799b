//! Replica of the store's records, complete up to one revision.
//!
//! All revisions of a replica belong to one era of the store. A list of a later era replaces all records.

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
    era: u64,
}

impl RecordReplica {
    /// Creates an empty replica.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision up to which the replica is complete.
    #[must_use]
    pub const fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Returns the era of the store to which the replica's revisions belong.
    #[must_use]
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Returns the record of a key, also if it is deleted.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Iterates over all records, including deleted ones.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Applies a batch and returns the replica and the records that changed.
    ///
    /// A batch without newer records changes no record, nor does a batch of another era. The batch must contain
    /// all changes after a revision that is no later than [`Self::complete_to`].
    #[must_use]
    pub fn with_batch(mut self, batch: RecordBatch) -> (Self, Vec<Record>) {
        let mut changed = Vec::new();
        if batch.era != self.era {
            return (self, changed);
        }
        for record in batch.records {
            if self.insert_if_newer(&record) {
                changed.push(record);
            }
        }
        self.complete_to = self.complete_to.max(batch.complete_to);
        (self, changed)
    }

    /// Applies a list of all records, complete at its revision, and returns the replica and the records that
    /// changed.
    ///
    /// A record that is older than the list and missing from it was deleted by the list's revision at the
    /// latest, and is recorded as deleted at that revision. This includes records already known to be
    /// deleted, since they may have been written and deleted again.
    ///
    /// A list of a later era replaces all records, whatever their revisions; a list of an earlier era changes
    /// none.
    #[must_use]
    pub fn with_list(mut self, list: RecordBatch) -> (Self, Vec<Record>) {
        if list.era > self.era {
            self.reset(list.era);
        }
        if list.era < self.era {
            return (self, Vec::new());
        }
        let listed: BTreeSet<&Name> = list.records.iter().map(|record| &record.key).collect();
        let is_deleted =
            |record: &&Record| record.revision < list.complete_to && !listed.contains(&record.key);
        let deletion = |record: &Record| Record {
            key: record.key.clone(),
            revision: list.complete_to,
            value: None,
        };
        let deleted: Vec<Record> = self.iter().filter(is_deleted).map(deletion).collect();
        let mut batch = list.clone();
        batch.records.extend(deleted);
        self.with_batch(batch)
    }

    /// Sets the revisions of all records to zero, so that each record of a list of `era` is newer.
    fn reset(&mut self, era: u64) {
        self.era = era;
        self.complete_to = 0;
        for record in self.records.values_mut() {
            record.revision = 0;
        }
        self.by_revision = self
            .records
            .keys()
            .map(|key| (0, Name::clone(key)))
            .collect();
    }

    /// Stores a record if it is newer than the one stored for its key. Returns whether it was stored.
    fn insert_if_newer(&mut self, record: &Record) -> bool {
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

    /// Returns the records that a replica complete up to revision `after` is missing.
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
            era: self.era,
        }
    }
}
