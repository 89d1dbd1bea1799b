//! Checks every write to the simulated store against the invariants of the records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
use jy_types::member::MemberRecord;
use jy_types::record::Record;
use jy_types::record::RecordKey;
use serde::de::DeserializeOwned;

use crate::fake_loads::PageMap;

/// A unit that its owner has released, with the fence of the released grant.
pub type ReleasedUnit = (ServiceKey, Unit, Fence);

/// Counts of violated invariants and of changes, and the newest records to compare writes with.
#[derive(Clone, Debug, Default)]
pub struct RecordChecks {
    /// Newest member records.
    pub members: BTreeMap<AgentId, MemberRecord>,
    /// Newest pages by service.
    pub pages: BTreeMap<ServiceKey, PageMap>,
    /// Units that their owners have released.
    pub released: BTreeSet<ReleasedUnit>,
    /// Changes of owner although the old owner had neither ended nor released the unit, pins set or removed at
    /// an agent that does not own the key's slice, and pins set after the slice was released.
    pub ownership_overlaps: u64,
    /// Units that had an owner and lost it without getting another.
    pub units_lost: u64,
    /// Grants whose fence is not higher than the previous one.
    pub fences_not_grown: u64,
    /// Pages and member records that replaced one of a higher term, and pages whose generation did not grow.
    pub outdated_writes: u64,
    /// Member records changed after their verdict.
    pub verdicts_changed: u64,
    /// Units granted to an agent that had ended.
    pub granted_to_lost: u64,
    /// Number of changes of a unit's owner.
    pub moves: u64,
    /// Size of the largest page in bytes.
    pub max_page_bytes: usize,
    /// Agents whose monitor sets changed. The fleet drains this list after each write of a controller.
    pub changed_monitor_sets: Vec<AgentId>,
    /// Highest fence that each pinned key has had, kept after the key is unpinned.
    key_fences: BTreeMap<(ServiceKey, KeyHash), Fence>,
}

impl RecordChecks {
    /// Checks a written record. Returns the units in it whose grant changed.
    pub fn observe(&mut self, record: &Record) -> Vec<(ServiceKey, Unit, Grant)> {
        match RecordKey::parse(&record.key) {
            Some(RecordKey::Member(_)) => {
                self.observe_member(record);
                Vec::new()
            }
            Some(RecordKey::Page {
                workspace,
                service,
                page,
            }) => self.observe_page((workspace, service), page, record),
            _ => Vec::new(),
        }
    }

    /// Checks a member record.
    fn observe_member(&mut self, record: &Record) {
        let Some(new) = parse_value::<MemberRecord>(record) else {
            return;
        };
        let mut same_monitors = false;
        if let Some(old) = self.members.get(&new.id) {
            same_monitors = old.monitors == new.monitors && old.next_monitors == new.next_monitors;
            self.verdicts_changed += u64::from(old.state.has_ended() && *old != new);
            self.outdated_writes += u64::from(new.term > 0 && new.term < old.term);
        }
        if !same_monitors {
            self.changed_monitor_sets.push(new.id.clone());
        }
        self.members.insert(new.id.clone(), new);
    }

    /// Checks a page. Returns the units in it whose grant changed.
    fn observe_page(
        &mut self,
        service: ServiceKey,
        number: u32,
        record: &Record,
    ) -> Vec<(ServiceKey, Unit, Grant)> {
        let Some(new) = parse_value::<PageRecord>(record) else {
            return Vec::new();
        };
        let bytes = record.value.as_ref().map_or(0, |value| value.len());
        self.max_page_bytes = self.max_page_bytes.max(bytes);
        let pages = self.pages.entry(service.clone()).or_default();
        let old = pages.insert(number, new.clone()).unwrap_or_default();
        let outdated = new.term < old.term || new.generation <= old.generation;
        self.outdated_writes += u64::from(outdated);
        if number == PAGES {
            return self.compare_pins(&service, &old, &new);
        }
        let mut changed = Vec::new();
        for (offset, grant) in new.slices.iter().enumerate() {
            let before = old.slices.get(offset).copied().unwrap_or_default();
            let unit = Unit::Slice(SliceId(number * PAGE_SLICES + offset as u32));
            if self.compare_grant(&service, unit, (&old, before), (&new, *grant)) {
                changed.push((service.clone(), unit, *grant));
            }
        }
        changed
    }

    /// Checks the change of a grant. Returns whether it changed at all.
    fn compare_grant(
        &mut self,
        service: &ServiceKey,
        unit: Unit,
        (old_page, old): (&PageRecord, Grant),
        (new_page, new): (&PageRecord, Grant),
    ) -> bool {
        let old_owner = owner_id(old_page, old.owner);
        let new_owner = owner_id(new_page, new.owner);
        let old_next = owner_id(old_page, old.next_owner);
        let new_next = owner_id(new_page, new.next_owner);
        let same_owner = old_owner == new_owner;
        if same_owner && old.fence == new.fence && old_next == new_next {
            return false;
        }
        self.units_lost += u64::from(old_owner.is_some() && new_owner.is_none());
        if !same_owner || old.fence != new.fence {
            self.fences_not_grown += u64::from(new.fence <= old.fence);
        }
        if let Some(owner) = new_owner.filter(|_| !same_owner) {
            self.granted_to_lost += u64::from(self.has_ended(owner));
        }
        if let Some(owner) = old_owner.filter(|_| !same_owner) {
            self.moves += 1;
            let released = self.released.contains(&(service.clone(), unit, old.fence));
            let ended = self.has_ended(owner);
            self.ownership_overlaps += u64::from(!released && !ended);
        }
        true
    }

