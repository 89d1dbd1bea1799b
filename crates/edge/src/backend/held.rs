//! What the backend server holds, and what of it the store's tables show after the store came back from an older copy.

use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::HeldRange;
use jy_types::name::Name;
use jy_types::time::Millis;

use super::BackendState;
use super::LocalBackend;
use crate::snapshot::FleetSnapshot;

impl LocalBackend {
    /// Sets the era of the store in which the tables were read, and until when only what the backend server holds is
    /// granted.
    pub fn set_era(&self, era: u64, settled_at: Millis) {
        self.era.set(era);
        self.settled_at.set(settled_at);
    }

    /// Sets the era of the store in which a snapshot was read, until when only what the backend server holds is granted,
    /// and the tables of earlier eras.
    pub fn set_snapshot(&self, snapshot: &FleetSnapshot) {
        self.set_era(snapshot.era, snapshot.era_settled_at());
        self.earlier_ranges.replace(snapshot.earlier_ranges.clone());
    }

    /// Returns what this run of the agent granted to the backend server and it still holds. Keys that a table of the
    /// snapshot shows with another owner since are left out.
    #[must_use]
    pub fn held_grants(&self, now: Millis, snapshot: &FleetSnapshot) -> Vec<GrantedRange> {
        self.read(|state| {
            state.map_or_else(Vec::new, |state| {
                let tables = known_tables(snapshot, &state.announced.service);
                self.held_by_tables(now, state, tables)
            })
        })
    }

    /// Returns what a backend server holds, without the keys that one of the tables shows with another owner since.
    pub(super) fn held_by_tables<'a>(
        &self,
        now: Millis,
        state: &BackendState,
        tables: impl IntoIterator<Item = &'a RangeTable>,
    ) -> Vec<GrantedRange> {
        // A move of the keys of an exited process may have been written although the answer to the write was lost.
        let may_have_moved = state.has_returned || state.has_exited(now);
        let without_moved =
            |held, table: &RangeTable| without_given_away(&self.node, held, table, may_have_moved);
        tables
            .into_iter()
            .fold(state.held_grants(now), without_moved)
    }

    /// Returns what a backend server holds, without the keys that `table` or one of an earlier era shows with another
    /// owner since.
    pub(super) fn held_without_moved(
        &self,
        now: Millis,
        state: &BackendState,
        table: &RangeTable,
    ) -> Vec<GrantedRange> {
        let earlier = self.earlier_ranges.borrow();
        let earlier = earlier.get(&state.announced.service).map(|table| &**table);
        self.held_by_tables(now, state, earlier.into_iter().chain([table]))
    }

    /// Records a grant to the present incarnation. One by the table of a settled era ends what earlier incarnations held.
    pub(super) fn record_settled_grant(
        &self,
        now: Millis,
        state: &mut BackendState,
        granted: &[GrantedRange],
    ) {
        if now < self.settled_at.get() || granted.is_empty() {
            return;
        }
        state.has_returned = false;
        self.inherited.replace((Vec::new(), Millis::default()));
    }

    /// Keeps what an earlier incarnation holds for the one that replaces it.
    pub(super) fn inherit(&self, now: Millis, earlier: &BackendState) {
        let held = earlier.held_grants(now);
        if !held.is_empty() {
            self.inherited.replace((held, earlier.held_until));
        }
    }

    /// Returns what this run of the agent granted to earlier incarnations of a service's backend server and no other
    /// agent may grant yet. Keys that a table of the snapshot shows with another owner since, or as moving to one, are
    /// left out.
    #[must_use]
    pub fn inherited_grants(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        service: &str,
    ) -> Vec<GrantedRange> {
        let inherited = self.inherited.borrow();
        let (grants, until) = &*inherited;
        if now >= *until {
            return Vec::new();
        }
        known_tables(snapshot, service).fold(grants.clone(), |grants, table| {
            without_given_away(&self.node, grants, table, true)
        })
    }

    /// Whether the backend server holds a range under its fence.
    #[must_use]
    pub fn holds_range(&self, now: Millis, range: &KeyRange) -> bool {
        self.read(|state| state.is_some_and(|state| state.holds_range(now, range)))
    }

    /// Whether the store's table names the backend server as the owner of all that it holds.
    #[must_use]
    pub fn is_restored(&self, now: Millis, snapshot: &FleetSnapshot) -> bool {
        let (Some(owner), held) = (self.owner(), self.held_grants(now, snapshot)) else {
            return true;
        };
        let service = self.read(|state| state.map(|state| Name::clone(&state.announced.service)));
        let ranges = service.and_then(|service| snapshot.ranges.get(&service));
        held.is_empty() || ranges.is_some_and(|ranges| ranges.table.lists(&owner, &held))
    }
}

/// Returns the tables of a service that show who was given its keys: the last one of an earlier era and that of the store.
fn known_tables<'a>(
    snapshot: &'a FleetSnapshot,
    service: &str,
) -> impl Iterator<Item = &'a RangeTable> {
    let earlier = snapshot.earlier_ranges.get(service);
    let recorded = snapshot.ranges.get(service);
    let recorded = recorded.map(|versioned| &versioned.table);
    earlier.into_iter().chain(recorded).map(|table| &**table)
}

/// Returns the grants without the keys that a table shows with an owner on another instance under a later fence and, if
/// `may_have_moved`, without those that it marks for a move to one.
///
/// An owner's keys are moved only by the agent beside it, so that its last table of an earlier era names the next owner,
/// or has the mark if the answer to the write of the move was lost. A table that names another owner under a lower fence
/// is older than the grant.
fn without_given_away(
    node: &str,
    grants: Vec<GrantedRange>,
    table: &RangeTable,
    may_have_moved: bool,
) -> Vec<GrantedRange> {
    let is_other = |owner: &RangeOwner| *owner.node != *node;
    let is_marked = |range: &KeyRange| range.next_owner.as_ref().is_some_and(is_other);
    let mut kept = Vec::new();
    for grant in grants {
        let mut pieces: Vec<GrantedRange> = Vec::new();
        for range in table.ranges() {
            let (first, last) = (range.first.max(grant.first), range.last.min(grant.last));
            let is_given_away = if is_other(&range.owner) {
                range.fence > grant.fence
            } else {
                may_have_moved && is_marked(range)
            };
            if first > last || is_given_away {
                continue;
            }
            match pieces.last_mut() {
                Some(piece) if u32::from(piece.last) + 1 == u32::from(first) => piece.last = last,
                _ => pieces.push(GrantedRange {
                    first,
                    last,
                    ..grant.clone()
                }),
            }
        }
        kept.extend(pieces);
    }
    kept
}

/// Returns the range that is held under a grant.
pub(super) const fn to_held_range(range: &GrantedRange) -> HeldRange {
    HeldRange {
        first: range.first,
        last: range.last,
        fence: range.fence,
    }
}
