//! The units that this agent owns by the records, and which of them came with their window.

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

/// Caches the agent's grants between views.
#[derive(Debug, Default)]
pub struct GrantCache {
    grants: RefCell<Arc<GrantMap>>,
    revisions: RefCell<BTreeMap<u32, u64>>,
    handed: RefCell<BTreeSet<Unit>>,
}

impl GrantCache {
    /// Makes a cache without grants.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of units owned.
    #[must_use]
    pub fn len(&self) -> usize {
        self.grants.borrow().len()
    }

    /// Whether no unit is owned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes that the window of units to come was handed over.
    pub fn note_handover(&self, units: &[Unit]) {
        self.handed.borrow_mut().extend(units);
    }

    /// Returns the new grants if the pages of the service changed.
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

    /// Collects the units of one page.
    fn collect(&self, number: u32, page: &PageRecord, id: &AgentId, grants: &mut GrantMap) {
        let Some(own) = page.owners.iter().position(|owner| owner == id) else {
            return;
        };
        let owned = |grant: &Grant| grant.owner.is_some_and(|owner| usize::from(owner) == own);
        let first = number * PAGE_SLICES;
        for (slice, grant) in (first..).zip(&page.slices) {
            if owned(grant) {
                let unit = Unit::Slice(SliceId(slice));
                grants.insert(unit, self.owned_unit(unit, grant));
            }
        }
        for pin in &page.pins {
            if owned(&pin.grant) {
                let unit = Unit::Key(pin.key);
                grants.insert(unit, self.owned_unit(unit, &pin.grant));
            }
        }
    }

    /// Describes one owned unit; a unit whose fence is known keeps how it came.
    fn owned_unit(&self, unit: Unit, grant: &Grant) -> OwnedUnit {
        let known = self.grants.borrow().get(&unit).copied();
        let same = known.filter(|known| known.fence == grant.fence);
        let handed_over = match same {
            Some(known) => known.handed_over,
            None => self.handed.borrow_mut().remove(&unit) || grant.initial,
        };
        OwnedUnit {
            fence: grant.fence,
            leaving: grant.next.is_some(),
            handed_over,
        }
    }
}
