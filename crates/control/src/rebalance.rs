//! Plans moves of units from overloaded to underloaded owners, with as few moves as possible.

use crate::owners::OwnerEntry;
use crate::tables::ServiceTable;

/// Limits of one rebalance.
#[derive(Clone, Copy, Debug)]
pub struct BalanceLimits {
    /// Allowed ratio of peak load to mean load.
    pub max_imbalance: f64,
    /// Requests that the measured load of an average owner is based on. The fewer they are, the more of an
    /// imbalance may be noise.
    pub sample_requests: f64,
    /// Maximum number of units in planned moves at once.
    pub max_moving: usize,
}

/// Fraction of the allowed excess over the target load, [`BalanceLimits::max_imbalance`] minus one, above which
/// moves start.
const START_FRACTION: f64 = 0.7;

/// Fraction of the allowed excess over the target load down to which moves continue.
const STOP_FRACTION: f64 = 0.3;

/// Shortfall below the target load, as a share of it, at which an owner starts to receive units.
const START_SHORTFALL: f64 = 0.10;

/// Shortfall below the target load, as a share of it, at which an owner stops receiving units.
const STOP_SHORTFALL: f64 = 0.03;

/// Load that an owner may have in addition to a unit that alone exceeds the target load, as a share of that
/// unit's load.
const HEAVY_UNIT_SLACK: f64 = 0.04;

/// Standard deviations of a request count within which a difference in load is treated as noise.
const NOISE_DEVIATIONS: f64 = 3.0;

/// The units of one owner that may move, and the load of its heaviest unit.
#[derive(Clone, Debug, Default)]
struct MovableUnits {
    /// Load and index of each unit that may move, lightest first.
    units: Vec<(f64, usize)>,
    /// Load of the heaviest unit, whether or not it may move.
    heaviest: f64,
}

/// Plans moves until the loads are even, the limit on moving units is reached or no further move helps.
pub fn rebalance(table: &mut ServiceTable, limits: BalanceLimits) {
    let moving = table
        .units
        .iter()
        .filter(|entry| entry.next_owner.is_some());
    let Some(mut budget) = limits.max_moving.checked_sub(moving.count()) else {
        return;
    };
    let mut movable = movable_units(table);
    let target_load = compute_target_load(table, &movable);
    let noise = NOISE_DEVIATIONS / limits.sample_requests.max(1e-9).sqrt();
    let noise = if limits.sample_requests > 0.0 {
        noise
    } else {
        0.0
    };
    let allowed_excess = limits.max_imbalance - 1.0;
    let uneven = table.owners.endpoints().any(|(index, entry)| {
        let high = target_load * (1.0 + allowed_excess * START_FRACTION + noise);
        let low = target_load * entry.ramp * (1.0 - START_SHORTFALL - noise);
        entry.load > high.max(heavy_unit_limit(&movable[index])) || entry.load < low
    });
    if !uneven {
        return;
    }
    let stop = StopLimits {
        target_load,
        high: 1.0 + allowed_excess * STOP_FRACTION + noise * 0.5,
        low: 1.0 - STOP_SHORTFALL - noise * 0.5,
    };
    while budget > 0 && plan_move(table, &mut movable, stop) {
        budget -= 1;
    }
}

/// Loads at which moves stop. `high` and `low` are factors of the target load.
#[derive(Clone, Copy, Debug)]
struct StopLimits {
    target_load: f64,
    high: f64,
    low: f64,
}

