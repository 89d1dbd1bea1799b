//! Checks of every write to the fake store: what must hold of the records whatever happens.

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

/// A unit whose owner has let it go under a fence.
pub type ReleasedUnit = (ServiceKey, Unit, Fence);

/// What the records broke, and how much they changed.
#[derive(Clone, Debug, Default)]
pub struct RecordChecks {
    /// Members.
    pub members: BTreeMap<AgentId, MemberRecord>,
    /// Pages by service.
    pub pages: BTreeMap<ServiceKey, PageMap>,
    /// Units that their owners let go.
    pub released: BTreeSet<ReleasedUnit>,
    /// Grants taken from an owner that was neither over nor had let go.
    pub overlaps: u64,
    /// Units that had an owner and have none.
    pub lost: u64,
    /// Grants whose fence is not above the one before.
    pub fences_not_grown: u64,
    /// Pages or members written over a higher term, or a generation that did not grow.
    pub terms_broken: u64,
    /// Records of members changed after their verdict.
    pub verdicts_changed: u64,
    /// Units granted to an owner that was over.
    pub granted_to_lost: u64,
    /// Units whose owner changed.
    pub moves: u64,
    /// Largest page in bytes.
    pub page_bytes: usize,
    /// Agents whose monitor sets changed since the fleet last looked.
    pub sets_changed: Vec<AgentId>,
    /// Highest fence that each pinned key ever had.
    key_fences: BTreeMap<(ServiceKey, KeyHash), Fence>,
}

impl RecordChecks {
    /// Looks at a record that was written; returns the units of it whose owner or move changed.
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

    /// Looks at a member's record.
    fn observe_member(&mut self, record: &Record) {
        let Some(new) = read::<MemberRecord>(record) else {
            return;
        };
        let mut same = false;
        if let Some(old) = self.members.get(&new.id) {
            same = old.monitors == new.monitors && old.next_monitors == new.next_monitors;
            self.verdicts_changed += u64::from(old.state.has_ended() && *old != new);
            self.terms_broken += u64::from(new.term > 0 && new.term < old.term);
        }
        if !same {
            self.sets_changed.push(new.id.clone());
        }
        self.members.insert(new.id.clone(), new);
    }

    /// Looks at a page.
    fn observe_page(
        &mut self,
        service: ServiceKey,
        number: u32,
        record: &Record,
    ) -> Vec<(ServiceKey, Unit, Grant)> {
        let Some(new) = read::<PageRecord>(record) else {
            return Vec::new();
        };
        let bytes = record.value.as_ref().map_or(0, |value| value.len());
        self.page_bytes = self.page_bytes.max(bytes);
        let pages = self.pages.entry(service.clone()).or_default();
        let old = pages.insert(number, new.clone()).unwrap_or_default();
        let broken = new.term < old.term || new.generation <= old.generation;
        self.terms_broken += u64::from(broken);
        if number == PAGES {
            return self.compare_pins(&service, &old, &new);
        }
        let mut changed = Vec::new();
        for (place, grant) in new.slices.iter().enumerate() {
            let before = old.slices.get(place).copied().unwrap_or_default();
            let unit = Unit::Slice(SliceId(number * PAGE_SLICES + place as u32));
            if self.compare_grant(&service, unit, (&old, before), (&new, *grant)) {
                changed.push((service.clone(), unit, *grant));
            }
        }
        changed
    }

    /// Compares one grant before and after; returns whether it changed.
    fn compare_grant(
        &mut self,
        service: &ServiceKey,
        unit: Unit,
        (old_page, old): (&PageRecord, Grant),
        (new_page, new): (&PageRecord, Grant),
    ) -> bool {
        let old_owner = name(old_page, old.owner);
        let new_owner = name(new_page, new.owner);
        let old_next = name(old_page, old.next);
        let new_next = name(new_page, new.next);
        let same_owner = old_owner == new_owner;
        if same_owner && old.fence == new.fence && old_next == new_next {
            return false;
        }
        self.lost += u64::from(old_owner.is_some() && new_owner.is_none());
        if !same_owner || old.fence != new.fence {
            self.fences_not_grown += u64::from(new.fence <= old.fence);
        }
        if let Some(owner) = new_owner.filter(|_| !same_owner) {
            self.granted_to_lost += u64::from(self.has_ended(owner));
        }
        if let Some(owner) = old_owner.filter(|_| !same_owner) {
            self.moves += 1;
            let released = self.released.contains(&(service.clone(), unit, old.fence));
            let over = self.has_ended(owner);
            self.overlaps += u64::from(!released && !over);
        }
        true
    }

