//! Named faults for schedules of a single fault in a reliable network.

use rand::Rng;
use rand::rngs::StdRng;

use super::fault::Fault;
use super::fault::TimedFault;
use super::fault::draw_zone_and_rack_loss;
use super::network::MachineSet;
use super::settings::CheckSettings;
use super::settings::DrawFaults;

/// A fault with a name.
#[derive(Clone, Copy, Debug)]
pub struct FaultCase {
    /// Name in reports.
    pub name: &'static str,
    /// Draws the fault.
    pub draw_faults: DrawFaults,
}

/// Real time at which the fault begins.
const FAULT_START_MS: std::ops::Range<u64> = 7_000..8_000;
/// Duration of faults that end by themselves.
const DURATION_MS: u64 = 10_000;
/// Shorter than a lease.
const SHORT_PAUSE_MS: u64 = 1_500;

/// Loss of one agent.
pub const KILL: FaultCase = FaultCase {
    name: "agent lost",
    draw_faults: |settings, rng| {
        let slot = rng.random_range(0..settings.agents);
        single_fault(rng, kill(slot))
    },
};

/// Loss of a whole zone and of one rack in another zone at the same time.
pub const ZONE_AND_RACK: FaultCase = FaultCase {
    name: "zone and rack lost",
    draw_faults: |settings, rng| {
        let faults = draw_zone_and_rack_loss(settings, rng);
        simultaneous_faults(rng, faults)
    },
};

/// Single faults, in which only the affected agents may lose their leases.
pub const SINGLE_FAULTS: [FaultCase; 10] = [
    KILL,
    FaultCase {
        name: "agent paused shorter than its lease",
        draw_faults: |settings, rng| freeze(settings, rng, SHORT_PAUSE_MS),
    },
    FaultCase {
        name: "agent frozen and back",
        draw_faults: |settings, rng| freeze(settings, rng, DURATION_MS),
    },
    FaultCase {
        name: "agent cut off",
        draw_faults: |settings, rng| {
            let machines = MachineSet::of_slot(rng.random_range(0..settings.agents));
            let faults = partition_both_ways(machines, machines.complement());
            simultaneous_faults(rng, faults)
        },
    },
    FaultCase {
        name: "two agents cut apart one way",
        draw_faults: |settings, rng| {
            let first = rng.random_range(0..settings.agents);
            let second = (first + rng.random_range(1..settings.agents)) % settings.agents;
            let fault = partition(MachineSet::of_slot(first), MachineSet::of_slot(second));
            single_fault(rng, fault)
        },
    },
    FaultCase {
        name: "zone lost",
        draw_faults: |settings, rng| {
            let zone = rng.random_range(0..settings.zones);
            let faults = instances_in_zone(settings, zone).map(kill).collect();
            simultaneous_faults(rng, faults)
        },
    },
    FaultCase {
        name: "zone cut off",
        draw_faults: |settings, rng| {
            let zone = rng.random_range(0..settings.zones);
            let machines = instances_in_zone(settings, zone)
                .map(MachineSet::of_slot)
                .fold(MachineSet::new(0), MachineSet::union);
            let faults = partition_both_ways(machines, machines.complement());
            simultaneous_faults(rng, faults)
        },
    },
    FaultCase {
        name: "store down",
        draw_faults: |_, rng| {
            single_fault(
                rng,
                Fault::StoreOutage {
                    duration_ms: DURATION_MS,
                },
            )
        },
    },
    FaultCase {
        name: "controller frozen and back",
        draw_faults: |_, rng| {
            let fault = Fault::FreezeController {
                controller: 0,
                duration_ms: DURATION_MS,
            };
            single_fault(rng, fault)
        },
    },
    FaultCase {
        name: "two monitors of everybody changed",
        draw_faults: |_, rng| single_fault(rng, Fault::ChangeMonitors { count: 2 }),
    },
];

fn instances_in_zone(settings: &CheckSettings, zone: usize) -> impl Iterator<Item = usize> {
    (0..settings.agents).filter(move |slot| settings.place_of(*slot).zone == zone)
}

const fn kill(slot: usize) -> Fault {
    Fault::Kill {
        slot,
        restart_after: None,
    }
}

fn freeze(settings: &CheckSettings, rng: &mut StdRng, duration_ms: u64) -> Vec<TimedFault> {
    let slot = rng.random_range(0..settings.agents);
    single_fault(rng, Fault::Freeze { slot, duration_ms })
}

const fn partition(from: MachineSet, to: MachineSet) -> Fault {
    Fault::Partition {
        from,
        to,
        duration_ms: DURATION_MS,
    }
}

fn partition_both_ways(machines: MachineSet, others: MachineSet) -> Vec<Fault> {
    vec![partition(machines, others), partition(others, machines)]
}

fn single_fault(rng: &mut StdRng, fault: Fault) -> Vec<TimedFault> {
    simultaneous_faults(rng, vec![fault])
}

fn simultaneous_faults(rng: &mut StdRng, faults: Vec<Fault>) -> Vec<TimedFault> {
    let at = rng.random_range(FAULT_START_MS);
    let timed = |fault| TimedFault { at, fault };
    faults.into_iter().map(timed).collect()
}
