//! Tables of key ranges after the store came back from an older copy.

use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeTable;
use jy_ranges::table::first_fence;
use jy_types::time::Millis;

use crate::backend::LocalBackend;
use crate::snapshot::FleetSnapshot;

/// Returns the table with the ranges that the local backend server holds, or `None` if the store's table has them.
/// Without a table in the store, the one of the earlier era is the start.
#[must_use]
pub fn table_with_held(
    now: Millis,
    backend: &LocalBackend,
    snapshot: &FleetSnapshot,
    service: &str,
) -> Option<RangeTable> {
    let own = backend.owner()?;
    if backend.is_restored(now, snapshot) {
        return None;
    }
    let table = snapshot.table(service)?.clone();
    let held = backend.held_grants(now);
    let table = table.with_era(snapshot.era).with_held(&own, &held);
    Some(table.with_incomplete(true))
}

/// Returns the table with new fences for the ranges that the local backend server owns but does not hold and whose
/// fences are of an era before `era`, or `None` if there are no such ranges.
#[must_use]
pub fn table_with_fences(
    now: Millis,
    backend: &LocalBackend,
    era: u64,
    table: &RangeTable,
) -> Option<RangeTable> {
    let oldest_fence = first_fence(era);
    let own = backend.owner()?;
    let needs_fence = |range: &KeyRange| {
        range.fence < oldest_fence && range.owner == own && !backend.holds_range(now, range)
    };
    let is_due = table.ranges().iter().any(needs_fence);
    is_due.then(|| table.clone().with_new_fences(needs_fence))
}