    /// Compares pinned keys before and after. A pin may come and go only at its slice's owner.
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
                    name(new, pin.grant.owner),
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
                    name(old, pin.grant.owner),
                    pin.grant.fence,
                );
            }
        }
        changed
    }

    /// Checks a new pin: at the slice's owner, which still holds the slice, under a higher fence.
    fn check_pin(
        &mut self,
        service: &ServiceKey,
        key: KeyHash,
        owner: Option<&AgentId>,
        fence: Fence,
    ) {
        let Some((slice_owner, grant)) = self.holder(service, Unit::Slice(key.slice())) else {
            return;
        };
        let unit = Unit::Slice(key.slice());
        let gone = self
            .released
            .contains(&(service.clone(), unit, grant.fence));
        self.overlaps += u64::from(owner != Some(&slice_owner) || gone);
        let before = self.key_fences.get(&(service.clone(), key)).copied();
        let least = grant.fence.max(before.unwrap_or_default());
        self.fences_not_grown += u64::from(fence <= least);
    }

    /// Checks a dropped pin: the key goes to its slice at the same owner, under a higher fence.
    fn check_unpin(
        &mut self,
        service: &ServiceKey,
        key: KeyHash,
        owner: Option<&AgentId>,
        fence: Fence,
    ) {
        let Some((slice_owner, grant)) = self.holder(service, Unit::Slice(key.slice())) else {
            return;
        };
        self.overlaps += u64::from(owner != Some(&slice_owner));
        self.fences_not_grown += u64::from(grant.fence <= fence);
    }

    /// Returns the owner of a unit and its grant.
    #[must_use]
    pub fn holder(&self, service: &ServiceKey, unit: Unit) -> Option<(AgentId, Grant)> {
        let pages = self.pages.get(service)?;
        let (page, grant) = match unit {
            Unit::Slice(slice) => {
                let (number, place) = slice.page();
                let page = pages.get(&number)?;
                (page, *page.slices.get(place)?)
            }
            Unit::Key(key) => {
                let page = pages.get(&PAGES)?;
                let place = page.pins.binary_search_by_key(&key, |pin| pin.key).ok()?;
                (page, page.pins[place].grant)
            }
        };
        Some((name(page, grant.owner)?.clone(), grant))
    }

    /// Whether the records tell that an agent is over.
    #[must_use]
    pub fn has_ended(&self, id: &AgentId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| member.state.has_ended())
    }

    /// Counts the units of every owner, those on their way to it not included.
    #[must_use]
    pub fn units_by_owner(&self) -> BTreeMap<AgentId, u64> {
        let mut counts = BTreeMap::new();
        for page in self.pages.values().flat_map(|pages| pages.values()) {
            let pins = page.pins.iter().map(|pin| &pin.grant);
            for grant in page.slices.iter().chain(pins) {
                if let Some(owner) = name(page, grant.owner) {
                    *counts.entry(owner.clone()).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Counts slices without an owner.
    #[must_use]
    pub fn unowned(&self) -> u64 {
        let grants = self
            .pages
            .values()
            .flat_map(|pages| pages.values())
            .flat_map(|page| &page.slices);
        grants.filter(|grant| grant.owner.is_none()).count() as u64
    }

    /// Counts units in planned moves.
    #[must_use]
    pub fn moving(&self) -> u64 {
        let grants = self
            .pages
            .values()
            .flat_map(|pages| pages.values())
            .flat_map(|page| {
                page.slices
                    .iter()
                    .chain(page.pins.iter().map(|pin| &pin.grant))
            });
        grants.filter(|grant| grant.next.is_some()).count() as u64
    }
}

/// Returns the agent behind an index of a page.
fn name(page: &PageRecord, index: Option<u16>) -> Option<&AgentId> {
    page.owners.get(usize::from(index?))
}

/// Reads the value of a record.
fn read<T: DeserializeOwned>(record: &Record) -> Option<T> {
    serde_json::from_str(record.value.as_ref()?).ok()
}
