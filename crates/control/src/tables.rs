//! Units of one service and their owners, as they will be once the pending writes have taken effect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::assign::Fence;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::key::KeyHash;
use jy_types::key::PAGE_SLICES;
use jy_types::key::PAGES;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::record::member_key;
use jy_types::record::page_key;

use crate::loads::ServiceLoads;
use crate::owners::OwnerEligibility;
use crate::owners::OwnerTable;
use crate::pages::UnitChange;
use crate::writes::PendingWrites;
use crate::writes::WriteBody;

#[derive(Clone, Copy, Debug)]
pub struct UnitEntry {
    pub unit: Unit,
    /// Index of the owner.
    pub owner: Option<usize>,
    /// Index of the owner to which a planned move takes the unit.
    pub next_owner: Option<usize>,
    /// Fence of the owner's grant.
    pub fence: Fence,
    /// Load used for placement, above zero even for an idle unit.
    pub weight: f64,
    /// Whether the unit must not change now because a write that affects it is pending or wanted.
    pub locked: bool,
}

/// All units and owners of a service, and the wanted changes.
#[derive(Clone, Debug, Default)]
pub struct ServiceTable {
    pub owners: OwnerTable,
    /// Slices in order, followed by the pinned keys.
    pub units: Vec<UnitEntry>,
    /// Wanted changes by page.
    pub changes: BTreeMap<u32, Vec<(Unit, UnitChange)>>,
    /// Pages to write under this term even if nothing in them changes.
    pub pages_to_adopt: BTreeSet<u32>,
}

/// Returns the number of the page that holds a unit; the pinned keys share the page [`PAGES`].
#[must_use]
pub const fn page_of(unit: Unit) -> u32 {
    match unit {
        Unit::Slice(slice) => slice.page().0,
        Unit::Key(_) => PAGES,
    }
}

impl ServiceTable {
    /// Reads the units of a service from its pages. `owners` must hold the endpoints of the service.
    #[must_use]
    pub fn new(
        view: &FleetView,
        pending_writes: &PendingWrites,
        service: &ServiceKey,
        owners: OwnerTable,
    ) -> Self {
        let mut table = Self {
            owners,
            ..Self::default()
        };
        let pinning_slices = slices_being_pinned(view, pending_writes, service);
        for number in 0..=PAGES {
            let key = page_key(&service.0, &service.1, number);
            let locked = !pending_writes.is_page_writable(&key);
            let page = newest_page(view, pending_writes, service, number);
            table.read_page(number, page, locked, |id| {
                eligibility(view, pending_writes, id)
            });
        }
        for slice in pinning_slices {
            table.units[slice.0 as usize].locked = true;
        }
        table
    }

    /// Adds the units and owners of one page.
    fn read_page(
        &mut self,
        number: u32,
        page: Option<&PageRecord>,
        locked: bool,
        eligibility: impl Fn(&AgentId) -> OwnerEligibility,
    ) {
        let owners: Vec<usize> = page
            .iter()
            .flat_map(|page| &page.owners)
            .map(|id| self.owners.add(id.clone(), eligibility(id), 1.0))
            .collect();
        let entry = |unit: Unit, grant: Grant| UnitEntry {
            unit,
            owner: grant.owner.map(|index| owners[usize::from(index)]),
            next_owner: grant.next_owner.map(|index| owners[usize::from(index)]),
            fence: grant.fence,
            weight: 0.0,
            locked,
        };
        if number == PAGES {
            let pins = page.iter().flat_map(|page| &page.pins);
            self.units
                .extend(pins.map(|pin| entry(Unit::Key(pin.key), pin.grant)));
            return;
        }
        for offset in 0..PAGE_SLICES {
            let grant = page.and_then(|page| page.slices.get(offset as usize));
            let unit = Unit::Slice(SliceId(number * PAGE_SLICES + offset));
            self.units
                .push(entry(unit, grant.copied().unwrap_or_default()));
        }
    }

    /// Sets the weight of every unit and adds it to its owner's load. Every unit gets a small base weight, so
    /// that units without load are spread evenly too.
    pub fn set_loads(&mut self, loads: Option<&ServiceLoads>) {
        let rate = |unit: Unit| match (loads, unit) {
            (None, _) => 0.0,
            (Some(loads), Unit::Slice(slice)) => f64::from(loads.slice_rate(slice.0 as usize)),
            (Some(loads), Unit::Key(key)) => f64::from(loads.key_rate(key)),
        };
        let total: f64 = self.units.iter().map(|entry| rate(entry.unit)).sum();
        let slices = f64::from(PAGES * PAGE_SLICES);
        let base = (total / slices * BASE_WEIGHT_SHARE).max(MIN_BASE_WEIGHT);
        for index in 0..self.units.len() {
            let entry = &mut self.units[index];
            entry.weight = rate(entry.unit) + base;
            let entry = self.units[index];
            if let Some(final_owner) = entry.next_owner.or(entry.owner) {
                self.owners.add_load(final_owner, entry.weight);
            }
        }
        self.owners.sort();
    }

