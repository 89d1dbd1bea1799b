//! One run: starts a fleet and its callers, injects the faults of a seed and waits for recovery.

use std::collections::BTreeSet;
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
use crate::plan::draw_restores;
use crate::relay::LinkMode;

/// Time from the start of the processes to the first requests.
const STARTUP_MS: u64 = 6_000;
/// Longest time from the end of the last fault to recovery: the platform's bound on recovery, 15 s, and one
/// window.
const MAX_RECOVERY_MS: u64 = 16_000;
/// Time by which recovery may take longer after the store came back from an older copy: agents hold back claims for
/// 20.5 s, and one of them then writes first.
const MAX_SETTLE_MS: u64 = 22_500;
/// Time over which the share of served requests is measured.
const WINDOW_MS: u64 = 1_000;
/// Minimum share of requests that a recovered fleet serves.
const MIN_RECOVERED_SHARE: f64 = 0.95;
/// Minimum share of requests that a fleet serves before the first fault.
const MIN_BASELINE_SHARE: f64 = 0.95;
const POLL_INTERVAL_MS: u64 = 20;
/// Time that a draining backend server keeps running, from the end of its fault.
const DRAIN_MS: u64 = 2_000;
/// How long a backend server serves after the start of the agent to which it reports its end, in milliseconds.
const LEAVE_MS: u64 = 4_500;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Violated invariants, one text for each violation.
    pub violations: Vec<String>,
    /// Requests with a successful answer.
    pub served: u64,
    /// Requests without an answer or with an error status.
    pub failed: u64,
    /// Time from the end of the last fault to recovery, or to the end of the wait for it, in milliseconds.
    pub recovered_ms: u64,
}

/// State of a run in progress.
struct SoakRun {
    fleet: SoakFleet,
    callers: Rc<SharedCallerState>,
    config_version: u64,
    /// Availability zones that are taken out.
    zones_out: BTreeSet<usize>,
    /// Longest time to recovery, in milliseconds.
    max_recovery_ms: u64,
}

/// Runs one seed with faults over `length_ms`, among them `restores` of the store from an older copy. `agent_program` is
/// the path of the agents' program; settings and logs are written to `folder`.
///
/// # Errors
///
/// If the fleet can't be started or a process can't be started or signalled.
pub async fn run(
    agent_program: &Path,
    folder: &Path,
    seed: u64,
    length_ms: u64,
    restores: usize,
) -> Result<SoakReport> {
    std::fs::create_dir_all(folder)?;
    // Mixes the process id and the seed, so that fleets that run at the same time hardly ever share addresses.
    let net = (std::process::id() ^ u32::try_from(seed % 251)?.wrapping_mul(257)) % 60_000 + 300;
    let fleet = SoakFleet::start(agent_program, folder, u16::try_from(net)?).await?;
    let callers = Rc::new(SharedCallerState::new(Rc::clone(&fleet.invariants)));
    let mut run = SoakRun {
        fleet,
        callers,
        config_version: 1,
        zones_out: BTreeSet::new(),
        max_recovery_ms: MAX_RECOVERY_MS + if restores > 0 { MAX_SETTLE_MS } else { 0 },
    };
    run.fleet.configure(run.config_version, "reads");
    for index in 0..INSTANCES {
        run.fleet.start_agent(index)?;
        run.fleet.start_backend(index).await?;
    }
    sleep(Duration::from_millis(STARTUP_MS)).await;
    for instance in &run.fleet.instances {
        let caller_seed = seed.wrapping_mul(1_000) + instance.index as u64;
        actix_rt::spawn(Rc::clone(&run.callers).send_requests(instance.caller, caller_seed));
    }
    run.check_baseline().await;
    let mut events = draw(seed, length_ms, INSTANCES);
    events.extend(draw_restores(seed, length_ms, restores));
    events.sort_by_key(|event| event.at_ms);
    run.inject_faults(&events).await?;
    let recovered_ms = run.wait_for_recovery().await?;
    run.callers.should_stop.set(true);
    let counts = run.callers.counts.get();
    Ok(SoakReport {
        seed,
        violations: run.fleet.invariants.violations(),
        served: counts.served,
        failed: counts.failed,
        recovered_ms,
    })
}

impl SoakRun {
    /// Reports a violation unless the fleet serves requests before the first fault.
    async fn check_baseline(&self) {
        let share = self.measure_window().await.served_share();
        if share < MIN_BASELINE_SHARE {
            let text = format!(
                "the share of served requests without faults is {share:.3}; expected at least \
                 {MIN_BASELINE_SHARE}"
            );
            self.fleet.invariants.record_violation(text);
        }
    }

