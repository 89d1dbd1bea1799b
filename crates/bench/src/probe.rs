//! Probes of single keys: how long a key was unavailable.

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

/// Pause between two probes of a key, in milliseconds.
pub const PROBE_EVERY_MS: u64 = 20;

/// Time that a probe has, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 500;

/// Ends of probes that were not served, with their time.
type MissedEnds = Rc<RefCell<Vec<(Millis, CallOutcome)>>>;

/// Points in time at which a key was served.
type ServedTimes = Rc<RefCell<BTreeMap<Name, Vec<Millis>>>>;

/// Running probes.
#[derive(Debug)]
pub struct KeyProbe {
    times: ServedTimes,
    missed: MissedEnds,
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
        let missed = MissedEnds::default();
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
                missed: Rc::clone(&missed),
                stopped: Rc::clone(&stopped),
                rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
            };
            actix_rt::spawn(worker.run())
        });
        Self {
            workers: workers.collect(),
            times,
            missed,
            stopped,
        }
    }

    /// Whether every key was served after a point in time.
    #[must_use]
    pub fn all_served_since(&self, since: Millis) -> bool {
        let times = self.times.borrow();
        times.len() == self.workers.len() && times.values().all(|times| times.last() > Some(&since))
    }

    /// Waits until every key was served after a point in time; returns whether that came about.
    pub async fn wait_served(&self, since: Millis, limit_ms: u64) -> bool {
        let limit = clock::now().plus(limit_ms);
        while !self.all_served_since(since) {
            if clock::now() > limit {
                return false;
            }
            sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
        }
        true
    }

    /// Stops the probes and returns the times.
    pub async fn stop(self) -> ProbeTimes {
        self.stopped.set(true);
        for worker in self.workers {
            // A worker that panicked has printed why; its key counts as never served again.
            drop(worker.await);
        }
        ProbeTimes::new(self.times.take(), self.missed.take(), clock::now())
    }
}

/// Points in time at which each key was served.
#[derive(Clone, Debug)]
pub struct ProbeTimes {
    times: BTreeMap<Name, Vec<Millis>>,
    /// Probes that were not served: when they ended and how.
    pub missed: Vec<(Millis, CallOutcome)>,
    ended: Millis,
}

impl ProbeTimes {
    /// Makes the times of probes that ended at a point in time.
    #[must_use]
    pub const fn new(
        times: BTreeMap<Name, Vec<Millis>>,
        missed: Vec<(Millis, CallOutcome)>,
        ended: Millis,
    ) -> Self {
        Self {
            times,
            missed,
            ended,
        }
    }

    /// Returns the longest time that each key was not served from `since` on, in milliseconds, up
    /// to its end or to the end of the probes.
    #[must_use]
    pub fn gaps_since(&self, since: Millis) -> Vec<(Name, u64)> {
        let gap = |times: &Vec<Millis>| {
            let mut last = since;
            let mut longest = 0;
            for at in times.iter().filter(|at| **at >= since) {
                longest = longest.max(at.since(last));
                last = *at;
            }
            longest.max(self.ended.since(last))
        };
        let gaps = self.times.iter();
        gaps.map(|(key, times)| (Name::clone(key), gap(times)))
            .collect()
    }

    /// Returns the longest of [`Self::gaps_since`], in milliseconds.
    #[must_use]
    pub fn longest_since(&self, since: Millis) -> u64 {
        let gaps = self.gaps_since(since);
        gaps.into_iter()
            .map(|(_, gap)| gap)
            .max()
            .unwrap_or(u64::MAX)
    }
}

/// One key's probe.
struct ProbeWorker {
    plan: CallPlan,
    client: Client,
    entries: EntryList,
    times: ServedTimes,
    missed: MissedEnds,
    stopped: Rc<Cell<bool>>,
    rng: SmallRng,
}

impl ProbeWorker {
    /// Probes until it is stopped.
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
            let (end, _) = call::call(&self.client, entry, &self.plan).await;
            if end == CallOutcome::Served {
                let mut times = self.times.borrow_mut();
                times
                    .entry(Name::clone(&key))
                    .or_default()
                    .push(clock::now());
            } else {
                self.missed.borrow_mut().push((clock::now(), end));
            }
            sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
        }
    }
}