    /// Grants a unit to an owner and locks it until the grant is written.
    pub fn assign_to(&mut self, index: usize, owner: usize) {
        self.transfer_load(index, owner);
        let entry = &mut self.units[index];
        entry.owner = Some(owner);
        entry.next_owner = None;
        entry.locked = true;
        let change = UnitChange::Assign(self.owners.get(owner).id.clone());
        let unit = entry.unit;
        self.change(unit, change);
    }

    /// Plans the move of a unit to another owner and locks it until the plan is written.
    pub fn move_to(&mut self, index: usize, next: usize) {
        self.transfer_load(index, next);
        let entry = &mut self.units[index];
        entry.next_owner = Some(next);
        entry.locked = true;
        let change = UnitChange::Move(self.owners.get(next).id.clone());
        let unit = entry.unit;
        self.change(unit, change);
    }

    /// Adds a change of a unit to its page.
    pub fn change(&mut self, unit: Unit, change: UnitChange) {
        let changes = self.changes.entry(page_of(unit)).or_default();
        changes.push((unit, change));
    }

    /// Moves a unit's load to another owner.
    fn transfer_load(&mut self, index: usize, owner: usize) {
        let entry = self.units[index];
        if let Some(final_owner) = entry.next_owner.or(entry.owner) {
            self.owners.adjust_load(final_owner, entry.weight, false);
        }
        self.owners.adjust_load(owner, entry.weight, true);
    }

    /// Returns the index of a pinned key's entry.
    #[must_use]
    pub fn find_pin(&self, key: KeyHash) -> Option<usize> {
        let first = (PAGES * PAGE_SLICES) as usize;
        let found = self.units[first..]
            .iter()
            .position(|entry| entry.unit == Unit::Key(key));
        found.map(|offset| first + offset)
    }

    /// Returns the entries of the pinned keys, with their indices.
    pub fn pins(&self) -> impl Iterator<Item = (usize, KeyHash, &UnitEntry)> {
        let first = (PAGES * PAGE_SLICES) as usize;
        let keys = self.units.iter().enumerate().skip(first);
        keys.filter_map(|(index, entry)| match entry.unit {
            Unit::Key(key) => Some((index, key, entry)),
            Unit::Slice(_) => None,
        })
    }
}

/// Base weight of a unit, as a share of the mean load of a slice.
const BASE_WEIGHT_SHARE: f64 = 0.005;

/// Base weight of a unit in a service without any load.
const MIN_BASE_WEIGHT: f64 = 1e-4;

/// Returns whether the write of an agent's end is pending. Until the records show it, the agent gets no more
/// units and keeps those that it has.
#[must_use]
pub fn has_pending_verdict(pending_writes: &PendingWrites, id: &AgentId) -> bool {
    let pending = pending_writes.pending(&member_key(id));
    pending.is_some_and(|write| match &write.body {
        WriteBody::Member(member) => member.state.has_ended(),
        _ => false,
    })
}

/// Returns the eligibility of an agent that is not an endpoint of the service.
fn eligibility(view: &FleetView, pending_writes: &PendingWrites, id: &AgentId) -> OwnerEligibility {
    match view.member(id) {
        Some(member) if !member.state.has_ended() && has_pending_verdict(pending_writes, id) => {
            OwnerEligibility::Unknown
        }
        Some(member) if member.state.has_ended() => OwnerEligibility::Ended,
        Some(_) => OwnerEligibility::Draining,
        None => OwnerEligibility::Unknown,
    }
}

/// Returns a page as the pending write sets it, or else as it is in the records.
#[must_use]
pub fn newest_page<'a>(
    view: &'a FleetView,
    pending_writes: &'a PendingWrites,
    service: &ServiceKey,
    number: u32,
) -> Option<&'a PageRecord> {
    let key = page_key(&service.0, &service.1, number);
    match pending_writes.pending(&key).map(|write| &write.body) {
        Some(WriteBody::Page(page)) => Some(page),
        _ => recorded_page(view, service, number),
    }
}

/// Returns a page as it is in the records.
#[must_use]
pub fn recorded_page<'a>(
    view: &'a FleetView,
    service: &ServiceKey,
    number: u32,
) -> Option<&'a PageRecord> {
    Some(&view.pages.get(service)?.get(&number)?.value)
}

/// Returns the slices of keys that a pending write pins or unpins; these slices must not be moved.
fn slices_being_pinned(
    view: &FleetView,
    pending_writes: &PendingWrites,
    service: &ServiceKey,
) -> BTreeSet<SliceId> {
    let keys = |page: Option<&PageRecord>| -> BTreeSet<KeyHash> {
        let pins = page.iter().flat_map(|page| &page.pins);
        pins.map(|pin| pin.key).collect()
    };
    let recorded = keys(recorded_page(view, service, PAGES));
    let newest = keys(newest_page(view, pending_writes, service, PAGES));
    recorded
        .symmetric_difference(&newest)
        .map(|key| key.slice())
        .collect()
}
