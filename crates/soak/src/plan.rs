//! Which faults come when, drawn from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::relay::LinkMode;

/// A fault and what heals it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// An agent's process is killed, and started again.
    KillAgent(usize),
    /// An agent's process gets SIGTERM, and is started again once it has ended.
    StopAgent(usize),
    /// An agent's process stands still.
    PauseAgent(usize),
    /// An agent is told that its settings changed.
    HangUpAgent(usize),
    /// Several agents are killed at once, and started again.
    KillMany(usize),
    /// An agent's link to the store misbehaves.
    StoreLink(usize, LinkMode),
    /// An agent's link to its backend server misbehaves.
    BackendLink(usize, LinkMode),
    /// The store hangs.
    StoreSilent,
    /// The store refuses calls, and leases run out meanwhile.
    StoreBusy,
    /// The store is slow.
    StoreSlow,
    /// The store loses answers of writes that it did.
    StoreLost,
    /// The store drops its history.
    StoreCompact,
    /// A backend server crashes and starts again as a new life.
    CrashBackend(usize),
    /// A backend server drains, ends and starts again as a new life.
    DrainBackend(usize),
    /// An availability zone is taken out, and back.
    ZoneOut(usize),
    /// The configuration changes.
    Configure,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultEvent {
    /// When it comes, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// When it is healed, in milliseconds from the start of the load.
    pub until_ms: u64,
    /// What.
    pub kind: FaultKind,
}

/// Draws the faults of a run of some length over a number of agents.
#[must_use]
pub fn draw(seed: u64, length_ms: u64, agents: usize) -> Vec<FaultEvent> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = usize::try_from(length_ms / 700).unwrap_or(usize::MAX);
    let mut events: Vec<FaultEvent> = (0..count)
        .map(|_| {
            let at_ms = rng.random_range(0..length_ms);
            let lasts_ms = rng.random_range(300..5_000);
            FaultEvent {
                at_ms,
                until_ms: (at_ms + lasts_ms).min(length_ms),
                kind: draw_kind(&mut rng, agents),
            }
        })
        .collect();
    events.sort_by_key(|event| event.at_ms);
    events
}

/// Draws one kind of fault.
fn draw_kind(rng: &mut StdRng, agents: usize) -> FaultKind {
    let agent = rng.random_range(0..agents);
    let modes = [
        LinkMode::Delayed(rng.random_range(5..300)),
        LinkMode::Silent,
        LinkMode::OneWay,
        LinkMode::Reset,
    ];
    let mode = *modes.choose(rng).unwrap_or(&LinkMode::Reset);
    match rng.random_range(0..16) {
        0 | 1 => FaultKind::KillAgent(agent),
        2 => FaultKind::StopAgent(agent),
        3 | 4 => FaultKind::PauseAgent(agent),
        5 => FaultKind::HangUpAgent(agent),
        6 => FaultKind::KillMany(rng.random_range(2..=agents)),
        7 => FaultKind::StoreLink(agent, mode),
        8 => FaultKind::BackendLink(agent, mode),
        9 => FaultKind::StoreSilent,
        10 => FaultKind::StoreBusy,
        11 => *[FaultKind::StoreSlow, FaultKind::StoreCompact]
            .choose(rng)
            .unwrap_or(&FaultKind::StoreSlow),
        12 => FaultKind::StoreLost,
        13 => FaultKind::CrashBackend(agent),
        14 => FaultKind::DrainBackend(agent),
        _ => *[FaultKind::ZoneOut(agent % 3), FaultKind::Configure]
            .choose(rng)
            .unwrap_or(&FaultKind::Configure),
    }
}
