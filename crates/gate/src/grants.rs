//! Units that the agent owns, since when, and what it can know of their requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use jy_types::assign::Fence;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::time::Millis;

use crate::api::GrantMap;
use crate::api::OwnedUnit;

/// Returns the slice that holds a unit.
#[must_use]
pub const fn slice_of(unit: Unit) -> SliceId {
    match unit {
        Unit::Slice(slice) => slice,
        Unit::Key(key) => key.slice(),
    }
}

/// A unit as it came to this agent.
#[derive(Clone, Copy, Debug)]
struct GainedUnit {
    fence: Fence,
    handed_over: bool,
    /// It serves from here on.
    serve_from: Millis,
    /// Ids first sent before this point are not all known.
    memory_from: Millis,
}

/// Whether a request of a unit may be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitVerdict {
    /// The agent owns it and may serve it from this point on.
    Owned {
        /// The fence of the grant.
        fence: Fence,
        /// Ids first sent before this point are not all known.
        memory_from: Millis,
    },
    /// It is on its way to another owner.
    Leaving,
    /// The agent does not own it.
    NotOwned,
}

/// What the agent owns.
#[derive(Clone, Debug, Default)]
pub struct OwnedGrants {
    grants: Arc<GrantMap>,
    gained: BTreeMap<Unit, GainedUnit>,
    released: BTreeSet<Unit>,
    /// Points at which units begin to serve.
    starts: BTreeSet<Millis>,
}

impl OwnedGrants {
    /// Starts without grants.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces all grants and returns the slices of which nothing is owned any more.
    pub fn replace(&mut self, now: Millis, margin_ms: u64, grants: Arc<GrantMap>) -> Vec<SliceId> {
        let gained: BTreeMap<Unit, GainedUnit> = grants
            .iter()
            .map(|(unit, owned)| (*unit, self.gain(now, margin_ms, *unit, *owned)))
            .collect();
        self.starts = gained.values().map(|unit| unit.serve_from).collect();
        let before: BTreeSet<SliceId> = self.grants.keys().map(|unit| slice_of(*unit)).collect();
        let after: BTreeSet<SliceId> = grants.keys().map(|unit| slice_of(*unit)).collect();
        let previous = std::mem::replace(&mut self.gained, gained);
        self.inherit_unpinned(&previous);
        let kept = |unit: &Unit| same_fence(&previous, &self.gained, *unit);
        self.released.retain(kept);
        self.grants = grants;
        before.difference(&after).copied().collect()
    }

    /// Says whether a request of a unit may be admitted.
    #[must_use]
    pub fn verdict(&self, unit: Unit) -> UnitVerdict {
        let (Some(owned), Some(gained)) = (self.grants.get(&unit), self.gained.get(&unit)) else {
            return UnitVerdict::NotOwned;
        };
        if owned.leaving || self.released.contains(&unit) {
            return UnitVerdict::Leaving;
        }
        UnitVerdict::Owned {
            fence: gained.fence,
            memory_from: gained.memory_from,
        }
    }

    /// Returns the fence of a unit that may finish what it admitted.
    #[must_use]
    pub fn fence(&self, unit: Unit) -> Option<Fence> {
        self.grants.get(&unit).map(|owned| owned.fence)
    }

    /// Returns the point before which ids of a unit are not all known.
    #[must_use]
    pub fn memory_from(&self, unit: Unit) -> Millis {
        let gained = self.gained.get(&unit);
        gained.map_or(Millis::default(), |gained| gained.memory_from)
    }

    /// Whether the agent owns a unit, be it leaving or not.
    #[must_use]
    pub fn holds(&self, unit: Unit) -> bool {
        self.grants.contains_key(&unit)
    }

    /// Returns when a unit may serve.
    #[must_use]
    pub fn serve_from(&self, unit: Unit) -> Millis {
        let gained = self.gained.get(&unit);
        gained.map_or(Millis::MAX, |gained| gained.serve_from)
    }

    /// Returns the next point at which a unit begins to serve.
    #[must_use]
    pub fn next_serve(&self) -> Option<Millis> {
        self.starts.first().copied()
    }

    /// Drops points that have passed.
    pub fn pass(&mut self, now: Millis) {
        while self.starts.first().is_some_and(|start| *start <= now) {
            self.starts.pop_first();
        }
    }

    /// Marks all leaving units that are idle as released and returns them.
    pub fn release_idle(&mut self, is_idle: impl Fn(Unit) -> bool) -> Vec<Unit> {
        let units: Vec<Unit> = self
            .grants
            .iter()
            .filter(|(unit, owned)| {
                owned.leaving && !self.released.contains(unit) && is_idle(**unit)
            })
            .map(|(unit, _)| *unit)
            .collect();
        self.released.extend(&units);
        units
    }

    /// Says how a unit came: by a planned move, by a loss, out of its own slice, or long ago.
    fn gain(&self, now: Millis, margin_ms: u64, unit: Unit, owned: OwnedUnit) -> GainedUnit {
        let fence = owned.fence;
        let handed_over = owned.handed_over;
        let known = self.gained.get(&unit).filter(|known| known.fence == fence);
        if let Some(known) = known.filter(|known| known.handed_over || !handed_over) {
            return *known;
        }
        if handed_over {
            let (serve_from, memory_from) = (now, Millis::default());
            return GainedUnit {
                fence,
                handed_over,
                serve_from,
                memory_from,
            };
        }
        let slice = Unit::Slice(slice_of(unit));
        if let Some(whole) = self.gained.get(&slice).filter(|_| unit != slice) {
            return GainedUnit { fence, ..*whole };
        }
        let (serve_from, memory_from) = (now.plus(margin_ms), now);
        GainedUnit {
            fence,
            handed_over,
            serve_from,
            memory_from,
        }
    }

    /// Lets a slice take over what is not known of keys that went back into it.
    fn inherit_unpinned(&mut self, previous: &BTreeMap<Unit, GainedUnit>) {
        for (unit, gained) in previous {
            let slice = Unit::Slice(slice_of(*unit));
            if *unit == slice || self.gained.contains_key(unit) {
                continue;
            }
            if let Some(whole) = self.gained.get_mut(&slice) {
                whole.memory_from = whole.memory_from.max(gained.memory_from);
            }
        }
    }
}

/// Whether a unit is held under the same fence before and after.
fn same_fence(
    before: &BTreeMap<Unit, GainedUnit>,
    after: &BTreeMap<Unit, GainedUnit>,
    unit: Unit,
) -> bool {
    let fences = (before.get(&unit), after.get(&unit));
    matches!(fences, (Some(old), Some(new)) if old.fence == new.fence)
}
