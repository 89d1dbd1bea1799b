//! Faults of a schedule.

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::network::MachineSet;
use super::settings::CheckSettings;

/// Something that goes wrong, or that operators ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An instance is lost; another takes its place later, or none does.
    Kill {
        /// The instance.
        slot: usize,
        /// How much later its successor starts.
        restart_after: Option<u64>,
    },
    /// An instance's process does not run for a while.
    Freeze {
        /// The instance.
        slot: usize,
        /// For how long.
        lasts: u64,
    },
    /// An agent leaves gracefully.
    Leave {
        /// The instance.
        slot: usize,
    },
    /// Messages from one side do not reach the other.
    Cut {
        /// Senders.
        from: MachineSet,
        /// Receivers.
        to: MachineSet,
        /// For how long.
        lasts: u64,
    },
    /// The records reach an agent only afterwards.
    Behind {
        /// The instance.
        slot: usize,
        /// For how long.
        lasts: u64,
    },
    /// A controller does not run for a while, then goes on with what it knew.
    FreezeController {
        /// Which one.
        controller: usize,
        /// For how long.
        lasts: u64,
    },
    /// The store answers nobody.
    StoreOutage {
        /// For how long.
        lasts: u64,
    },
    /// The controllers change monitors of every agent.
    ChangeMonitors {
        /// How many of each set.
        count: usize,
    },
}

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// Real time.
    pub at: u64,
    /// The fault.
    pub fault: Fault,
}

/// First and last beginning of random faults, in real milliseconds.
const FAULT_WINDOW_MS: std::ops::Range<u64> = 3_000..12_000;
/// Shortest and longest span of a random fault.
const SPAN_MS: std::ops::Range<u64> = 200..9_000;
/// Shortest and longest span for which a monitor is left with one agent that reaches it.
const ISOLATION_MS: std::ops::Range<u64> = 6_000..16_000;
/// That agent reaches no controller from this much earlier.
const SILENT_MS: u64 = 3_500;
/// Latest cut of that agent from another monitor, after the isolation began.
const SECOND_CUT_MS: std::ops::Range<u64> = 0..9_000;
/// Fewest and most faults of a random schedule.
const COUNT: std::ops::RangeInclusive<usize> = 1..=7;
/// Successors of lost instances start this much later.
const RESTART_MS: std::ops::Range<u64> = 50..4_000;

/// Draws an isolated monitor in an otherwise healthy fleet.
#[must_use]
pub fn draw_isolations(settings: &CheckSettings, rng: &mut StdRng) -> Vec<TimedFault> {
    let at = rng.random_range(FAULT_WINDOW_MS);
    draw_isolation(settings, at, rng)
}

/// Draws several faults of every kind.
#[must_use]
pub fn draw_mixed(settings: &CheckSettings, rng: &mut StdRng) -> Vec<TimedFault> {
    let count = rng.random_range(COUNT);
    let mut faults = Vec::new();
    for _ in 0..count {
        let at = rng.random_range(FAULT_WINDOW_MS);
        faults.extend(draw_fault(settings, at, rng));
    }
    faults
}

/// Draws one fault, or several that belong together.
fn draw_fault(settings: &CheckSettings, at: u64, rng: &mut StdRng) -> Vec<TimedFault> {
    let slot = rng.random_range(0..settings.agents);
    let lasts = rng.random_range(SPAN_MS);
    let faults = match rng.random_range(0..12) {
        0 | 1 => vec![draw_kill(slot, rng)],
        2 => vec![Fault::Freeze { slot, lasts }],
        3 | 4 => draw_cut(settings, lasts, rng),
        5 => vec![Fault::FreezeController {
            controller: rng.random_range(0..settings.controllers),
            lasts,
        }],
        6 => vec![Fault::StoreOutage { lasts }],
        7 => vec![Fault::Leave { slot }],
        8 => vec![Fault::ChangeMonitors {
            count: rng.random_range(1..=2),
        }],
        9 => vec![Fault::Behind { slot, lasts }],
        10 => return draw_isolation(settings, at, rng),
        _ => draw_zone_and_rack(settings, rng),
    };
    let timed = |fault| TimedFault { at, fault };
    faults.into_iter().map(timed).collect()
}

/// Draws a monitor that is behind on the records and left or is reached by one agent only, and that
/// agent without a way to the controllers and later to another monitor.
fn draw_isolation(settings: &CheckSettings, at: u64, rng: &mut StdRng) -> Vec<TimedFault> {
    let mut slots: Vec<usize> = (0..settings.agents).collect();
    slots.shuffle(rng);
    let (slot, reaches, third) = (slots[0], slots[1], slots[2]);
    let lasts = rng.random_range(ISOLATION_MS);
    let monitor = MachineSet::of_slot(slot);
    let rest = monitor.with(MachineSet::of_slot(reaches)).others();
    let agent = MachineSet::of_slot(reaches);
    let silent_at = at;
    let at = at + SILENT_MS;
    let later = at + rng.random_range(SECOND_CUT_MS);
    let both = |at, one: MachineSet, other: MachineSet| {
        let ways = [(one, other), (other, one)];
        ways.map(|(from, to)| TimedFault {
            at,
            fault: Fault::Cut { from, to, lasts },
        })
    };
    let fault = Fault::Leave { slot };
    let mut faults = if rng.random_bool(0.5) {
        vec![TimedFault { at, fault }]
    } else {
        Vec::from(both(at, monitor, rest))
    };
    faults.extend(both(silent_at, agent, MachineSet::of_controllers()));
    faults.extend(both(later, agent, MachineSet::of_slot(third)));
    let fault = Fault::Behind { slot, lasts };
    faults.push(TimedFault { at, fault });
    faults
}

/// Draws the loss of one instance, sometimes with a successor.
fn draw_kill(slot: usize, rng: &mut StdRng) -> Fault {
    let restart = rng.random_range(RESTART_MS);
    Fault::Kill {
        slot,
        restart_after: rng.random_bool(0.5).then_some(restart),
    }
}

/// Draws a cut between two random sides, one way or both.
fn draw_cut(settings: &CheckSettings, lasts: u64, rng: &mut StdRng) -> Vec<Fault> {
    let from = MachineSet::new(rng.random_range(1..(1 << settings.agents)));
    let everything = rng.random_bool(0.5);
    let to = if everything {
        from.others()
    } else {
        MachineSet::new(rng.random())
    };
    let cut = |from, to| Fault::Cut { from, to, lasts };
    if rng.random_bool(0.5) {
        vec![cut(from, to), cut(to, from)]
    } else {
        vec![cut(from, to)]
    }
}

/// Draws the loss of a whole zone and of a rack in another.
pub fn draw_zone_and_rack(settings: &CheckSettings, rng: &mut StdRng) -> Vec<Fault> {
    let zone = rng.random_range(0..settings.zones);
    let other = (zone + 1) % settings.zones;
    let rack = rng.random_range(0..settings.racks);
    let is_lost = |slot: &usize| {
        let place = settings.place_of(*slot);
        place.zone == zone || (place.zone == other && place.rack == rack)
    };
    let lost = (0..settings.agents).filter(is_lost);
    lost.map(|slot| Fault::Kill {
        slot,
        restart_after: None,
    })
    .collect()
}
