//! Finds lost owners of keys: those whose records are absent from the store and that can't grant keys any
//! more.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_kernel::clock;
use jy_ranges::table::RangeTable;
use jy_types::name::Name;
use jy_types::time::Millis;

use crate::member::AUTHORITY_MARGIN_MS;
use crate::member::AUTHORITY_MS;
use crate::snapshot::FleetSnapshot;
use crate::snapshot::VersionedWitnesses;
use crate::support::LocalSupport;

/// Lost owners whose keys are taken in one commit: the store accepts 32 entries per commit, and each owner
/// needs up to three.
const MAX_LOST_PER_COMMIT: usize = 10;

/// An owner whose keys may be taken.
#[derive(Clone, Debug)]
pub struct LostOwner {
    /// Name of the instance.
    pub node: Name,
    /// The witnesses that have denied it, or `None` if its authority has expired without a denial.
    pub witnesses: Option<VersionedWitnesses>,
}

/// The results of asking the witnesses of absent owners for denials.
#[derive(Debug, Default)]
pub struct LostOwners {
    /// Owners that were denied, with the era and the revision of the record that names their witnesses.
    denied: RefCell<BTreeMap<Name, (u64, u64)>>,
    /// When the witnesses of owners that were not denied are asked again.
    retry_at: RefCell<BTreeMap<Name, Millis>>,
}

impl LostOwners {
    /// Creates a state without denials.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks the witnesses of owners whose records have been absent for `wait_ms` to deny them, so that their
    /// keys can be taken.
    pub async fn deny(
        &self,
        now: Millis,
        support: &LocalSupport,
        snapshot: &FleetSnapshot,
        service: &Name,
        wait_ms: u64,
    ) {
        for (node, versioned) in self.due_denials(now, snapshot, service, wait_ms) {
            match support.deny(&node, &versioned.set).await {
                Ok(()) => {
                    let read = (snapshot.era, versioned.revision);
                    self.denied.borrow_mut().insert(node, read);
                }
                Err(retry_ms) => {
                    let retry_at = clock::now().plus(retry_ms);
                    self.retry_at.borrow_mut().insert(node, retry_at);
                }
            }
        }
    }

    /// Returns the owners of a service's keys whose witnesses are due to be asked.
    fn due_denials(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        service: &Name,
        wait_ms: u64,
    ) -> Vec<(Name, VersionedWitnesses)> {
        let Some(versioned) = snapshot.ranges.get(service) else {
            return Vec::new();
        };
        if !snapshot.is_era_settled(now) {
            return Vec::new();
        }
        let (retry_at, denied) = (self.retry_at.borrow(), self.denied.borrow());
        let is_due = |node: &Name| {
            let since = snapshot.absent_since(node);
            let is_retry_due = retry_at.get(node).is_none_or(|at| now >= *at);
            is_retry_due && since.is_some_and(|since| now.since(since) >= wait_ms)
        };
        owners(&versioned.table)
            .into_iter()
            .filter(|node| is_due(node))
            .filter_map(|node| Some((Name::clone(node), snapshot.witnesses.get(node)?.clone())))
            .filter(|(node, versioned)| {
                let read = (snapshot.era, versioned.revision);
                versioned.set.is_deniable() && denied.get(node) != Some(&read)
            })
            .collect()
    }

    /// Returns the owners whose keys may be taken. Their records are absent, and either their witnesses have
    /// denied them, or the absence has lasted for the sum of [`AUTHORITY_MS`], [`AUTHORITY_MARGIN_MS`] and
    /// `wait_ms`, after which they can't grant keys even with support. None while the store's era is not settled.
    #[must_use]
    pub fn list(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        table: &RangeTable,
        wait_ms: u64,
    ) -> Vec<LostOwner> {
        if !snapshot.is_era_settled(now) {
            return Vec::new();
        }
        let expiry_ms = AUTHORITY_MS + AUTHORITY_MARGIN_MS + wait_ms;
        let denied = self.denied.borrow();
        let lost = |node: &Name| {
            let since = snapshot.absent_since(node)?;
            let versioned = snapshot.witnesses.get(node);
            let read = versioned.map(|versioned| (snapshot.era, versioned.revision));
            let is_denied = read.is_some() && denied.get(node).copied() == read;
            let has_expired = now.since(since) >= expiry_ms;
            (is_denied || has_expired).then(|| LostOwner {
                node: Name::clone(node),
                witnesses: versioned.filter(|_| is_denied).cloned(),
            })
        };
        let lost = owners(table).into_iter().filter_map(lost);
        lost.take(MAX_LOST_PER_COMMIT).collect()
    }
}

/// Returns the instances that own ranges of a table.
fn owners(table: &RangeTable) -> BTreeSet<&Name> {
    let ranges = table.ranges().iter();
    ranges.map(|range| &range.owner.node).collect()
}
