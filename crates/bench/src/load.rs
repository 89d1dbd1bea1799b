//! Load generator that sends a mix of requests to the agents of a fleet at a given rate.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
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
use tokio::time::Instant;
use tokio::time::sleep_until;
use uuid::Uuid;

use crate::call;
use crate::call::CallOutcome;
use crate::call::CallPlan;
use crate::load_counts::LoadCounts;
use crate::plan::REGISTER_PATH;

/// A kind of request in the mix of a load.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// Number of different keys; none for a service that is not divided by key.
    pub keys: Option<u32>,
    /// Share of non-idempotent requests, from 0 to 1.
    pub register_share: f64,
    /// Weight of this kind in the mix.
    pub weight: f64,
    /// Number of times that a non-idempotent request is sent again, each time through a random agent.
    pub repeats: u32,
    /// Timeout that the caller states in a request, in milliseconds.
    pub timeout_ms: u64,
}

impl LoadKind {
    /// Creates a kind that consists of idempotent requests only.
    #[must_use]
    pub fn new(workspace: &str, service: &str, keys: Option<u32>) -> Self {
        Self {
            workspace: workspace.into(),
            service: service.into(),
            keys,
            register_share: 0.0,
            weight: 1.0,
            repeats: 0,
            timeout_ms: 4_000,
        }
    }

    /// Sets the share of non-idempotent requests.
    #[must_use]
    pub const fn with_register_share(mut self, share: f64) -> Self {
        self.register_share = share;
        self
    }

    /// Sets how often non-idempotent requests are sent again.
    #[must_use]
    pub const fn with_repeats(mut self, repeats: u32) -> Self {
        self.repeats = repeats;
        self
    }

    /// Sets the timeout that the caller states in a request, in milliseconds.
    #[must_use]
    pub const fn with_timeout(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Draws a random request. `number` makes its path unique.
    fn draw(&self, rng: &mut SmallRng, number: u64) -> CallPlan {
        let is_post = rng.random_bool(self.register_share);
        let path = if is_post { REGISTER_PATH } else { "/query" };
        let key = self.keys.map(|keys| rng.random_range(0..keys));
        CallPlan {
            workspace: Name::clone(&self.workspace),
            service: Name::clone(&self.service),
            is_post,
            path: format!("{path}?n={number}").into(),
            key: key.map(key_name),
            idempotency_key: is_post.then(|| Uuid::now_v7().to_string().into()),
            timeout_ms: self.timeout_ms,
        }
    }
}

/// Returns the name of a numbered key.
#[must_use]
pub fn key_name(number: u32) -> Name {
    format!("key-{number}").into()
}

/// One finished send of a request.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request.
    pub plan: CallPlan,
    /// When it was sent.
    pub start: Millis,
    /// When its outcome was known.
    pub ended_at: Millis,
    /// The outcome for the caller.
    pub outcome: CallOutcome,
    /// The caller listener that it was sent to.
    pub entry: SocketAddr,
}

/// Caller listeners that requests are sent to; may change while a load runs.
pub type EntryList = Rc<RefCell<Vec<SocketAddr>>>;

/// State shared by the workers of a load.
#[derive(Debug)]
struct LoadState {
    kinds: Vec<LoadKind>,
    entries: EntryList,
    stopped: Cell<bool>,
    next_number: Cell<u64>,
    counts: RefCell<LoadCounts>,
    records: RefCell<Vec<CallRecord>>,
}

/// A running load.
#[derive(Debug)]
pub struct LoadRun {
    state: Rc<LoadState>,
    workers: Vec<JoinHandle<()>>,
}

impl LoadRun {
    /// Starts `workers` workers that together send `per_second` requests per second. Each worker has at most
    /// one open request, so slow answers lower the rate.
    #[must_use]
    pub fn start(
        kinds: Vec<LoadKind>,
        entries: EntryList,
        workers: u32,
        per_second: f64,
        seed: u64,
    ) -> Self {
        let state = Rc::new(LoadState {
            kinds,
            entries,
            stopped: Cell::new(false),
            next_number: Cell::new(0),
            counts: RefCell::new(LoadCounts::new()),
            records: RefCell::new(Vec::new()),
        });
        let interval = Duration::from_secs_f64(f64::from(workers) / per_second);
        let client = call::client();
        let workers = (0..workers)
            .map(|worker| {
                let rng = SmallRng::seed_from_u64(seed ^ (u64::from(worker) << 32));
                actix_rt::spawn(run_worker(Rc::clone(&state), client.clone(), rng, interval))
            })
            .collect();
        Self { state, workers }
    }

    /// Returns the counts since the last call, or since the start, and resets them.
    #[must_use]
    pub fn take_counts(&self) -> LoadCounts {
        self.state.counts.take()
    }

    /// Stops the load, waits for the open requests, and returns the remaining counts and all requests.
    pub async fn stop(self) -> (LoadCounts, Vec<CallRecord>) {
        self.state.stopped.set(true);
        for worker in self.workers {
            // A panic in a worker has already been printed; the requests that it did not finish are not
            // counted.
            drop(worker.await);
        }
        (self.state.counts.take(), self.state.records.take())
    }
}

/// Sends requests at a fixed interval until the load is stopped.
async fn run_worker(state: Rc<LoadState>, client: Client, mut rng: SmallRng, interval: Duration) {
    let mut due = Instant::now() + interval.mul_f64(rng.random());
    while !state.stopped.get() {
        sleep_until(due).await;
        due = (due + interval).max(Instant::now());
        let number = state.next_number.get();
        state.next_number.set(number + 1);
        let kind = pick_kind(&state.kinds, &mut rng);
        let plan = kind.draw(&mut rng, number);
        let sends = if plan.is_post { 1 + kind.repeats } else { 1 };
        for _ in 0..sends {
            send_once(&state, &client, &mut rng, &plan).await;
        }
    }
}

/// Sends a request through a random agent and records the outcome. Does nothing if there is no entry.
async fn send_once(state: &LoadState, client: &Client, rng: &mut SmallRng, plan: &CallPlan) {
    let Some(entry) = pick_entry(&state.entries, rng) else {
        return;
    };
    let start = clock::now();
    let (outcome, latency) = call::call(client, entry, plan).await;
    state.counts.borrow_mut().add(outcome, latency);
    state.records.borrow_mut().push(CallRecord {
        plan: plan.clone(),
        start,
        ended_at: clock::now(),
        outcome,
        entry,
    });
}

/// Picks a random kind by weight.
fn pick_kind<'a>(kinds: &'a [LoadKind], rng: &mut SmallRng) -> &'a LoadKind {
    let total: f64 = kinds.iter().map(|kind| kind.weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    let chosen = kinds.iter().find(|kind| {
        remaining -= kind.weight;
        remaining < 0.0
    });
    chosen.unwrap_or(&kinds[0])
}

/// Picks a random agent to send to.
fn pick_entry(entries: &EntryList, rng: &mut SmallRng) -> Option<SocketAddr> {
    let entries = entries.borrow();
    if entries.is_empty() {
        return None;
    }
    Some(entries[rng.random_range(0..entries.len())])
}
