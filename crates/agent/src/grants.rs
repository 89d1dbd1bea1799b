//! The units that the records assign to this agent, and for which of them it received the window.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_gate::api::GrantMap;
use jy_gate::api::OwnedUnit;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::key::PAGE_SLICES;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::member::AgentId;

/// Caches the agent's grants, so that only changes of them are reported.
#[derive(Debug, Default)]
pub struct GrantCache {
    grants: RefCell<Arc<GrantMap>>,
    revisions: RefCell<BTreeMap<u32, u64>>,
    received_windows: RefCell<BTreeSet<Unit>>,
}

impl GrantCache {
    /// Creates a cache without grants.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of owned units.
    #[must_use]
    pub fn len(&self) -> usize {
        self.grants.borrow().len()
    }

    /// Returns whether no unit is owned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that the window of units was received before the grants that make this agent their owner.
    pub fn record_handover(&self, units: &[Unit]) {
        self.received_windows.borrow_mut().extend(units);
    }

    /// Updates the cache from the pages of a service. Returns the agent's grants if they changed.
    pub fn update(
        &self,
        view: &FleetView,
        service: &ServiceKey,
        id: &AgentId,
    ) -> Option<Arc<GrantMap>> {
        let pages = view.pages.get(service)?;
        let revisions: BTreeMap<u32, u64> = pages
            .iter()
            .map(|(number, page)| (*number, page.revision))
            .collect();
        if *self.revisions.borrow() == revisions {
            return None;
        }
        *self.revisions.borrow_mut() = revisions;
        let mut grants = GrantMap::new();
        for (number, page) in pages {
            self.collect(*number, &page.value, id, &mut grants);
        }
        let grants = Arc::new(grants);
        let changed = **self.grants.borrow() != *grants;
        *self.grants.borrow_mut() = Arc::clone(&grants);
        changed.then_some(grants)
    }

    /// Adds the units of one page that the agent owns to `grants`.
    fn collect(&self, number: u32, page: &PageRecord, id: &AgentId, grants: &mut GrantMap) {
        let Some(index) = page.owners.iter().position(|owner| owner == id) else {
            return;
        };
        let is_own = |grant: &Grant| grant.owner.is_some_and(|owner| usize::from(owner) == index);
        let first_slice = number * PAGE_SLICES;
        for (slice, grant) in (first_slice..).zip(&page.slices) {
            if is_own(grant) {
                let unit = Unit::Slice(SliceId(slice));
                grants.insert(unit, self.owned_unit(unit, grant));
            }
        }
        for pin in &page.pins {
            if is_own(&pin.grant) {
                let unit = Unit::Key(pin.key);
                grants.insert(unit, self.owned_unit(unit, &pin.grant));
            }
        }
    }

    /// Describes one owned unit. While its fence stays the same, so does whether its window was handed over.
    fn owned_unit(&self, unit: Unit, grant: &Grant) -> OwnedUnit {
        let known = self.grants.borrow().get(&unit).copied();
        let same_fence = known.filter(|known| known.fence == grant.fence);
        let handed_over = match same_fence {
            Some(known) => known.handed_over,
            None => self.received_windows.borrow_mut().remove(&unit) || grant.initial,
        };
        OwnedUnit {
            fence: grant.fence,
            leaving: grant.next_owner.is_some(),
            handed_over,
        }
    }
}
