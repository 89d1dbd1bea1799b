//! Units that need an owner, and planned moves on their way.

use std::collections::BTreeMap;

use jy_types::assign::Fence;
use jy_types::key::Unit;

use crate::owners::OwnerEligibility;
use crate::tables::ServiceTable;
use crate::tables::UnitEntry;

/// What the passes over the units may do.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantRules {
    /// Units of owners that are over wait, since more verdicts are about to come.
    pub hold_lost: bool,
    /// Units without an owner wait, since more endpoints are about to come.
    pub hold_new: bool,
    /// Broken on purpose: units are given away without their owner's release.
    pub skip_release: bool,
    /// Broken on purpose: units of owners that are over stay.
    pub keep_lost: bool,
    /// Broken on purpose: a move to an owner that is over stays as it is.
    pub keep_target: bool,
    /// Broken on purpose: draining owners keep their units.
    pub keep_drained: bool,
}

/// Fences of the grants under which owners released units.
pub type ReleaseMap = BTreeMap<Unit, Fence>;

/// Gives an owner to every unit that may have one now, and moves units off draining owners.
pub fn place_units(table: &mut ServiceTable, releases: &ReleaseMap, rules: GrantRules) {
    for index in heaviest_first(table) {
        let entry = table.units[index];
        let standing = |owner: usize| table.owners.get(owner).standing;
        match entry.owner.map(standing) {
            _ if entry.locked => {}
            None if !rules.hold_new => grant(table, index, entry, None, rules),
            Some(OwnerEligibility::Over) if !rules.hold_lost && !rules.keep_lost => {
                grant(table, index, entry, entry.owner, rules);
            }
            Some(OwnerEligibility::Endpoint | OwnerEligibility::Draining) => {
                place_held(table, index, entry, releases, rules);
            }
            _ => {}
        }
    }
}

/// Looks after a unit whose owner is there.
fn place_held(
    table: &mut ServiceTable,
    index: usize,
    entry: UnitEntry,
    releases: &ReleaseMap,
    rules: GrantRules,
) {
    let Some(owner) = entry.owner else {
        return;
    };
    let released = releases.get(&entry.unit) == Some(&entry.fence);
    let draining = table.owners.get(owner).standing == OwnerEligibility::Draining;
    match entry.next {
        Some(_) if released => grant(table, index, entry, None, rules),
        Some(next) if !is_endpoint(table, next) && !rules.keep_target => {
            if let Some(other) = table.owners.least(Some(owner)) {
                table.move_to(index, other);
            }
        }
        None if draining && !rules.keep_drained => {
            if let Some(other) = table.owners.least(Some(owner)) {
                if rules.skip_release {
                    table.own(index, other);
                } else {
                    table.move_to(index, other);
                }
            }
        }
        _ => {}
    }
}

/// Grants a unit to the owner to come, if it may take it, or else to the one with the least load.
fn grant(
    table: &mut ServiceTable,
    index: usize,
    entry: UnitEntry,
    but: Option<usize>,
    rules: GrantRules,
) {
    let fits = |next: &usize| rules.keep_target || is_endpoint(table, *next);
    let planned = entry.next.filter(fits);
    let present = entry.next.filter(|next| is_present(table, *next));
    let owner = planned.or_else(|| table.owners.least(but)).or(present);
    if let Some(owner) = owner {
        table.own(index, owner);
    }
}

/// Whether an owner may take units.
fn is_endpoint(table: &ServiceTable, owner: usize) -> bool {
    table.owners.get(owner).standing == OwnerEligibility::Endpoint
}

/// Whether an owner is there at all.
fn is_present(table: &ServiceTable, owner: usize) -> bool {
    is_endpoint(table, owner) || table.owners.get(owner).standing == OwnerEligibility::Draining
}

/// Returns the units that need a decision, the heaviest first, so that the light ones even out.
fn heaviest_first(table: &ServiceTable) -> Vec<usize> {
    let standing = |owner: usize| table.owners.get(owner).standing;
    let settled = |entry: &UnitEntry| {
        entry.next.is_none() && entry.owner.map(standing) == Some(OwnerEligibility::Endpoint)
    };
    let mut wanted: Vec<usize> = (0..table.units.len())
        .filter(|index| !settled(&table.units[*index]))
        .collect();
    wanted.sort_by(|left, right| {
        let weight = |index: &usize| table.units[*index].weight;
        weight(right).total_cmp(&weight(left))
    });
    wanted
}
