//! Changes of a table after the store came back from an older copy.

use jy_ranges::table::RangeTable;
use jy_types::name::Name;
use jy_types::time::Millis;

use super::CheckContext;
use super::RangeManager;
use super::TableChange;
use crate::restore;
use crate::snapshot::FleetSnapshot;

impl RangeManager {
    /// Puts the ranges that the local backend server holds into the table again, if the store has lost them.
    pub(super) fn restore_held(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        service: &Name,
    ) -> Option<TableChange> {
        let table = restore::table_with_held(now, &self.parts.backend, snapshot, service)?;
        let recorded = snapshot.ranges.get(service);
        Some(TableChange {
            expected_revision: recorded.map_or(0, |versioned| versioned.revision),
            ..TableChange::new("restore", table)
        })
    }

    /// Gives new fences to the own ranges that need them, and removes the marks of a `recorded` table that was written
    /// before the era was settled.
    pub(super) fn settle_era(
        &self,
        context: &CheckContext<'_>,
        recorded: &RangeTable,
    ) -> Option<TableChange> {
        let (now, era) = (context.now, context.snapshot.era);
        let backend = &self.parts.backend;
        if let Some(table) = restore::table_with_fences(now, backend, era, context.table) {
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
