//! What the backend server holds, and what of it the store's tables show after the store came back from an older copy.

use jy_ranges::table::KeyRange;
use jy_types::endpoint::GrantedRange;
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

    /// Returns what this run of the agent granted to the backend server and it still holds.
    #[must_use]
    pub fn held_grants(&self, now: Millis) -> Vec<GrantedRange> {
        self.read(|state| state.map_or_else(Vec::new, |state| state.held_grants(now)))
    }

    /// Keeps what an earlier incarnation holds for the one that replaces it.
    pub(super) fn inherit(&self, now: Millis, earlier: &BackendState) {
        let held = earlier.held_grants(now);
        if !held.is_empty() {
            self.inherited.replace((held, earlier.held_until));
        }
    }

    /// Returns what this run of the agent granted to earlier incarnations and no other agent may grant yet.
    #[must_use]
    pub fn inherited_grants(&self, now: Millis) -> Vec<GrantedRange> {
        let inherited = self.inherited.borrow();
        let (grants, until) = &*inherited;
        if now < *until {
            grants.clone()
        } else {
            Vec::new()
        }
    }

    /// Whether the backend server holds a range under its fence.
    #[must_use]
    pub fn holds_range(&self, now: Millis, range: &KeyRange) -> bool {
        self.read(|state| state.is_some_and(|state| state.holds_range(now, range)))
    }

    /// Whether the store's table names the backend server as the owner of all that it holds.
    #[must_use]
    pub fn is_restored(&self, now: Millis, snapshot: &FleetSnapshot) -> bool {
        let (Some(owner), held) = (self.owner(), self.held_grants(now)) else {
            return true;
        };
        let service = self.read(|state| state.map(|state| Name::clone(&state.announced.service)));
        let ranges = service.and_then(|service| snapshot.ranges.get(&service));
        held.is_empty() || ranges.is_some_and(|ranges| ranges.table.lists(&owner, &held))
    }
}
