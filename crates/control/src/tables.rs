//! Units of one service with their owners, as they will be once the writes under way have ended.

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

/// One unit.
#[derive(Clone, Copy, Debug)]
pub struct UnitEntry {
    /// The unit.
    pub unit: Unit,
    /// Its owner.
    pub owner: Option<usize>,
    /// The owner to come.
    pub next: Option<usize>,
    /// The fence of the owner's grant.
    pub fence: Fence,
    /// Its load.
    pub weight: f64,
    /// Whether it must not change now, since a write that touches it is under way.
    pub locked: bool,
}

/// All units and owners of a service, and the changes wanted.
#[derive(Clone, Debug, Default)]
pub struct ServiceTable {
    /// Owners.
    pub owners: OwnerTable,
    /// Slices in order, then pinned keys.
    pub units: Vec<UnitEntry>,
    /// Changes by page.
    pub changes: BTreeMap<u32, Vec<(Unit, UnitChange)>>,
    /// Pages to write under this term, changed or not.
    pub adopted: BTreeSet<u32>,
}

/// Returns the page of a unit.
#[must_use]
pub const fn page_of(unit: Unit) -> u32 {
    match unit {
        Unit::Slice(slice) => slice.page().0,
        Unit::Key(_) => PAGES,
    }
}

impl ServiceTable {
    /// Reads the units of a service. `owners` holds its endpoints.
    #[must_use]
    pub fn new(
        view: &FleetView,
        ledger: &PendingWrites,
        service: &ServiceKey,
        owners: OwnerTable,
    ) -> Self {
        let mut table = Self {
            owners,
            ..Self::default()
        };
        let unsettled = unsettled_slices(view, ledger, service);
        for number in 0..=PAGES {
            let key = page_key(&service.0, &service.1, number);
            let locked = !ledger.is_page_free(&key);
            let page = newest_page(view, ledger, service, number);
            table.read_page(number, page, locked, |id| standing(view, ledger, id));
        }
        for slice in unsettled {
            table.units[slice.0 as usize].locked = true;
        }
        table
    }

