//! Units that the agent owns, when they may be served, and from when their request history is complete.

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

/// How and when the agent acquired a unit.
#[derive(Clone, Copy, Debug)]
struct AcquiredUnit {
    fence: Fence,
    handed_over: bool,
    /// Time from which requests may be dispatched.
    serve_from: Millis,
    /// Ids created before this time may be missing from the window; zero if none are.
    complete_from: Millis,
}

/// Whether requests for a unit may be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitStatus {
    /// The agent owns the unit.
    Owned {
        /// The fence of the grant.
        fence: Fence,
        /// Ids created before this time may be missing from the window; zero if none are.
        complete_from: Millis,
    },
    /// The unit is moving to another owner, or was released.
    Leaving,
    /// The agent does not own the unit.
    NotOwned,
}

/// Grants of the units that the agent owns.
#[derive(Clone, Debug, Default)]
pub struct OwnedGrants {
    grants: Arc<GrantMap>,
    acquired: BTreeMap<Unit, AcquiredUnit>,
    released: BTreeSet<Unit>,
    /// Times at which units may begin to be served.
    pending_starts: BTreeSet<Millis>,
}

impl OwnedGrants {
    /// Creates an empty set of grants.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces all grants and returns the slices in which the agent no longer owns any unit.
    pub fn replace(&mut self, now: Millis, margin_ms: u64, grants: Arc<GrantMap>) -> Vec<SliceId> {
        let acquired: BTreeMap<Unit, AcquiredUnit> = grants
            .iter()
            .map(|(unit, owned)| (*unit, self.acquire(now, margin_ms, *unit, *owned)))
            .collect();
        self.pending_starts = acquired.values().map(|unit| unit.serve_from).collect();
        let slices_before: BTreeSet<SliceId> =
            self.grants.keys().map(|unit| slice_of(*unit)).collect();
        let slices_after: BTreeSet<SliceId> = grants.keys().map(|unit| slice_of(*unit)).collect();
        let previous = std::mem::replace(&mut self.acquired, acquired);
        self.inherit_unpinned_gaps(&previous);
        let is_kept = |unit: &Unit| same_fence(&previous, &self.acquired, *unit);
        self.released.retain(is_kept);
        self.grants = grants;
        slices_before.difference(&slices_after).copied().collect()
    }

    /// Returns whether requests for a unit may be admitted.
    #[must_use]
    pub fn status(&self, unit: Unit) -> UnitStatus {
        let (Some(owned), Some(acquired)) = (self.grants.get(&unit), self.acquired.get(&unit))
        else {
            return UnitStatus::NotOwned;
        };
        if owned.leaving || self.released.contains(&unit) {
            return UnitStatus::Leaving;
        }
        UnitStatus::Owned {
            fence: acquired.fence,
            complete_from: acquired.complete_from,
        }
    }

    /// Returns the fence of an owned unit, also of one that is leaving and still finishes admitted requests.
    #[must_use]
    pub fn fence(&self, unit: Unit) -> Option<Fence> {
        self.grants.get(&unit).map(|owned| owned.fence)
    }

    /// Returns the time before which ids of a unit may be missing from the window.
    #[must_use]
    pub fn complete_from(&self, unit: Unit) -> Millis {
        let acquired = self.acquired.get(&unit);
        acquired.map_or(Millis::default(), |acquired| acquired.complete_from)
    }

    /// Whether the agent owns a unit, including a leaving one.
    #[must_use]
    pub fn owns(&self, unit: Unit) -> bool {
        self.grants.contains_key(&unit)
    }

    /// Returns the time from which a unit may be served.
    #[must_use]
    pub fn serve_from(&self, unit: Unit) -> Millis {
        let acquired = self.acquired.get(&unit);
        acquired.map_or(Millis::MAX, |acquired| acquired.serve_from)
    }

    /// Returns the next time at which a unit may begin to be served.
    #[must_use]
    pub fn next_start(&self) -> Option<Millis> {
        self.pending_starts.first().copied()
    }

    /// Drops start times that have passed.
    pub fn drop_passed_starts(&mut self, now: Millis) {
        while self
            .pending_starts
            .first()
            .is_some_and(|start| *start <= now)
        {
            self.pending_starts.pop_first();
        }
    }

    /// Marks all idle leaving units as released and returns them.
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

    /// Returns the acquisition of a unit.
    ///
    /// The existing one is kept if the fence is the same, unless the unit is only now reported as handed
    /// over. A unit that was handed over is served at once, with a complete history. A key pinned from an
    /// owned slice inherits the slice's acquisition. Any other unit was gained after the loss of its owner:
    /// it waits `margin_ms`, and its history begins now.
    fn acquire(&self, now: Millis, margin_ms: u64, unit: Unit, owned: OwnedUnit) -> AcquiredUnit {
        let fence = owned.fence;
        let handed_over = owned.handed_over;
        let existing = self
            .acquired
            .get(&unit)
            .filter(|existing| existing.fence == fence);
        if let Some(existing) = existing.filter(|existing| existing.handed_over || !handed_over) {
            return *existing;
        }
        if handed_over {
            let (serve_from, complete_from) = (now, Millis::default());
            return AcquiredUnit {
                fence,
                handed_over,
                serve_from,
                complete_from,
            };
        }
        let slice = Unit::Slice(slice_of(unit));
        if let Some(of_slice) = self.acquired.get(&slice).filter(|_| unit != slice) {
            return AcquiredUnit { fence, ..*of_slice };
        }
        let (serve_from, complete_from) = (now.plus(margin_ms), now);
        AcquiredUnit {
            fence,
            handed_over,
            serve_from,
            complete_from,
        }
    }

    /// Extends the gap in the history of keys that returned to their slice to the whole slice.
    fn inherit_unpinned_gaps(&mut self, previous: &BTreeMap<Unit, AcquiredUnit>) {
        for (unit, acquired) in previous {
            let slice = Unit::Slice(slice_of(*unit));
            if *unit == slice || self.acquired.contains_key(unit) {
                continue;
            }
            if let Some(of_slice) = self.acquired.get_mut(&slice) {
                of_slice.complete_from = of_slice.complete_from.max(acquired.complete_from);
            }
        }
    }
}

/// Whether a unit is owned under the same fence before and after.
fn same_fence(
    before: &BTreeMap<Unit, AcquiredUnit>,
    after: &BTreeMap<Unit, AcquiredUnit>,
    unit: Unit,
) -> bool {
    let fences = (before.get(&unit), after.get(&unit));
    matches!(fences, (Some(old), Some(new)) if old.fence == new.fence)
}
