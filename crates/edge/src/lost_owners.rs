//! Owners of keys that are lost: their records are gone, and they can't grant keys any more.

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

/// Lost owners whose keys are taken by one commit: the store takes 32 entries a commit, and each owner needs
/// up to three.
const MOST_LOST: usize = 10;

/// An owner whose keys may be taken.
#[derive(Clone, Debug)]
pub struct LostOwner {
    /// Name of the instance.
    pub node: Name,
    /// Revision of the record of the witnesses that have denied it; none if that does not matter any more.
    pub witnesses: Option<u64>,
}

/// What the agent knows of owners that their witnesses were asked to deny.
#[derive(Debug, Default)]
pub struct LostOwners {
    /// Owners that were denied, and the revision of the record that names their witnesses.
    denied: RefCell<BTreeMap<Name, u64>>,
    /// When the witnesses of an owner that was not denied are asked again.
    due: RefCell<BTreeMap<Name, Millis>>,
}

impl LostOwners {
    /// Knows of no denial.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Has the witnesses of owners that have been without a record for `wait_ms` deny them, so that their
    /// keys can be taken.
    pub async fn deny(
        &self,
        now: Millis,
        support: &LocalSupport,
        snapshot: &FleetSnapshot,
        service: &Name,
        wait_ms: u64,
    ) {
        for (node, seen) in self.deniable(now, snapshot, service, wait_ms) {
            match support.deny(&node, &seen.set).await {
                Ok(()) => {
                    self.denied.borrow_mut().insert(node, seen.revision);
                }
                Err(retry_ms) => {
                    let due = clock::now().plus(retry_ms);
                    self.due.borrow_mut().insert(node, due);
                }
            }
        }
    }

    /// Owners of a service's keys whose witnesses are to be asked now.
    fn deniable(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        service: &Name,
        wait_ms: u64,
    ) -> Vec<(Name, VersionedWitnesses)> {
        let Some(seen) = snapshot.ranges.get(service) else {
            return Vec::new();
        };
        let (due, denied) = (self.due.borrow(), self.denied.borrow());
        let is_due = |node: &Name| {
            let since = snapshot.absent_since(node);
            let is_ripe = due.get(node).is_none_or(|due| now >= *due);
            is_ripe && since.is_some_and(|since| now.since(since) >= wait_ms)
        };
        owners(&seen.table)
            .into_iter()
            .filter(|node| is_due(node))
            .filter_map(|node| Some((Name::clone(node), snapshot.witnesses.get(node)?.clone())))
            .filter(|(node, seen)| {
                seen.set.is_deniable() && denied.get(node) != Some(&seen.revision)
            })
            .collect()
    }

    /// Owners whose keys may be taken: their records are absent, and either their witnesses have denied them
    /// or, some time and `wait_ms` later, they can't grant keys any more with any support.
    #[must_use]
    pub fn list(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        table: &RangeTable,
        wait_ms: u64,
    ) -> Vec<LostOwner> {
        let over_ms = AUTHORITY_MS + AUTHORITY_MARGIN_MS + wait_ms;
        let denied = self.denied.borrow();
        let lost = |node: &Name| {
            let since = snapshot.absent_since(node)?;
            let seen = snapshot.witnesses.get(node);
            let revision = seen.map(|seen| seen.revision);
            let is_denied = revision.is_some() && denied.get(node).copied() == revision;
            let is_over = now.since(since) >= over_ms;
            (is_denied || is_over).then(|| LostOwner {
                node: Name::clone(node),
                witnesses: revision.filter(|_| is_denied),
            })
        };
        let lost = owners(table).into_iter().filter_map(lost);
        lost.take(MOST_LOST).collect()
    }
}

/// Instances that own ranges of a table.
fn owners(table: &RangeTable) -> BTreeSet<&Name> {
    let ranges = table.ranges().iter();
    ranges.map(|range| &range.owner.node).collect()
}
