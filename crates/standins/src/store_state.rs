//! Records of the key-value service and the operations on them.

use std::collections::BTreeMap;
use std::ops::Bound;

use jy_store::protocol::RecordsAnswer;
use jy_store::protocol::SwapAnswer;
use jy_store::protocol::SwapCall;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::time::Millis;

use crate::store_lease::LeaseTable;

/// Number of deletions that are kept for watches; older ones are discarded.
const MAX_DELETIONS: usize = 4_096;

/// Last write of one key; a deletion has no value.
#[derive(Clone, Debug)]
struct KeyEntry {
    revision: u64,
    value: Option<Name>,
    lease: Option<u64>,
}

/// All records, and the newest deletions.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    revision: u64,
    entries: BTreeMap<Name, KeyEntry>,
    by_revision: BTreeMap<u64, Name>,
    deletions: BTreeMap<u64, Name>,
    deletions_known_after: u64,
    leases: LeaseTable,
}

impl StoreState {
    /// Makes a store without records, at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Lists the records whose keys have a prefix.
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

    /// Returns the last write of each key that was written after a revision, or `None` if deletions after that
    /// revision have been discarded.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: u64) -> Option<RecordsAnswer> {
        if after < self.deletions_known_after {
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

    /// Writes or deletes a key if its revision is the expected one (0 for a missing key) and the lease that the
    /// call names, if any, has not ended.
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

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, now: Millis, ttl_ms: u64) -> u64 {
        self.leases.grant(now, ttl_ms)
    }

    /// Renews a lease; returns false if it has ended.
    pub fn renew_lease(&mut self, now: Millis, lease: u64) -> bool {
        self.leases.renew(now, lease)
    }

    /// Ends expired leases and deletes their keys. Returns whether a key was deleted.
    pub fn end_expired_leases(&mut self, now: Millis) -> bool {
        let before = self.revision;
        for lease in self.leases.expired(now) {
            self.end_lease(lease);
        }
        self.revision != before
    }

    /// Ends the lease that a key is bound to and deletes the keys of the lease. Returns whether the key had one.
    pub fn end_lease_of(&mut self, key: &str) -> bool {
        let lease = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(lease) = lease {
            self.end_lease(lease);
        }
        lease.is_some()
    }

    /// Discards all deletions, so that watches from an earlier revision must list again.
    pub fn discard_deletions(&mut self) {
        while self.discard_oldest_deletion() {}
        self.deletions_known_after = self.revision;
    }

    /// Ends a lease and deletes its keys.
    fn end_lease(&mut self, lease: u64) {
        for key in self.leases.end(lease) {
            self.write(&key, None, None);
        }
    }

    /// Writes a key at the next revision, or deletes it if there is no value.
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
        if self.deletions.len() > MAX_DELETIONS {
            self.discard_oldest_deletion();
        }
    }

    /// Discards the oldest deletion. Returns false if there is none.
    fn discard_oldest_deletion(&mut self) -> bool {
        let Some((revision, key)) = self.deletions.pop_first() else {
            return false;
        };
        self.entries.remove(&key);
        self.by_revision.remove(&revision);
        self.deletions_known_after = revision;
        true
    }
}

/// Converts an entry to the record that calls return.
fn record(key: &Name, entry: &KeyEntry) -> Record {
    Record {
        key: Name::clone(key),
        revision: entry.revision,
        value: entry.value.clone(),
    }
}
