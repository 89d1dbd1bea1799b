//! Faults and operator requests of a schedule.

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::network::MachineSet;
use super::settings::CheckSettings;

/// A fault, or a change that operators request.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The agent on an instance is lost, and may be replaced by a new incarnation.
    Kill {
        /// The instance.
        slot: usize,
        /// Delay until the new incarnation starts, in milliseconds; none if it is not replaced.
        restart_after: Option<u64>,
    },
    /// The agent process on an instance is stopped for a while and then resumes.
    Freeze {
        /// The instance.
        slot: usize,
        /// For how long.
        duration_ms: u64,
    },
    /// An agent leaves gracefully.
    Leave {
        /// The instance.
        slot: usize,
    },
    /// The network drops all messages from one set of machines to another.
    Partition {
        /// Senders whose messages are dropped.
        from: MachineSet,
        /// Receivers that the messages do not reach.
        to: MachineSet,
        /// For how long.
        duration_ms: u64,
    },
    /// Store records reach an agent only after this period.
    DelayRecords {
        /// The instance.
        slot: usize,
        /// For how long.
        duration_ms: u64,
    },
    /// A controller process is stopped for a while and then resumes with stale records.
    FreezeController {
        /// Number of the controller.
        controller: usize,
        /// For how long.
        duration_ms: u64,
    },
    /// The store does not process any reads or writes.
    StoreOutage {
        /// For how long.
        duration_ms: u64,
    },
    /// The controllers replace some monitors of every agent.
    ChangeMonitors {
        /// Number of monitors to replace in each set.
        count: usize,
    },
}

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// Real time at which the fault begins.
    pub at: u64,
    /// The fault.
    pub fault: Fault,
}

/// Real times at which random faults begin.
const FAULT_WINDOW_MS: std::ops::Range<u64> = 3_000..12_000;
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..9_000;
/// Duration of each of the faults around an isolated monitor.
const ISOLATION_DURATION_MS: std::ops::Range<u64> = 6_000..16_000;
/// How long before the isolation the agent that still reaches the monitor is cut off from the controllers.
const CONTROLLER_CUT_LEAD_MS: u64 = 3_500;
/// How long after the beginning of the isolation that agent is cut off from a second monitor.
const SECOND_CUT_DELAY_MS: std::ops::Range<u64> = 0..9_000;
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 1..=7;
const RESTART_DELAY_MS: std::ops::Range<u64> = 50..4_000;

/// Draws an isolated monitor in an otherwise healthy fleet, at a random time.
#[must_use]
pub fn draw_isolated_monitor(settings: &CheckSettings, rng: &mut StdRng) -> Vec<TimedFault> {
    let at = rng.random_range(FAULT_WINDOW_MS);
    draw_isolation_at(settings, at, rng)
}

/// Draws one or more faults of any kind.
#[must_use]
pub fn draw_mixed(settings: &CheckSettings, rng: &mut StdRng) -> Vec<TimedFault> {
    let count = rng.random_range(FAULT_COUNT);
    let mut faults = Vec::new();
    for _ in 0..count {
        let at = rng.random_range(FAULT_WINDOW_MS);
        faults.extend(draw_fault(settings, at, rng));
    }
    faults
}

/// Draws a fault that begins at `at`; some consist of several entries.
fn draw_fault(settings: &CheckSettings, at: u64, rng: &mut StdRng) -> Vec<TimedFault> {
    let slot = rng.random_range(0..settings.agents);
    let duration_ms = rng.random_range(FAULT_DURATION_MS);
    let faults = match rng.random_range(0..12) {
        0 | 1 => vec![draw_kill(slot, rng)],
        2 => vec![Fault::Freeze { slot, duration_ms }],
        3 | 4 => draw_partition(settings, duration_ms, rng),
        5 => vec![Fault::FreezeController {
            controller: rng.random_range(0..settings.controllers),
            duration_ms,
        }],
        6 => vec![Fault::StoreOutage { duration_ms }],
        7 => vec![Fault::Leave { slot }],
        8 => vec![Fault::ChangeMonitors {
            count: rng.random_range(1..=2),
        }],
        9 => vec![Fault::DelayRecords { slot, duration_ms }],
        10 => return draw_isolation_at(settings, at, rng),
        _ => draw_zone_and_rack_loss(settings, rng),
    };
    let timed = |fault| TimedFault { at, fault };
    faults.into_iter().map(timed).collect()
}

/// Draws a monitor that does not receive records from `at` + [`CONTROLLER_CUT_LEAD_MS`] on, and that either
/// leaves then or is cut off from all machines but one agent.
///
/// That agent can't reach the controllers from `at` on, and is cut off from a second monitor after a further
/// delay drawn from [`SECOND_CUT_DELAY_MS`].
fn draw_isolation_at(settings: &CheckSettings, at: u64, rng: &mut StdRng) -> Vec<TimedFault> {
    let mut slots: Vec<usize> = (0..settings.agents).collect();
    slots.shuffle(rng);
    let (slot, agent_slot, second_monitor_slot) = (slots[0], slots[1], slots[2]);
    let duration_ms = rng.random_range(ISOLATION_DURATION_MS);
    let monitor = MachineSet::of_slot(slot);
    let unreachable = monitor.union(MachineSet::of_slot(agent_slot)).complement();
    let agent = MachineSet::of_slot(agent_slot);
    let controller_cut_at = at;
    let at = at + CONTROLLER_CUT_LEAD_MS;
    let second_cut_at = at + rng.random_range(SECOND_CUT_DELAY_MS);
    let partition_both_ways = |at, first: MachineSet, second: MachineSet| {
        let directions = [(first, second), (second, first)];
        directions.map(|(from, to)| TimedFault {
            at,
            fault: Fault::Partition {
                from,
                to,
                duration_ms,
            },
        })
    };
    let fault = Fault::Leave { slot };
    let mut faults = if rng.random_bool(0.5) {
        vec![TimedFault { at, fault }]
    } else {
        Vec::from(partition_both_ways(at, monitor, unreachable))
    };
    faults.extend(partition_both_ways(
        controller_cut_at,
        agent,
        MachineSet::of_controllers(),
    ));
    faults.extend(partition_both_ways(
        second_cut_at,
        agent,
        MachineSet::of_slot(second_monitor_slot),
    ));
    let fault = Fault::DelayRecords { slot, duration_ms };
    faults.push(TimedFault { at, fault });
    faults
}

/// Draws the loss of one agent, which is replaced in half of the cases.
fn draw_kill(slot: usize, rng: &mut StdRng) -> Fault {
    let restart_delay = rng.random_range(RESTART_DELAY_MS);
    Fault::Kill {
        slot,
        restart_after: rng.random_bool(0.5).then_some(restart_delay),
    }
}

/// Draws a partition between two random sets of machines, in one direction or both.
fn draw_partition(settings: &CheckSettings, duration_ms: u64, rng: &mut StdRng) -> Vec<Fault> {
    let from = MachineSet::new(rng.random_range(1..(1 << settings.agents)));
    let to_all_others = rng.random_bool(0.5);
    let to = if to_all_others {
        from.complement()
    } else {
        MachineSet::new(rng.random())
    };
    let partition = |from, to| Fault::Partition {
        from,
        to,
        duration_ms,
    };
    if rng.random_bool(0.5) {
        vec![partition(from, to), partition(to, from)]
    } else {
        vec![partition(from, to)]
    }
}

/// Draws the loss of a whole zone and of one rack in another zone.
pub fn draw_zone_and_rack_loss(settings: &CheckSettings, rng: &mut StdRng) -> Vec<Fault> {
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