    /// Starts and ends the faults at their times; returns when all have ended.
    ///
    /// # Errors
    ///
    /// If a process can't be started or signalled.
    async fn inject_faults(&mut self, events: &[FaultEvent]) -> Result<()> {
        let start = clock::now();
        let mut pending = events.to_vec();
        let mut active: Vec<FaultEvent> = Vec::new();
        while !pending.is_empty() || !active.is_empty() {
            let elapsed_ms = clock::now().since(start);
            while pending
                .first()
                .is_some_and(|event| event.at_ms <= elapsed_ms)
            {
                let event = pending.remove(0);
                self.start_fault(event.kind)?;
                active.push(event);
            }
            let (due, remaining): (Vec<FaultEvent>, Vec<FaultEvent>) = active
                .into_iter()
                .partition(|event| event.until_ms <= elapsed_ms);
            active = remaining;
            for event in due {
                self.end_fault(event.kind).await?;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        Ok(())
    }

    /// # Errors
    ///
    /// If a process can't be signalled.
    fn start_fault(&mut self, kind: FaultKind) -> Result<()> {
        let fleet = &self.fleet;
        let faults = StoreFaults::default();
        match kind {
            FaultKind::KillAgent(index) => fleet.signal(index, Signal::KILL)?,
            FaultKind::StopAgent(index) => fleet.signal(index, Signal::TERM)?,
            FaultKind::PauseAgent(index) => fleet.signal(index, Signal::STOP)?,
            FaultKind::ReloadAgent(index) => fleet.signal(index, Signal::HUP)?,
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
                expires_leases: true,
                ..faults
            }),
            FaultKind::StoreRestore(..) => fleet.store.set_faults(StoreFaults {
                is_busy: true,
                ..faults
            }),
            FaultKind::StoreSlow => fleet.store.set_faults(StoreFaults {
                delay_ms: 240,
                ..faults
            }),
            FaultKind::StoreLost => fleet.store.set_faults(StoreFaults {
                lost_response_share: 0.4,
                ..faults
            }),
            FaultKind::StoreCompact => fleet.store.compact(),
            FaultKind::CrashBackend(index) => fleet.crash_backend(index),
            FaultKind::DrainBackend(index) => fleet.drain_backend(index),
            FaultKind::EndBackend(index) => {
                fleet.signal(index, Signal::KILL)?;
                fleet.end_backend(index);
            }
            FaultKind::ZoneOut(zone) => {
                operator::set_zone_out(&fleet.store, ZONES[zone], true);
                self.zones_out.insert(zone);
            }
            FaultKind::Configure => {
                self.config_version += 3;
                let reads_service = if self.callers.reads_service.get() == "reads" {
                    "orders"
                } else {
                    "reads"
                };
                self.callers.reads_service.set(reads_service);
                self.fleet.configure(self.config_version, reads_service);
            }
        }
        Ok(())
    }

    /// Ends a fault, or the wait after it. Agents that were stopped by SIGTERM are started by
    /// [`Self::wait_for_recovery`].
    ///
    /// # Errors
    ///
    /// If a process or a backend server can't be started, or a process can't be signalled.
    async fn end_fault(&mut self, kind: FaultKind) -> Result<()> {
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
            FaultKind::StoreRestore(age_ms, keeps_leases) => {
                fleet.store.restore(age_ms, keeps_leases);
                fleet.store.set_faults(StoreFaults::default());
                // Operators write again what the store has lost.
                fleet.configure(self.config_version, self.callers.reads_service.get());
                for (zone, name) in ZONES.iter().enumerate() {
                    operator::set_zone_out(&fleet.store, name, self.zones_out.contains(&zone));
                }
            }
            FaultKind::CrashBackend(index) => fleet.start_backend(index).await?,
            FaultKind::DrainBackend(index) => {
                sleep(Duration::from_millis(DRAIN_MS)).await;
                fleet.crash_backend(index);
                fleet.start_backend(index).await?;
            }
            FaultKind::EndBackend(index) => {
                fleet.start_agent(index)?;
                sleep(Duration::from_millis(LEAVE_MS)).await;
                fleet.crash_backend(index);
                fleet.start_backend(index).await?;
            }
            FaultKind::ZoneOut(zone) => {
                operator::set_zone_out(&fleet.store, ZONES[zone], false);
                self.zones_out.remove(&zone);
            }
            FaultKind::StopAgent(_)
            | FaultKind::ReloadAgent(_)
            | FaultKind::StoreCompact
            | FaultKind::Configure => {}
        }
        Ok(())
    }

    /// Resumes and restarts all processes and waits until the fleet serves requests by the newest
    /// configuration. Returns the time that this took, in milliseconds; a fleet that does not recover in
    /// time is reported as a violation.
    ///
    /// # Errors
    ///
    /// If a process or a backend server can't be started, or a process can't be signalled.
    async fn wait_for_recovery(&self) -> Result<u64> {
        let start = clock::now();
        loop {
            for index in 0..INSTANCES {
                self.fleet.signal(index, Signal::CONT)?;
                self.fleet.start_agent(index)?;
                self.fleet.start_backend(index).await?;
            }
            let window = self.measure_window().await;
            let elapsed_ms = clock::now().since(start);
            if window.served_share() >= MIN_RECOVERED_SHARE && window.outdated == 0 {
                return Ok(elapsed_ms);
            }
            if elapsed_ms > self.max_recovery_ms {
                let text = format!(
                    "{elapsed_ms} ms after the end of the last fault, {} of {} requests were served, {} of \
                     them by an outdated route",
                    window.served,
                    window.served + window.failed,
                    window.outdated
                );
                self.fleet.invariants.record_violation(text);
                return Ok(elapsed_ms);
            }
        }
    }

    /// Counts the requests of one window.
    async fn measure_window(&self) -> CallerCounts {
        let before = self.callers.counts.get();
        sleep(Duration::from_millis(WINDOW_MS)).await;
        let after = self.callers.counts.get();
        CallerCounts {
            served: after.served - before.served,
            failed: after.failed - before.failed,
            outdated: after.outdated - before.outdated,
        }
    }
}

impl CallerCounts {
    /// Share of the requests that were served; 0 if there were none.
    fn served_share(&self) -> f64 {
        self.served as f64 / (self.served + self.failed).max(1) as f64
    }
}
