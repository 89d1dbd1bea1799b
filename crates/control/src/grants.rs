//! Grants units that need an owner, and plans and completes moves of units.

use std::collections::BTreeMap;

use jy_types::assign::Fence;
use jy_types::key::Unit;

use crate::owners::OwnerEligibility;
use crate::tables::ServiceTable;
use crate::tables::UnitEntry;

/// Restrictions on grants and moves in one review.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantRules {
    /// Whether units of owners that have ended wait because further verdicts are expected.
    pub hold_lost: bool,
    /// Whether units without an owner wait because further endpoints are expected.
    pub hold_new: bool,
    /// Fault injection: units are granted to others without their owner's release.
    pub skip_release: bool,
    /// Fault injection: units of owners that have ended stay with them.
    pub keep_lost: bool,
    /// Fault injection: a move to an owner that has ended is not redirected.
    pub keep_target: bool,
    /// Fault injection: draining owners keep their units.
    pub keep_drained: bool,
}

/// Fence of the grant under which each unit was released by its owner.
pub type ReleaseMap = BTreeMap<Unit, Fence>;

/// Grants every unit that needs an owner and may be granted now, and plans moves off draining owners.
pub fn place_units(table: &mut ServiceTable, releases: &ReleaseMap, rules: GrantRules) {
    for index in heaviest_first(table) {
        let entry = table.units[index];
        let eligibility = |owner: usize| table.owners.get(owner).eligibility;
        match entry.owner.map(eligibility) {
            _ if entry.locked => {}
            None if !rules.hold_new => grant(table, index, entry, None, rules),
            Some(OwnerEligibility::Ended) if !rules.hold_lost && !rules.keep_lost => {
                grant(table, index, entry, entry.owner, rules);
            }
            Some(OwnerEligibility::Endpoint | OwnerEligibility::Draining) => {
                place_owned_unit(table, index, entry, releases, rules);
            }
            _ => {}
        }
    }
}

/// Handles a unit whose owner is alive: completes a released move, redirects a move whose target may take no
/// units, or plans a move off a draining owner.
fn place_owned_unit(
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
    let draining = table.owners.get(owner).eligibility == OwnerEligibility::Draining;
    match entry.next_owner {
        Some(_) if released => grant(table, index, entry, None, rules),
        Some(next) if !is_endpoint(table, next) && !rules.keep_target => {
            if let Some(other) = table.owners.least_loaded(Some(owner)) {
                table.move_to(index, other);
            }
        }
        None if draining && !rules.keep_drained => {
            if let Some(other) = table.owners.least_loaded(Some(owner)) {
                if rules.skip_release {
                    table.assign_to(index, other);
                } else {
                    table.move_to(index, other);
                }
            }
        }
        _ => {}
    }
}

/// Grants a unit to the target of its planned move if that may take it, or else to the least loaded endpoint
/// other than `excluded`, or else to the target if that is draining.
fn grant(
    table: &mut ServiceTable,
    index: usize,
    entry: UnitEntry,
    excluded: Option<usize>,
    rules: GrantRules,
) {
    let may_take = |next: &usize| rules.keep_target || is_endpoint(table, *next);
    let planned_target = entry.next_owner.filter(may_take);
    let alive_target = entry.next_owner.filter(|next| is_alive(table, *next));
    let owner = planned_target
        .or_else(|| table.owners.least_loaded(excluded))
        .or(alive_target);
    if let Some(owner) = owner {
        table.assign_to(index, owner);
    }
}

/// Returns whether an owner may take units.
fn is_endpoint(table: &ServiceTable, owner: usize) -> bool {
    table.owners.get(owner).eligibility == OwnerEligibility::Endpoint
}

/// Returns whether an owner is alive, draining or not.
fn is_alive(table: &ServiceTable, owner: usize) -> bool {
    is_endpoint(table, owner) || table.owners.get(owner).eligibility == OwnerEligibility::Draining
}

/// Returns the units that need a decision, the heaviest first, so that the light ones can even out the loads.
fn heaviest_first(table: &ServiceTable) -> Vec<usize> {
    let eligibility = |owner: usize| table.owners.get(owner).eligibility;
    let is_settled = |entry: &UnitEntry| {
        entry.next_owner.is_none()
            && entry.owner.map(eligibility) == Some(OwnerEligibility::Endpoint)
    };
    let mut undecided: Vec<usize> = (0..table.units.len())
        .filter(|index| !is_settled(&table.units[*index]))
        .collect();
    undecided.sort_by(|left, right| {
        let weight = |index: &usize| table.units[*index].weight;
        weight(right).total_cmp(&weight(left))
    });
    undecided
}
