//! Schedules of one stated fault in a calm network.

use rand::Rng;
use rand::rngs::StdRng;

use super::fault::Fault;
use super::fault::TimedFault;
use super::fault::draw_zone_and_rack;
use super::network::MachineSet;
use super::settings::CheckSettings;
use super::settings::FaultDraw;

/// A fault with a name.
#[derive(Clone, Copy, Debug)]
pub struct FaultCase {
    /// What happens.
    pub name: &'static str,
    /// Draws it.
    pub draw: FaultDraw,
}

/// When the fault begins, in real milliseconds.
const BEGIN_MS: std::ops::Range<u64> = 7_000..8_000;
/// How long a fault lasts that ends by itself.
const LASTS_MS: u64 = 10_000;
/// A pause shorter than a lease.
const SHORT_PAUSE_MS: u64 = 1_500;

/// Loss of one agent.
pub const KILL: FaultCase = FaultCase {
    name: "agent lost",
    draw: |settings, rng| {
        let slot = rng.random_range(0..settings.agents);
        one(rng, kill(slot))
    },
};

/// Loss of a zone and of a rack of another at once.
pub const ZONE_AND_RACK: FaultCase = FaultCase {
    name: "zone and rack lost",
    draw: |settings, rng| {
        let faults = draw_zone_and_rack(settings, rng);
        at_once(rng, faults)
    },
};

/// Single faults that may cost the harmed agents their lease, and nobody else.
pub const SINGLE_FAULTS: [FaultCase; 10] = [
    KILL,
    FaultCase {
        name: "agent paused shorter than its lease",
        draw: |settings, rng| freeze(settings, rng, SHORT_PAUSE_MS),
    },
    FaultCase {
        name: "agent frozen and back",
        draw: |settings, rng| freeze(settings, rng, LASTS_MS),
    },
    FaultCase {
        name: "agent cut off",
        draw: |settings, rng| {
            let side = MachineSet::of_slot(rng.random_range(0..settings.agents));
            let faults = both_ways(side, side.others());
            at_once(rng, faults)
        },
    },
    FaultCase {
        name: "two agents cut apart one way",
        draw: |settings, rng| {
            let first = rng.random_range(0..settings.agents);
            let second = (first + rng.random_range(1..settings.agents)) % settings.agents;
            let fault = cut(MachineSet::of_slot(first), MachineSet::of_slot(second));
            one(rng, fault)
        },
    },
    FaultCase {
        name: "zone lost",
        draw: |settings, rng| {
            let zone = rng.random_range(0..settings.zones);
            let faults = in_zone(settings, zone).map(kill).collect();
            at_once(rng, faults)
        },
    },
    FaultCase {
        name: "zone cut off",
        draw: |settings, rng| {
            let zone = rng.random_range(0..settings.zones);
            let side = in_zone(settings, zone)
                .map(MachineSet::of_slot)
                .fold(MachineSet::new(0), MachineSet::with);
            let faults = both_ways(side, side.others());
            at_once(rng, faults)
        },
    },
    FaultCase {
        name: "store down",
        draw: |_, rng| one(rng, Fault::StoreOutage { lasts: LASTS_MS }),
    },
    FaultCase {
        name: "controller frozen and back",
        draw: |_, rng| {
            let fault = Fault::FreezeController {
                controller: 0,
                lasts: LASTS_MS,
            };
            one(rng, fault)
        },
    },
    FaultCase {
        name: "two monitors of everybody changed",
        draw: |_, rng| one(rng, Fault::ChangeMonitors { count: 2 }),
    },
];

fn in_zone(settings: &CheckSettings, zone: usize) -> impl Iterator<Item = usize> {
    (0..settings.agents).filter(move |slot| settings.place_of(*slot).zone == zone)
}

const fn kill(slot: usize) -> Fault {
    Fault::Kill {
        slot,
        restart_after: None,
    }
}

fn freeze(settings: &CheckSettings, rng: &mut StdRng, lasts: u64) -> Vec<TimedFault> {
    let slot = rng.random_range(0..settings.agents);
    one(rng, Fault::Freeze { slot, lasts })
}

const fn cut(from: MachineSet, to: MachineSet) -> Fault {
    Fault::Cut {
        from,
        to,
        lasts: LASTS_MS,
    }
}

fn both_ways(one: MachineSet, other: MachineSet) -> Vec<Fault> {
    vec![cut(one, other), cut(other, one)]
}

fn one(rng: &mut StdRng, fault: Fault) -> Vec<TimedFault> {
    at_once(rng, vec![fault])
}

fn at_once(rng: &mut StdRng, faults: Vec<Fault>) -> Vec<TimedFault> {
    let at = rng.random_range(BEGIN_MS);
    let timed = |fault| TimedFault { at, fault };
    faults.into_iter().map(timed).collect()
}
