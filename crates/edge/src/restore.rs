//! Tables of key ranges after the store came back from an older copy.

use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeTable;
use jy_ranges::table::first_fence;
use jy_types::time::Millis;

use crate::backend::LocalBackend;
use crate::snapshot::FleetSnapshot;

/// Returns the table with the ranges that the local backend server holds, or `None` if the store's table has them.
/// Without a table in the store, the one of the earlier era is the start. What an earlier incarnation of the backend
/// server held goes to the present one, under new fences. The table is marked as incomplete, unless an agent for which
/// the era is settled has written the store's table.
#[must_use]
pub fn table_with_held(
    now: Millis,
    backend: &LocalBackend,
    snapshot: &FleetSnapshot,
    service: &str,
) -> Option<RangeTable> {
    let own = backend.owner()?;
    let table = snapshot.table(service)?.clone().with_era(snapshot.era);
    let inherited = backend.inherited_grants(now, snapshot, service);
    let is_inherited = |range: &KeyRange| {
        let mut grants = inherited.iter();
        grants.any(|grant| grant.first <= range.last && range.first <= grant.last)
    };
    let mut overlapping = table.ranges().iter().filter(|range| is_inherited(range));
    let has_inherited = overlapping.all(|range| range.owner == own);
    if has_inherited && backend.is_restored(now, snapshot) {
        return None;
    }
    let table = if has_inherited {
        table
    } else {
        let table = table.with_held(&own, &inherited);
        table.with_new_fences(|range| range.owner == own && is_inherited(range))
    };
    let table = table.with_held(&own, &backend.held_grants(now, snapshot));
    let recorded = snapshot.ranges.get(service).map(|ranges| &ranges.table);
    let is_settled =
        recorded.is_some_and(|table| table.era() == snapshot.era && !table.is_incomplete());
    Some(table.with_incomplete(!is_settled))
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
