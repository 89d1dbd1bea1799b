//! Moves of units from owners with much load to owners with little, as few as needed.

use crate::owners::OwnerEntry;
use crate::tables::ServiceTable;

/// Limits of one rebalance.
#[derive(Clone, Copy, Debug)]
pub struct BalanceLimits {
    /// Peak load over mean load that starts moves.
    pub imbalance: f64,
    /// Requests behind the load of an average owner: few of them tell little.
    pub requests: f64,
    /// Most units in planned moves at once.
    pub moving: usize,
}

/// Share of the way to the limit at which moves start.
const START_SHARE: f64 = 0.7;

/// Share of the way to the limit down to which moves go on.
const STOP_SHARE: f64 = 0.3;

/// Load under the mean at which an owner is filled up.
const START_LOW: f64 = 0.10;

/// Load under the mean up to which an owner is filled.
const STOP_LOW: f64 = 0.03;

/// What an owner may hold besides a unit that alone is more than its share, as a share of it.
const BESIDE_SHARE: f64 = 0.04;

/// Standard deviations of a count of requests that are taken for noise.
const NOISE_DEVIATIONS: f64 = 3.0;

/// One owner's units that may move, lightest first.
#[derive(Clone, Debug, Default)]
struct MovableUnits {
    units: Vec<(f64, usize)>,
    heaviest: f64,
}

/// Plans moves until the loads are even, the limit is reached or nothing more helps.
pub fn rebalance(table: &mut ServiceTable, limits: BalanceLimits) {
    let moving = table.units.iter().filter(|entry| entry.next.is_some());
    let Some(mut budget) = limits.moving.checked_sub(moving.count()) else {
        return;
    };
    let mut movable = movable_units(table);
    let level = fair_level(table, &movable);
    let noise = NOISE_DEVIATIONS / limits.requests.max(1e-9).sqrt();
    let noise = if limits.requests > 0.0 { noise } else { 0.0 };
    let span = limits.imbalance - 1.0;
    let uneven = table.owners.endpoints().any(|(index, entry)| {
        let high = level * (1.0 + span * START_SHARE + noise);
        let low = level * entry.ramp * (1.0 - START_LOW - noise);
        entry.load > high.max(beside_limit(&movable[index])) || entry.load < low
    });
    if !uneven {
        return;
    }
    let stop = StopLimits {
        level,
        high: 1.0 + span * STOP_SHARE + noise * 0.5,
        low: 1.0 - STOP_LOW - noise * 0.5,
    };
    while budget > 0 && move_one(table, &mut movable, stop) {
        budget -= 1;
    }
}

/// When moves stop.
#[derive(Clone, Copy, Debug)]
struct StopLimits {
    level: f64,
    high: f64,
    low: f64,
}

/// Plans one move and returns whether it did.
fn move_one(table: &mut ServiceTable, movable: &mut [MovableUnits], stop: StopLimits) -> bool {
    let Some(receiver) = table.owners.least(None) else {
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
        let room = stop.level * to.ramp;
        let over = from.load > (stop.level * stop.high).max(beside_limit(&movable[donor]));
        let under = to.load < room * stop.low;
        if !over && !under {
            if from.load <= stop.level * stop.high {
                return false;
            }
            movable[donor].units.clear();
            continue;
        }
        let Some(index) = pick_unit(&mut movable[donor], from, to, stop, over) else {
            movable[donor].units.clear();
            continue;
        };
        table.move_to(index, receiver);
        return true;
    }
}

/// Takes the unit whose move helps most: the heaviest that leaves neither owner off its share.
fn pick_unit(
    movable: &mut MovableUnits,
    from: &OwnerEntry,
    to: &OwnerEntry,
    stop: StopLimits,
    over: bool,
) -> Option<usize> {
    let gap = from.load - to.load;
    let spare = from.load - stop.level * (1.0 - STOP_LOW);
    let room = stop.level * to.ramp * stop.high - to.load;
    let want = spare.min(room).min(gap * 0.5);
    let place = movable.units.partition_point(|(weight, _)| *weight <= want);
    if place > 0 {
        return Some(movable.units.remove(place - 1).1);
    }
    let lightest = movable.units.first()?.0;
    let helps = over && lightest < gap && lightest <= room.max(0.0);
    helps.then(|| movable.units.remove(0).1)
}

/// Returns the load up to which an owner keeps what it holds beside one heavy unit.
fn beside_limit(movable: &MovableUnits) -> f64 {
    movable.heaviest * (1.0 + BESIDE_SHARE)
}

/// Returns the units of each endpoint that may move, lightest first.
fn movable_units(table: &ServiceTable) -> Vec<MovableUnits> {
    let mut movable: Vec<MovableUnits> = Vec::new();
    for (index, entry) in table.units.iter().enumerate() {
        let Some(bearer) = entry.next.or(entry.owner) else {
            continue;
        };
        if movable.len() <= bearer {
            movable.resize(bearer + 1, MovableUnits::default());
        }
        movable[bearer].heaviest = movable[bearer].heaviest.max(entry.weight);
        if entry.next.is_none() && !entry.locked {
            movable[bearer].units.push((entry.weight, index));
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

/// Returns the load that every endpoint should bear, after those with a unit heavier than that
/// are left to it.
fn fair_level(table: &ServiceTable, movable: &[MovableUnits]) -> f64 {
    let mut heavy: Vec<f64> = table
        .owners
        .endpoints()
        .map(|(index, _)| movable[index].heaviest)
        .collect();
    heavy.sort_by(|left, right| right.total_cmp(left));
    let mut total: f64 = table.owners.endpoints().map(|(_, entry)| entry.load).sum();
    let mut owners = heavy.len() as f64;
    for weight in heavy {
        if owners <= 1.0 || weight <= total / owners {
            break;
        }
        total -= weight;
        owners -= 1.0;
    }
    total / owners.max(1.0)
}
