//! Leases of the key-value service. The keys that are bound to a lease are deleted when it ends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::name::Name;
use jy_types::time::Millis;

/// A lease that has not ended, with the keys bound to it.
#[derive(Clone, Debug)]
struct LeaseEntry {
    ttl_ms: u64,
    ends_at: Millis,
    keys: BTreeSet<Name>,
}

/// All leases that have not ended.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    last_id: u64,
    leases: BTreeMap<u64, LeaseEntry>,
}

impl LeaseTable {
    /// Grants a lease and returns its id.
    pub fn grant(&mut self, now: Millis, ttl_ms: u64) -> u64 {
        self.last_id += 1;
        let entry = LeaseEntry {
            ttl_ms,
            ends_at: now.plus(ttl_ms),
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_id, entry);
        self.last_id
    }

    /// Renews a lease; returns false if it has ended.
    pub fn renew(&mut self, now: Millis, lease: u64) -> bool {
        let Some(entry) = self.leases.get_mut(&lease) else {
            return false;
        };
        entry.ends_at = now.plus(entry.ttl_ms);
        true
    }

    /// Whether a lease has not ended.
    #[must_use]
    pub fn is_live(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Moves a key from the lease that it is bound to, if any, to another or none.
    pub fn bind(&mut self, key: &Name, old: Option<u64>, new: Option<u64>) {
        if let Some(entry) = old.and_then(|lease| self.leases.get_mut(&lease)) {
            entry.keys.remove(key);
        }
        if let Some(entry) = new.and_then(|lease| self.leases.get_mut(&lease)) {
            entry.keys.insert(Name::clone(key));
        }
    }

    /// Ends a lease and returns its keys.
    pub fn end(&mut self, lease: u64) -> BTreeSet<Name> {
        self.leases
            .remove(&lease)
            .map_or_else(BTreeSet::new, |entry| entry.keys)
    }

    /// Returns the leases that have expired and not been ended.
    #[must_use]
    pub fn expired(&self, now: Millis) -> Vec<u64> {
        let expired_id =
            |(lease, entry): (&u64, &LeaseEntry)| (entry.ends_at <= now).then_some(*lease);
        self.leases.iter().filter_map(expired_id).collect()
    }
}
