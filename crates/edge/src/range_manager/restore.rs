//! Changes of a table after the store came back from an older copy.

use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeTable;
use jy_ranges::table::first_fence;
use jy_types::name::Name;
use jy_types::time::Millis;

use super::CheckContext;
use super::RangeManager;
use super::TableChange;
use crate::snapshot::FleetSnapshot;

impl RangeManager {
    /// Puts the ranges that the local backend server holds into the table again, if the store has lost them. Without a
    /// table in the store, the one of the earlier era is the start.
    pub(super) fn restore_held(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        service: &Name,
    ) -> Option<TableChange> {
        let own = self.parts.backend.owner()?;
        if self.parts.backend.is_restored(now, snapshot) {
            return None;
        }
        let table = snapshot.table(service)?.clone();
        let held = self.parts.backend.held_grants(now);
        let table = table
            .with_era(snapshot.era)
            .with_held(&own, &held)
            .with_incomplete(true);
        let recorded = snapshot.ranges.get(service);
        Some(TableChange {
            expected_revision: recorded.map_or(0, |versioned| versioned.revision),
            ..TableChange::new("restore", table)
        })
    }

    /// Gives new fences to the own ranges that the backend server does not hold and whose fences are of an earlier era,
    /// and removes the marks of a `recorded` table that was written before the era was settled.
    pub(super) fn settle_era(
        &self,
        context: &CheckContext<'_>,
        recorded: &RangeTable,
    ) -> Option<TableChange> {
        let (now, era) = (context.now, context.snapshot.era);
        let oldest_fence = first_fence(era);
        let own = self.parts.backend.owner();
        let needs_fence = |range: &KeyRange| {
            range.fence < oldest_fence
                && own.as_ref() == Some(&range.owner)
                && !self.parts.backend.holds_range(now, range)
        };
        if context.table.ranges().iter().any(needs_fence) {
            let table = context.table.clone().with_new_fences(needs_fence);
            return Some(TableChange::new("new fences", table));
        }
        let is_marked = recorded.era() < era || recorded.is_incomplete();
        let due = context
            .snapshot
            .era_settled_at()
            .plus(self.rank_delay_ms(context.receivers));
        (is_marked && now >= due).then(|| TableChange::new("settled", context.table.clone()))
    }
}
