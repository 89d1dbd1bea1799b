//! Schedules of random faults, derived from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::relay::LinkMode;

/// A fault. Faults with a duration last until [`FaultEvent::until_ms`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Kills an agent's process and starts it again.
    KillAgent(usize),
    /// Sends SIGTERM to an agent's process, which is started again after the last fault at the latest.
    StopAgent(usize),
    /// Suspends an agent's process (SIGSTOP) and resumes it (SIGCONT).
    PauseAgent(usize),
    /// Sends SIGHUP to an agent's process, which makes it reload its settings.
    ReloadAgent(usize),
    /// Kills this many agents at once, from index 0, and starts them again.
    KillMany(usize),
    /// Sets the mode of an agent's link to the store.
    StoreLink(usize, LinkMode),
    /// Sets the mode of an agent's link to its backend server.
    BackendLink(usize, LinkMode),
    /// The store accepts calls but does not answer.
    StoreSilent,
    /// The store refuses calls while leases expire.
    StoreBusy,
    /// The store answers with a delay.
    StoreSlow,
    /// The store applies writes but loses some of the answers.
    StoreLost,
    /// The store compacts its history.
    StoreCompact,
    /// The store refuses calls, then comes back from a copy of this age in milliseconds, with or without the copy's
    /// leases.
    StoreRestore(u64, bool),
    /// Crashes a backend server and starts it again as a new incarnation.
    CrashBackend(usize),
    /// Drains a backend server, stops it and starts it again as a new incarnation.
    DrainBackend(usize),
    /// Kills an agent's process. Its backend server reports its end once the process is started again, before any
    /// announcement, and is started again as a new incarnation some seconds later.
    EndBackend(usize),
    /// Takes an availability zone out of service and back in.
    ZoneOut(usize),
    /// Publishes a new version of the configuration.
    Configure,
}

/// A fault and the interval in which it is active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultEvent {
    /// Start of the fault, in milliseconds from the start of the schedule.
    pub at_ms: u64,
    /// End of the fault, in milliseconds from the start of the schedule.
    pub until_ms: u64,
    /// The fault.
    pub kind: FaultKind,
}

/// Draws the faults of a run over `length_ms` for a fleet of `agents` agents, in order of their start: one
/// for each 700 ms on average.
#[must_use]
pub fn draw(seed: u64, length_ms: u64, agents: usize) -> Vec<FaultEvent> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = usize::try_from(length_ms / 700).unwrap_or(usize::MAX);
    let mut events: Vec<FaultEvent> = (0..count)
        .map(|_| {
            let at_ms = rng.random_range(0..length_ms);
            let duration_ms = rng.random_range(300..5_000);
            FaultEvent {
                at_ms,
                until_ms: (at_ms + duration_ms).min(length_ms),
                kind: draw_kind(&mut rng, agents),
            }
        })
        .collect();
    events.sort_by_key(|event| event.at_ms);
    events
}

/// Draws `count` restores of the store over `length_ms`, in order of their start. They are drawn apart from
/// the other faults, so that those of a seed stay the same.
#[must_use]
pub fn draw_restores(seed: u64, length_ms: u64, count: usize) -> Vec<FaultEvent> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut events: Vec<FaultEvent> = (0..count)
        .map(|_| {
            let at_ms = rng.random_range(0..length_ms);
            let duration_ms = rng.random_range(200..1_500);
            FaultEvent {
                at_ms,
                until_ms: (at_ms + duration_ms).min(length_ms),
                kind: FaultKind::StoreRestore(rng.random_range(500..8_000), rng.random()),
            }
        })
        .collect();
    events.sort_by_key(|event| event.at_ms);
    events
}

/// Draws one fault. The 16 numbers are equally likely: kinds with two numbers are drawn twice as often as kinds
/// with one, and kinds that share a number half as often.
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
        5 => FaultKind::ReloadAgent(agent),
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
        14 => *[FaultKind::DrainBackend(agent), FaultKind::EndBackend(agent)]
            .choose(rng)
            .unwrap_or(&FaultKind::DrainBackend(agent)),
        _ => *[FaultKind::ZoneOut(agent % 3), FaultKind::Configure]
            .choose(rng)
            .unwrap_or(&FaultKind::Configure),
    }
}