    /// Checks the changes of pinned keys. A key may be pinned and unpinned only while it belongs to the owner
    /// of its slice. Returns the keys whose grant changed.
    fn compare_pins(
        &mut self,
        service: &ServiceKey,
        old: &PageRecord,
        new: &PageRecord,
    ) -> Vec<(ServiceKey, Unit, Grant)> {
        let mut changed = Vec::new();
        for pin in &new.pins {
            let before = old.pins.iter().find(|other| other.key == pin.key);
            let unit = Unit::Key(pin.key);
            if let Some(before) = before {
                if self.compare_grant(service, unit, (old, before.grant), (new, pin.grant)) {
                    changed.push((service.clone(), unit, pin.grant));
                }
            } else {
                self.check_pin(
                    service,
                    pin.key,
                    owner_id(new, pin.grant.owner),
                    pin.grant.fence,
                );
            }
            self.key_fences
                .insert((service.clone(), pin.key), pin.grant.fence);
        }
        for pin in &old.pins {
            if !new.pins.iter().any(|other| other.key == pin.key) {
                self.check_unpin(
                    service,
                    pin.key,
                    owner_id(old, pin.grant.owner),
                    pin.grant.fence,
                );
            }
        }
        changed
    }

    /// Checks a new pin. It must belong to the owner of the slice, which must not have released the slice, and
    /// its fence must be higher than the slice's and any earlier one of the key.
    fn check_pin(
        &mut self,
        service: &ServiceKey,
        key: KeyHash,
        owner: Option<&AgentId>,
        fence: Fence,
    ) {
        let Some((slice_owner, grant)) = self.current_grant(service, Unit::Slice(key.slice()))
        else {
            return;
        };
        let unit = Unit::Slice(key.slice());
        let released = self
            .released
            .contains(&(service.clone(), unit, grant.fence));
        self.ownership_overlaps += u64::from(owner != Some(&slice_owner) || released);
        let previous = self.key_fences.get(&(service.clone(), key)).copied();
        let highest = grant.fence.max(previous.unwrap_or_default());
        self.fences_not_grown += u64::from(fence <= highest);
    }

    /// Checks a removed pin. The key must have belonged to the owner of the slice that it returns to, and the
    /// slice's fence must be higher than the key's.
    fn check_unpin(
        &mut self,
        service: &ServiceKey,
        key: KeyHash,
        owner: Option<&AgentId>,
        fence: Fence,
    ) {
        let Some((slice_owner, grant)) = self.current_grant(service, Unit::Slice(key.slice()))
        else {
            return;
        };
        self.ownership_overlaps += u64::from(owner != Some(&slice_owner));
        self.fences_not_grown += u64::from(grant.fence <= fence);
    }

    /// Returns the owner of a unit and its grant, or none if the unit has no owner.
    #[must_use]
    pub fn current_grant(&self, service: &ServiceKey, unit: Unit) -> Option<(AgentId, Grant)> {
        let pages = self.pages.get(service)?;
        let (page, grant) = match unit {
            Unit::Slice(slice) => {
                let (number, offset) = slice.page();
                let page = pages.get(&number)?;
                (page, *page.slices.get(offset)?)
            }
            Unit::Key(key) => {
                let page = pages.get(&PAGES)?;
                let index = page.pins.binary_search_by_key(&key, |pin| pin.key).ok()?;
                (page, page.pins[index].grant)
            }
        };
        Some((owner_id(page, grant.owner)?.clone(), grant))
    }

    /// Whether an agent has ended according to its member record.
    #[must_use]
    pub fn has_ended(&self, id: &AgentId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| member.state.has_ended())
    }

    /// Counts the units of every owner. Units in a planned move count for their present owner.
    #[must_use]
    pub fn units_by_owner(&self) -> BTreeMap<AgentId, u64> {
        let mut counts = BTreeMap::new();
        for page in self.pages.values().flat_map(|pages| pages.values()) {
            let pins = page.pins.iter().map(|pin| &pin.grant);
            for grant in page.slices.iter().chain(pins) {
                if let Some(owner) = owner_id(page, grant.owner) {
                    *counts.entry(owner.clone()).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Returns the number of slices without an owner.
    #[must_use]
    pub fn unowned_slices(&self) -> u64 {
        let grants = self
            .pages
            .values()
            .flat_map(|pages| pages.values())
            .flat_map(|page| &page.slices);
        grants.filter(|grant| grant.owner.is_none()).count() as u64
    }

    /// Returns the number of units in planned moves.
    #[must_use]
    pub fn moving_units(&self) -> u64 {
        let grants = self
            .pages
            .values()
            .flat_map(|pages| pages.values())
            .flat_map(|page| {
                page.slices
                    .iter()
                    .chain(page.pins.iter().map(|pin| &pin.grant))
            });
        grants.filter(|grant| grant.next_owner.is_some()).count() as u64
    }
}

/// Returns the agent at an index of a page's list of owners.
fn owner_id(page: &PageRecord, index: Option<u16>) -> Option<&AgentId> {
    page.owners.get(usize::from(index?))
}

/// Parses the value of a record, or returns none if it is deleted or malformed.
fn parse_value<T: DeserializeOwned>(record: &Record) -> Option<T> {
    serde_json::from_str(record.value.as_ref()?).ok()
}