/// Plans one move. Returns whether there was a move to plan.
fn plan_move(table: &mut ServiceTable, movable: &mut [MovableUnits], stop: StopLimits) -> bool {
    let Some(receiver) = table.owners.least_loaded(None) else {
        return false;
    };
    loop {
        let donor = table
            .owners
            .endpoints()
            .filter(|(index, _)| !movable[*index].units.is_empty() && *index != receiver)
            .max_by(|left, right| left.1.load.total_cmp(&right.1.load));
        let Some((donor, from)) = donor else {
            return false;
        };
        let to = table.owners.get(receiver);
        let capacity = stop.target_load * to.ramp;
        let overloaded =
            from.load > (stop.target_load * stop.high).max(heavy_unit_limit(&movable[donor]));
        let underloaded = to.load < capacity * stop.low;
        if !overloaded && !underloaded {
            if from.load <= stop.target_load * stop.high {
                return false;
            }
            movable[donor].units.clear();
            continue;
        }
        let Some(index) = pick_unit(&mut movable[donor], from, to, stop, overloaded) else {
            movable[donor].units.clear();
            continue;
        };
        table.move_to(index, receiver);
        return true;
    }
}

/// Removes and returns the unit whose move helps most: the heaviest that keeps donor and receiver within
/// the stop limits and does not make the receiver the more loaded of the two. If there is none and the donor
/// is overloaded, the lightest unit is taken, provided that it fits and narrows the gap.
fn pick_unit(
    movable: &mut MovableUnits,
    from: &OwnerEntry,
    to: &OwnerEntry,
    stop: StopLimits,
    overloaded: bool,
) -> Option<usize> {
    let gap = from.load - to.load;
    let surplus = from.load - stop.target_load * (1.0 - STOP_SHORTFALL);
    let room = stop.target_load * to.ramp * stop.high - to.load;
    let max_weight = surplus.min(room).min(gap * 0.5);
    let fitting = movable
        .units
        .partition_point(|(weight, _)| *weight <= max_weight);
    if fitting > 0 {
        return Some(movable.units.remove(fitting - 1).1);
    }
    let lightest = movable.units.first()?.0;
    let helps = overloaded && lightest < gap && lightest <= room.max(0.0);
    helps.then(|| movable.units.remove(0).1)
}

/// Returns the load up to which an owner keeps its other units in addition to its heaviest one.
fn heavy_unit_limit(movable: &MovableUnits) -> f64 {
    movable.heaviest * (1.0 + HEAVY_UNIT_SLACK)
}

/// Returns the movable units of each owner, by the index of the owner. A unit with a planned move counts
/// towards its next owner.
fn movable_units(table: &ServiceTable) -> Vec<MovableUnits> {
    let mut movable: Vec<MovableUnits> = Vec::new();
    for (index, entry) in table.units.iter().enumerate() {
        let Some(final_owner) = entry.next_owner.or(entry.owner) else {
            continue;
        };
        if movable.len() <= final_owner {
            movable.resize(final_owner + 1, MovableUnits::default());
        }
        movable[final_owner].heaviest = movable[final_owner].heaviest.max(entry.weight);
        if entry.next_owner.is_none() && !entry.locked {
            movable[final_owner].units.push((entry.weight, index));
        }
    }
    let last = table.owners.endpoints().map(|(index, _)| index + 1).max();
    movable.resize(
        movable.len().max(last.unwrap_or(0)),
        MovableUnits::default(),
    );
    for units in &mut movable {
        units
            .units
            .sort_by(|left, right| left.0.total_cmp(&right.0));
    }
    movable
}

/// Returns the target load of an endpoint. An endpoint with a unit heavier than the target is left out, and
/// so is the load of that unit; the rest of the load is divided among the other endpoints.
fn compute_target_load(table: &ServiceTable, movable: &[MovableUnits]) -> f64 {
    let mut heaviest_weights: Vec<f64> = table
        .owners
        .endpoints()
        .map(|(index, _)| movable[index].heaviest)
        .collect();
    heaviest_weights.sort_by(|left, right| right.total_cmp(left));
    let mut total: f64 = table.owners.endpoints().map(|(_, entry)| entry.load).sum();
    let mut endpoints = heaviest_weights.len() as f64;
    for weight in heaviest_weights {
        if endpoints <= 1.0 || weight <= total / endpoints {
            break;
        }
        total -= weight;
        endpoints -= 1.0;
    }
    total / endpoints.max(1.0)
}
