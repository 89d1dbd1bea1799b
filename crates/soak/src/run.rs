//! One run: a fleet, its callers, the faults of a seed, and what came of it.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use jy_kernel::clock;
use jy_platform_standins::operator;
use jy_platform_standins::store::StoreFaults;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::callers::CallerCounts;
use crate::callers::SharedCallerState;
use crate::fleet::INSTANCES;
use crate::fleet::SoakFleet;
use crate::fleet::ZONES;
use crate::plan::FaultEvent;
use crate::plan::FaultKind;
use crate::plan::draw;
use crate::relay::LinkMode;

/// Time for a fleet to come up, in milliseconds.
const START_MS: u64 = 6_000;
/// After the last fault is healed, the fleet serves again within this, in milliseconds: the platform's
/// bound on recovery, 15 s, and one window.
const RECOVER_MS: u64 = 16_000;
/// Length of the window in which recovery is looked at, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Share of the requests that a recovered fleet serves at least.
const RECOVERED_SHARE: f64 = 0.95;
/// A fleet serves at least this share while nothing is wrong yet.
const CALM_SHARE: f64 = 0.95;
/// Time between looks for what is due, in milliseconds.
const LOOK_MS: u64 = 20;
/// Time that a drained backend server goes on, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Broken promises.
    pub violations: Vec<String>,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were not.
    pub failed: u64,
    /// Time from the last heal to recovery, in milliseconds.
    pub recovered_ms: u64,
}

/// A run under way.
struct SoakRun {
    fleet: SoakFleet,
    board: Rc<SharedCallerState>,
    version: u64,
}

/// Runs one seed with faults for `length_ms`, the agents' program at `agent`, files in `folder`.
///
/// # Errors
///
/// If the fleet can't be started or a process can't be reached.
pub async fn run(agent: &Path, folder: &Path, seed: u64, length_ms: u64) -> Result<SoakReport> {
    std::fs::create_dir_all(folder)?;
    // The lowest bits of the process id and the seed set fleets apart that run at the same time.
    let net = (std::process::id() ^ u32::try_from(seed % 251)?.wrapping_mul(257)) % 60_000 + 300;
    let fleet = SoakFleet::start(agent, folder, u16::try_from(net)?).await?;
    let board = Rc::new(SharedCallerState::new(Rc::clone(&fleet.ledger)));
    let mut run = SoakRun {
        fleet,
        board,
        version: 1,
    };
    run.fleet.configure(run.version, "reads");
    for index in 0..INSTANCES {
        run.fleet.start_agent(index)?;
        run.fleet.start_backend(index).await?;
    }
    sleep(Duration::from_millis(START_MS)).await;
    for instance in &run.fleet.instances {
        let caller_seed = seed.wrapping_mul(1_000) + instance.index as u64;
        actix_rt::spawn(Rc::clone(&run.board).call(instance.caller, caller_seed));
    }
    run.check_calm().await;
    run.play(&draw(seed, length_ms, INSTANCES)).await?;
    let recovered_ms = run.recover().await?;
    run.board.has_ended.set(true);
    let tally = run.board.tally.get();
    Ok(SoakReport {
        seed,
        violations: run.fleet.ledger.violations(),
        served: tally.served,
        failed: tally.failed,
        recovered_ms,
    })
}

impl SoakRun {
    /// Checks that a fleet without faults serves.
    async fn check_calm(&self) {
        let share = self.window().await.served_share();
        if share < CALM_SHARE {
            let text = format!("a calm fleet serves {share:.3}, less than {CALM_SHARE}");
            self.fleet.ledger.violation(text);
        }
    }