    /// Reads one page.
    fn read_page(
        &mut self,
        number: u32,
        page: Option<&PageRecord>,
        locked: bool,
        standing: impl Fn(&AgentId) -> OwnerEligibility,
    ) {
        let owners: Vec<usize> = page
            .iter()
            .flat_map(|page| &page.owners)
            .map(|id| self.owners.add(id.clone(), standing(id), 1.0))
            .collect();
        let entry = |unit: Unit, grant: Grant| UnitEntry {
            unit,
            owner: grant.owner.map(|index| owners[usize::from(index)]),
            next: grant.next.map(|index| owners[usize::from(index)]),
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
        for place in 0..PAGE_SLICES {
            let grant = page.and_then(|page| page.slices.get(place as usize));
            let unit = Unit::Slice(SliceId(number * PAGE_SLICES + place));
            self.units
                .push(entry(unit, grant.copied().unwrap_or_default()));
        }
    }

    /// Sets the load of every unit and sums it up by owner. Units without a measured load count
    /// little, and all the same.
    pub fn set_loads(&mut self, loads: Option<&ServiceLoads>) {
        let rate = |unit: Unit| match (loads, unit) {
            (None, _) => 0.0,
            (Some(loads), Unit::Slice(slice)) => f64::from(loads.slice_rate(slice.0 as usize)),
            (Some(loads), Unit::Key(key)) => f64::from(loads.key_rate(key)),
        };
        let total: f64 = self.units.iter().map(|entry| rate(entry.unit)).sum();
        let slices = f64::from(PAGES * PAGE_SLICES);
        let base = (total / slices * BASE_SHARE).max(LEAST_WEIGHT);
        for index in 0..self.units.len() {
            let entry = &mut self.units[index];
            entry.weight = rate(entry.unit) + base;
            let entry = self.units[index];
            if let Some(bearer) = entry.next.or(entry.owner) {
                self.owners.add_load(bearer, entry.weight);
            }
        }
        self.owners.sort();
    }

    /// Grants a unit to an owner. It changes no further until that is written.
    pub fn own(&mut self, index: usize, owner: usize) {
        self.bear(index, owner);
        let entry = &mut self.units[index];
        entry.owner = Some(owner);
        entry.next = None;
        entry.locked = true;
        let change = UnitChange::Own(self.owners.get(owner).id.clone());
        let unit = entry.unit;
        self.change(unit, change);
    }

    /// Plans the move of a unit to another owner. It changes no further until that is written.
    pub fn move_to(&mut self, index: usize, next: usize) {
        self.bear(index, next);
        let entry = &mut self.units[index];
        entry.next = Some(next);
        entry.locked = true;
        let change = UnitChange::Move(self.owners.get(next).id.clone());
        let unit = entry.unit;
        self.change(unit, change);
    }

    /// Notes a change of a unit.
    pub fn change(&mut self, unit: Unit, change: UnitChange) {
        let changes = self.changes.entry(page_of(unit)).or_default();
        changes.push((unit, change));
    }

    /// Counts a unit's load at another owner.
    fn bear(&mut self, index: usize, owner: usize) {
        let entry = self.units[index];
        if let Some(bearer) = entry.next.or(entry.owner) {
            self.owners.shift(bearer, entry.weight, false);
        }
        self.owners.shift(owner, entry.weight, true);
    }

    /// Returns the index of a pinned key's entry.
    #[must_use]
    pub fn find_pin(&self, key: KeyHash) -> Option<usize> {
        let first = (PAGES * PAGE_SLICES) as usize;
        let found = self.units[first..]
            .iter()
            .position(|entry| entry.unit == Unit::Key(key));
        found.map(|place| first + place)
    }

    /// Returns the pinned keys' entries, with their indices.
    pub fn pins(&self) -> impl Iterator<Item = (usize, KeyHash, &UnitEntry)> {
        let first = (PAGES * PAGE_SLICES) as usize;
        let keys = self.units.iter().enumerate().skip(first);
        keys.filter_map(|(index, entry)| match entry.unit {
            Unit::Key(key) => Some((index, key, entry)),
            Unit::Slice(_) => None,
        })
    }
}

/// Weight of a slice without load, as a share of the mean.
const BASE_SHARE: f64 = 0.005;

/// Weight of a slice where nothing has any load.
const LEAST_WEIGHT: f64 = 1e-4;

/// Whether a verdict on an agent is being written: it gets nothing more, and what it has stays
/// until the verdict is in the records.
#[must_use]
pub fn is_condemned(ledger: &PendingWrites, id: &AgentId) -> bool {
    let pending = ledger.pending(&member_key(id));
    pending.is_some_and(|write| match &write.body {
        WriteBody::Member(member) => member.state.has_ended(),
        _ => false,
    })
}

/// Returns what an agent that is no endpoint may do.
fn standing(view: &FleetView, ledger: &PendingWrites, id: &AgentId) -> OwnerEligibility {
    match view.member(id) {
        Some(member) if !member.state.has_ended() && is_condemned(ledger, id) => {
            OwnerEligibility::Unknown
        }
        Some(member) if member.state.has_ended() => OwnerEligibility::Over,
        Some(_) => OwnerEligibility::Draining,
        None => OwnerEligibility::Unknown,
    }
}

/// Returns a page as the write under way makes it, or as the records have it.
#[must_use]
pub fn newest_page<'a>(
    view: &'a FleetView,
    ledger: &'a PendingWrites,
    service: &ServiceKey,
    number: u32,
) -> Option<&'a PageRecord> {
    let key = page_key(&service.0, &service.1, number);
    match ledger.pending(&key).map(|write| &write.body) {
        Some(WriteBody::Page(page)) => Some(page),
        _ => recorded_page(view, service, number),
    }
}

/// Returns a page as the records have it.
#[must_use]
pub fn recorded_page<'a>(
    view: &'a FleetView,
    service: &ServiceKey,
    number: u32,
) -> Option<&'a PageRecord> {
    Some(&view.pages.get(service)?.get(&number)?.value)
}

/// Returns the slices of keys that a write under way pins or unpins: nobody may move them.
fn unsettled_slices(
    view: &FleetView,
    ledger: &PendingWrites,
    service: &ServiceKey,
) -> BTreeSet<SliceId> {
    let keys = |page: Option<&PageRecord>| -> BTreeSet<KeyHash> {
        let pins = page.iter().flat_map(|page| &page.pins);
        pins.map(|pin| pin.key).collect()
    };
    let recorded = keys(recorded_page(view, service, PAGES));
    let newest = keys(newest_page(view, ledger, service, PAGES));
    recorded
        .symmetric_difference(&newest)
        .map(|key| key.slice())
        .collect()
}
