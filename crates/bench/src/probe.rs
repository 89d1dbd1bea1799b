//! Probes single keys at short intervals to measure how long each was unavailable.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use awc::Client;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::call;
use crate::call::CallOutcome;
use crate::call::CallPlan;
use crate::load::EntryList;

/// Pause between two probes of a key, in milliseconds, counted from the answer.
pub const PROBE_INTERVAL_MS: u64 = 20;

const PROBE_TIMEOUT_MS: u64 = 500;

/// Probes that were not served: when each ended, and its outcome.
type FailedProbes = Rc<RefCell<Vec<(Millis, CallOutcome)>>>;

/// Times at which a probe of each key was served.
type ServedTimes = Rc<RefCell<BTreeMap<Name, Vec<Millis>>>>;

/// Running probes, one for each key.
#[derive(Debug)]
pub struct KeyProbe {
    times: ServedTimes,
    failed: FailedProbes,
    stopped: Rc<Cell<bool>>,
    workers: Vec<JoinHandle<()>>,
}

impl KeyProbe {
    /// Starts a probe of each key.
    #[must_use]
    pub fn start(
        workspace: &str,
        service: &str,
        keys: &[Name],
        entries: &EntryList,
        seed: u64,
    ) -> Self {
        let times = ServedTimes::default();
        let failed = FailedProbes::default();
        let stopped = Rc::new(Cell::new(false));
        let client = call::client();
        let workers = keys.iter().enumerate().map(|(index, key)| {
            let plan = CallPlan {
                workspace: workspace.into(),
                service: service.into(),
                is_post: false,
                path: "/probe".into(),
                key: Some(Name::clone(key)),
                idempotency_key: None,
                timeout_ms: PROBE_TIMEOUT_MS,
            };
            let worker = ProbeWorker {
                plan,
                client: client.clone(),
                entries: Rc::clone(entries),
                times: Rc::clone(&times),
                failed: Rc::clone(&failed),
                stopped: Rc::clone(&stopped),
                rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
            };
            actix_rt::spawn(worker.run())
        });
        Self {
            workers: workers.collect(),
            times,
            failed,
            stopped,
        }
    }

    /// Returns whether every key was served after `since`.
    #[must_use]
    pub fn all_served_since(&self, since: Millis) -> bool {
        let times = self.times.borrow();
        times.len() == self.workers.len() && times.values().all(|times| times.last() > Some(&since))
    }

    /// Waits up to `limit_ms` until every key was served after `since`. Returns whether it was.
    pub async fn wait_served(&self, since: Millis, limit_ms: u64) -> bool {
        let deadline = clock::now().plus(limit_ms);
        while !self.all_served_since(since) {
            if clock::now() > deadline {
                return false;
            }
            sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        }
        true
    }

    /// Stops the probes, waits for open ones, and returns the results.
    pub async fn stop(self) -> ProbeTimes {
        self.stopped.set(true);
        for worker in self.workers {
            // A panic in a worker has already been printed; its key counts as never served again.
            drop(worker.await);
        }
        ProbeTimes::new(self.times.take(), self.failed.take(), clock::now())
    }
}

/// Results of probes: when each key was served, and the probes that were not served.
#[derive(Clone, Debug)]
pub struct ProbeTimes {
    times: BTreeMap<Name, Vec<Millis>>,
    /// Probes that were not served: when each ended, and its outcome.
    pub failed: Vec<(Millis, CallOutcome)>,
    ended_at: Millis,
}

impl ProbeTimes {
    /// Creates the results of probes that ended at `ended_at`.
    #[must_use]
    pub const fn new(
        times: BTreeMap<Name, Vec<Millis>>,
        failed: Vec<(Millis, CallOutcome)>,
        ended_at: Millis,
    ) -> Self {
        Self {
            times,
            failed,
            ended_at,
        }
    }

    /// Returns the longest time that each key was not served from `since` on, in milliseconds. The time after
    /// the last served probe counts up to the end of the probes.
    #[must_use]
    pub fn gaps_since(&self, since: Millis) -> Vec<(Name, u64)> {
        let gap = |times: &Vec<Millis>| {
            let mut last = since;
            let mut longest = 0;
            for at in times.iter().filter(|at| **at >= since) {
                longest = longest.max(at.since(last));
                last = *at;
            }
            longest.max(self.ended_at.since(last))
        };
        let gaps = self.times.iter();
        gaps.map(|(key, times)| (Name::clone(key), gap(times)))
            .collect()
    }

    /// Returns the longest of [`Self::gaps_since`], in milliseconds, or `u64::MAX` if there are no keys.
    #[must_use]
    pub fn longest_gap_since(&self, since: Millis) -> u64 {
        let gaps = self.gaps_since(since);
        gaps.into_iter()
            .map(|(_, gap)| gap)
            .max()
            .unwrap_or(u64::MAX)
    }
}

/// Probes one key.
struct ProbeWorker {
    plan: CallPlan,
    client: Client,
    entries: EntryList,
    times: ServedTimes,
    failed: FailedProbes,
    stopped: Rc<Cell<bool>>,
    rng: SmallRng,
}

impl ProbeWorker {
    /// Sends probes, each through a random entry, until stopped.
    async fn run(mut self) {
        let key = self.plan.key.clone().unwrap_or_else(|| "".into());
        self.times
            .borrow_mut()
            .entry(Name::clone(&key))
            .or_default();
        while !self.stopped.get() {
            let entry = {
                let entries = self.entries.borrow();
                entries[self.rng.random_range(0..entries.len())]
            };
            let (outcome, _) = call::call(&self.client, entry, &self.plan).await;
            if outcome == CallOutcome::Served {
                let mut times = self.times.borrow_mut();
                times
                    .entry(Name::clone(&key))
                    .or_default()
                    .push(clock::now());
            } else {
                self.failed.borrow_mut().push((clock::now(), outcome));
            }
            sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        }
    }
}
