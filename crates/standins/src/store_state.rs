//! The records of the key-value service and what its calls do to them.

use std::collections::BTreeMap;
use std::ops::Bound;

use jy_store::protocol::RecordsAnswer;
use jy_store::protocol::SwapAnswer;
use jy_store::protocol::SwapCall;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::time::Millis;

use crate::store_lease::LeaseTable;

/// Number of deletions that are kept for watches.
const DELETIONS_KEPT: usize = 4_096;

/// The newest write of one key.
#[derive(Clone, Debug)]
struct KeyEntry {
    revision: u64,
    value: Option<Name>,
    lease: Option<u64>,
}

/// All records, with deletions as far as they are kept.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    revision: u64,
    entries: BTreeMap<Name, KeyEntry>,
    by_revision: BTreeMap<u64, Name>,
    deletions: BTreeMap<u64, Name>,
    deletions_from: u64,
    leases: LeaseTable,
}

impl StoreState {
    /// Makes an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Lists the records of a prefix.
    #[must_use]
    pub fn list(&self, prefix: &Name) -> RecordsAnswer {
        let from = (Bound::Included(Name::clone(prefix)), Bound::Unbounded);
        let records = self
            .entries
            .range(from)
            .take_while(|(key, _)| key.starts_with(&**prefix))
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| record(key, entry))
            .collect();
        RecordsAnswer {
            records,
            revision: self.revision,
        }
    }

    /// Returns the newest of each key written after a revision, or none if deletions after it are
    /// no longer known.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: u64) -> Option<RecordsAnswer> {
        if after < self.deletions_from {
            return None;
        }
        let records = self
            .by_revision
            .range(after.saturating_add(1)..)
            .filter(|(_, key)| key.starts_with(prefix))
            .filter_map(|(_, key)| self.entries.get(key).map(|entry| record(key, entry)))
            .collect();
        Some(RecordsAnswer {
            records,
            revision: self.revision,
        })
    }

    /// Writes a key if its revision is the expected one.
    pub fn swap(&mut self, call: &SwapCall) -> SwapAnswer {
        let current = self
            .entries
            .get(&call.key)
            .filter(|entry| entry.value.is_some());
        let revision = current.map_or(0, |entry| entry.revision);
        let lease_ended = call.lease.is_some_and(|lease| !self.leases.is_live(lease));
        if revision != call.expect || lease_ended {
            let current = current.map(|entry| record(&call.key, entry));
            return SwapAnswer::Conflict { current };
        }
        self.write(&call.key, call.value.clone(), call.lease);
        SwapAnswer::Swapped {
            revision: self.revision,
        }
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, now: Millis, ttl_ms: u64) -> u64 {
        self.leases.grant(now, ttl_ms)
    }

    /// Renews a lease, or returns false if it has ended.
    pub fn renew_lease(&mut self, now: Millis, lease: u64) -> bool {
        self.leases.renew(now, lease)
    }

    /// Ends the leases whose time is over, with their keys. Returns whether a key went.
    pub fn end_overdue(&mut self, now: Millis) -> bool {
        let before = self.revision;
        for lease in self.leases.overdue(now) {
            self.end_lease(lease);
        }
        self.revision != before
    }

    /// Ends the lease that a key is bound to. Returns whether there was one.
    pub fn lapse_lease_of(&mut self, key: &str) -> bool {
        let lease = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(lease) = lease {
            self.end_lease(lease);
        }
        lease.is_some()
    }

    /// Forgets all deletions, so that watches from before must list again.
    pub fn forget_deletions(&mut self) {
        while self.forget_oldest_deletion() {}
        self.deletions_from = self.revision;
    }

    /// Ends one lease and deletes its keys.
    fn end_lease(&mut self, lease: u64) {
        for key in self.leases.end(lease) {
            self.write(&key, None, None);
        }
    }

    /// Writes a key at the next revision.
    fn write(&mut self, key: &Name, value: Option<Name>, lease: Option<u64>) {
        self.revision += 1;
        let is_deletion = value.is_none();
        let entry = KeyEntry {
            revision: self.revision,
            value,
            lease: if is_deletion { None } else { lease },
        };
        let lease = entry.lease;
        let old = self.entries.insert(Name::clone(key), entry);
        if let Some(old) = &old {
            self.by_revision.remove(&old.revision);
            self.deletions.remove(&old.revision);
        }
        self.leases.bind(key, old.and_then(|old| old.lease), lease);
        self.by_revision.insert(self.revision, Name::clone(key));
        if is_deletion {
            self.deletions.insert(self.revision, Name::clone(key));
        }
        if self.deletions.len() > DELETIONS_KEPT {
            self.forget_oldest_deletion();
        }
    }

    /// Forgets the oldest deletion. Returns false if there is none.
    fn forget_oldest_deletion(&mut self) -> bool {
        let Some((revision, key)) = self.deletions.pop_first() else {
            return false;
        };
        self.entries.remove(&key);
        self.by_revision.remove(&revision);
        self.deletions_from = revision;
        true
    }
}

/// Makes the record of an entry.
fn record(key: &Name, entry: &KeyEntry) -> Record {
    Record {
        key: Name::clone(key),
        revision: entry.revision,
        value: entry.value.clone(),
    }
}