    /// Plays the faults, each until it is healed.
    ///
    /// # Errors
    ///
    /// If a process can't be reached.
    async fn play(&mut self, events: &[FaultEvent]) -> Result<()> {
        let began = clock::now();
        let mut waiting = events.to_vec();
        let mut open: Vec<FaultEvent> = Vec::new();
        while !waiting.is_empty() || !open.is_empty() {
            let elapsed = clock::now().since(began);
            while waiting.first().is_some_and(|event| event.at_ms <= elapsed) {
                let event = waiting.remove(0);
                self.begin(event.kind)?;
                open.push(event);
            }
            let (due, still): (Vec<FaultEvent>, Vec<FaultEvent>) = open
                .into_iter()
                .partition(|event| event.until_ms <= elapsed);
            open = still;
            for event in due {
                self.heal(event.kind).await?;
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        Ok(())
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// If a process can't be reached.
    fn begin(&mut self, kind: FaultKind) -> Result<()> {
        let fleet = &self.fleet;
        let faults = StoreFaults::default();
        match kind {
            FaultKind::KillAgent(index) => fleet.signal(index, Signal::KILL)?,
            FaultKind::StopAgent(index) => fleet.signal(index, Signal::TERM)?,
            FaultKind::PauseAgent(index) => fleet.signal(index, Signal::STOP)?,
            FaultKind::HangUpAgent(index) => fleet.signal(index, Signal::HUP)?,
            FaultKind::KillMany(count) => {
                for index in 0..count {
                    fleet.signal(index, Signal::KILL)?;
                }
            }
            FaultKind::StoreLink(index, mode) => fleet.instances[index].store_link.set_mode(mode),
            FaultKind::BackendLink(index, mode) => {
                fleet.instances[index].backend_link.set_mode(mode);
            }
            FaultKind::StoreSilent => fleet.store.set_faults(StoreFaults {
                is_silent: true,
                ..faults
            }),
            FaultKind::StoreBusy => fleet.store.set_faults(StoreFaults {
                is_busy: true,
                lapses: true,
                ..faults
            }),
            FaultKind::StoreSlow => fleet.store.set_faults(StoreFaults {
                delay_ms: 240,
                ..faults
            }),
            FaultKind::StoreLost => fleet.store.set_faults(StoreFaults {
                lost_share: 0.4,
                ..faults
            }),
            FaultKind::StoreCompact => fleet.store.compact(),
            FaultKind::CrashBackend(index) => fleet.crash_backend(index),
            FaultKind::DrainBackend(index) => fleet.drain_backend(index),
            FaultKind::ZoneOut(zone) => {
                operator::set_zone_out(&fleet.store, ZONES[zone], true);
            }
            FaultKind::Configure => {
                self.version += 3;
                let reads = if self.board.reads.get() == "reads" {
                    "orders"
                } else {
                    "reads"
                };
                self.board.reads.set(reads);
                self.fleet.configure(self.version, reads);
            }
        }
        Ok(())
    }

    /// Heals a fault.
    ///
    /// # Errors
    ///
    /// If a process can't be reached.
    async fn heal(&self, kind: FaultKind) -> Result<()> {
        let fleet = &self.fleet;
        match kind {
            FaultKind::KillAgent(index) => fleet.start_agent(index)?,
            FaultKind::KillMany(count) => {
                for index in 0..count {
                    fleet.start_agent(index)?;
                }
            }
            FaultKind::PauseAgent(index) => fleet.signal(index, Signal::CONT)?,
            FaultKind::StoreLink(index, _) => {
                fleet.instances[index].store_link.set_mode(LinkMode::Open);
            }
            FaultKind::BackendLink(index, _) => {
                fleet.instances[index].backend_link.set_mode(LinkMode::Open);
            }
            FaultKind::StoreSilent
            | FaultKind::StoreBusy
            | FaultKind::StoreSlow
            | FaultKind::StoreLost => fleet.store.set_faults(StoreFaults::default()),
            FaultKind::CrashBackend(index) => fleet.start_backend(index).await?,
            FaultKind::DrainBackend(index) => {
                sleep(Duration::from_millis(DRAIN_MS)).await;
                fleet.crash_backend(index);
                fleet.start_backend(index).await?;
            }
            FaultKind::ZoneOut(zone) => {
                operator::set_zone_out(&fleet.store, ZONES[zone], false);
            }
            FaultKind::StopAgent(_)
            | FaultKind::HangUpAgent(_)
            | FaultKind::StoreCompact
            | FaultKind::Configure => {}
        }
        Ok(())
    }

    /// Starts what has ended and waits until the fleet serves again, with the newest configuration.
    ///
    /// # Errors
    ///
    /// If a process can't be reached.
    async fn recover(&self) -> Result<u64> {
        let began = clock::now();
        loop {
            for index in 0..INSTANCES {
                self.fleet.signal(index, Signal::CONT)?;
                self.fleet.start_agent(index)?;
                self.fleet.start_backend(index).await?;
            }
            let window = self.window().await;
            let elapsed = clock::now().since(began);
            if window.served_share() >= RECOVERED_SHARE && window.outdated == 0 {
                return Ok(elapsed);
            }
            if elapsed > RECOVER_MS {
                let text = format!(
                    "{elapsed} ms after the last heal {} of {} requests are served, {} of them by an \
                     outdated route",
                    window.served,
                    window.served + window.failed,
                    window.outdated
                );
                self.fleet.ledger.violation(text);
                return Ok(elapsed);
            }
        }
    }

    /// What callers see in one window.
    async fn window(&self) -> CallerCounts {
        let before = self.board.tally.get();
        sleep(Duration::from_millis(WINDOW_MS)).await;
        let after = self.board.tally.get();
        CallerCounts {
            served: after.served - before.served,
            failed: after.failed - before.failed,
            outdated: after.outdated - before.outdated,
        }
    }
}

impl CallerCounts {
    /// Share of the requests that were served.
    fn served_share(&self) -> f64 {
        self.served as f64 / (self.served + self.failed).max(1) as f64
    }
}
