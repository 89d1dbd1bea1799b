//! Draft of one page of the assignment, to which changes of units are applied.

use std::collections::BTreeMap;

use jy_types::assign::Fence;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::assign::PinnedKey;
use jy_types::key::KeyHash;
use jy_types::key::PAGE_SLICES;
use jy_types::key::PAGES;
use jy_types::key::Unit;
use jy_types::member::AgentId;

/// Change of one unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnitChange {
    /// Grants the unit to an owner under a new fence and ends a planned move.
    Assign(AgentId),
    /// Plans the move of the unit to another owner, which gets it once the current owner releases it.
    Move(AgentId),
    /// Pins the key at the owner of its slice, apart from the slice.
    Pin(AgentId),
    /// Removes the pin, so that the key belongs to its slice again.
    Unpin,
}

#[derive(Clone, Debug)]
pub struct PageDraft {
    page: PageRecord,
    index: BTreeMap<AgentId, u16>,
}

impl PageDraft {
    /// Starts from an existing page, or from an empty page with this number.
    #[must_use]
    pub fn new(number: u32, page: Option<&PageRecord>) -> Self {
        let mut page = page.cloned().unwrap_or_default();
        if number < PAGES {
            page.slices.resize(PAGE_SLICES as usize, Grant::default());
        }
        let mut draft = Self {
            page,
            index: BTreeMap::new(),
        };
        draft.drop_unused_owners();
        draft
    }

    /// Applies one change. `next_fence` is called only if the change makes a grant.
    pub fn apply(&mut self, unit: Unit, change: &UnitChange, next_fence: impl FnOnce() -> u64) {
        match (unit, change) {
            (Unit::Key(key), UnitChange::Pin(owner)) => self.pin(key, owner, next_fence()),
            (Unit::Key(key), UnitChange::Unpin) => self.page.pins.retain(|pin| pin.key != key),
            (_, UnitChange::Assign(owner) | UnitChange::Pin(owner)) => {
                let owner = self.index_of(owner);
                let fence = next_fence();
                if let Some(grant) = self.grant_mut(unit) {
                    grant.initial = grant.fence == Fence::default();
                    grant.owner = Some(owner);
                    grant.next_owner = None;
                    grant.fence.0 = fence;
                }
            }
            (_, UnitChange::Move(next)) => {
                let next = self.index_of(next);
                if let Some(grant) = self.grant_mut(unit) {
                    grant.next_owner = Some(next);
                }
            }
            (Unit::Slice(_), UnitChange::Unpin) => {}
        }
    }

    /// Returns the page as its next generation, with the term and the token of the write.
    #[must_use]
    pub fn finish(mut self, term: u64, token: u64) -> PageRecord {
        self.page.term = term;
        self.page.generation += 1;
        self.page.token = token;
        self.drop_unused_owners();
        self.page
    }

    /// Adds a pinned key and keeps the pins sorted by key.
    fn pin(&mut self, key: KeyHash, owner: &AgentId, fence: u64) {
        let mut grant = Grant {
            owner: Some(self.index_of(owner)),
            ..Grant::default()
        };
        grant.fence.0 = fence;
        if let Err(position) = self.page.pins.binary_search_by_key(&key, |pin| pin.key) {
            self.page.pins.insert(position, PinnedKey { key, grant });
        }
    }

    fn grant_mut(&mut self, unit: Unit) -> Option<&mut Grant> {
        match unit {
            Unit::Slice(slice) => self.page.slices.get_mut(slice.page().1),
            Unit::Key(key) => {
                let pins = &mut self.page.pins;
                let position = pins.binary_search_by_key(&key, |pin| pin.key).ok()?;
                Some(&mut pins[position].grant)
            }
        }
    }

    /// Returns the index of an owner in the page, adding the owner if it is new.
    fn index_of(&mut self, owner: &AgentId) -> u16 {
        if let Some(index) = self.index.get(owner) {
            return *index;
        }
        let index = u16::try_from(self.page.owners.len()).unwrap_or(u16::MAX);
        self.page.owners.push(owner.clone());
        self.index.insert(owner.clone(), index);
        index
    }

    /// Rebuilds the list of owners without those that no grant refers to.
    fn drop_unused_owners(&mut self) {
        let owners = std::mem::take(&mut self.page.owners);
        self.index.clear();
        let mut page = std::mem::take(&mut self.page);
        let pinned = page.pins.iter_mut().map(|pin| &mut pin.grant);
        for grant in page.slices.iter_mut().chain(pinned) {
            for slot in [&mut grant.owner, &mut grant.next_owner] {
                let id = slot.and_then(|index| owners.get(usize::from(index)));
                *slot = id.map(|id| self.index_of(id));
            }
        }
        page.owners = std::mem::take(&mut self.page.owners);
        self.page = page;
    }
}
