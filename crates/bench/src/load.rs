//! A paced load of mixed requests on the agents of a fleet.

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

/// One kind of request in a mix.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// Number of different keys; none for a service not divided by key.
    pub keys: Option<u32>,
    /// Share of non-idempotent requests.
    pub register_share: f64,
    /// Weight in the mix.
    pub weight: f64,
    /// Times that a non-idempotent request is sent again, each through another agent.
    pub repeats: u32,
    /// Time that the caller gives a request, in milliseconds.
    pub timeout_ms: u64,
}

impl LoadKind {
    /// Makes a kind of idempotent requests.
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
    pub const fn with_registers(mut self, share: f64) -> Self {
        self.register_share = share;
        self
    }

    /// Sets how often non-idempotent requests are sent again.
    #[must_use]
    pub const fn with_repeats(mut self, repeats: u32) -> Self {
        self.repeats = repeats;
        self
    }

    /// Sets the time that the caller gives a request, in milliseconds.
    #[must_use]
    pub const fn with_timeout(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Draws a request. `number` makes its path unique.
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

/// One finished request.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request.
    pub plan: CallPlan,
    /// When it was sent.
    pub start: Millis,
    /// When it ended.
    pub end_at: Millis,
    /// How it ended.
    pub end: CallOutcome,
    /// Where it entered.
    pub entry: SocketAddr,
}

/// Where requests enter; changes while a load runs.
pub type EntryList = Rc<RefCell<Vec<SocketAddr>>>;

/// State shared by the workers of one load.
#[derive(Debug)]
struct LoadState {
    kinds: Vec<LoadKind>,
    entries: EntryList,
    stopped: Cell<bool>,
    next: Cell<u64>,
    tally: RefCell<LoadCounts>,
    records: RefCell<Vec<CallRecord>>,
}

/// A running load.
#[derive(Debug)]
pub struct LoadRun {
    state: Rc<LoadState>,
    workers: Vec<JoinHandle<()>>,
}

impl LoadRun {
    /// Starts `workers` workers that together send `per_second` requests a second, each with at
    /// most one open request.
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
            next: Cell::new(0),
            tally: RefCell::new(LoadCounts::new()),
            records: RefCell::new(Vec::new()),
        });
        let pause = Duration::from_secs_f64(f64::from(workers) / per_second);
        let client = call::client();
        let workers = (0..workers)
            .map(|worker| {
                let rng = SmallRng::seed_from_u64(seed ^ (u64::from(worker) << 32));
                actix_rt::spawn(work(Rc::clone(&state), client.clone(), rng, pause))
            })
            .collect();
        Self { state, workers }
    }

    /// Takes the tally so far and starts an empty one.
    #[must_use]
    pub fn take_counts(&self) -> LoadCounts {
        self.state.tally.take()
    }

    /// Stops the load once the open requests have ended, and returns the tally and all requests.
    pub async fn stop(self) -> (LoadCounts, Vec<CallRecord>) {
        self.state.stopped.set(true);
        for worker in self.workers {
            // A worker that panicked has printed why; its requests are missing from the tally.
            drop(worker.await);
        }
        (self.state.tally.take(), self.state.records.take())
    }
}

/// Sends requests until the load is stopped.
async fn work(state: Rc<LoadState>, client: Client, mut rng: SmallRng, pause: Duration) {
    let mut due = Instant::now() + pause.mul_f64(rng.random());
    while !state.stopped.get() {
        sleep_until(due).await;
        due = (due + pause).max(Instant::now());
        let number = state.next.get();
        state.next.set(number + 1);
        let kind = pick(&state.kinds, &mut rng);
        let plan = kind.draw(&mut rng, number);
        let sends = if plan.is_post { 1 + kind.repeats } else { 1 };
        for _ in 0..sends {
            send_once(&state, &client, &mut rng, &plan).await;
        }
    }
}

/// Sends a request through one agent and notes how it ended.
async fn send_once(state: &LoadState, client: &Client, rng: &mut SmallRng, plan: &CallPlan) {
    let Some(entry) = pick_entry(&state.entries, rng) else {
        return;
    };
    let start = clock::now();
    let (end, took) = call::call(client, entry, plan).await;
    state.tally.borrow_mut().add(end, took);
    state.records.borrow_mut().push(CallRecord {
        plan: plan.clone(),
        start,
        end_at: clock::now(),
        end,
        entry,
    });
}

/// Picks a kind by weight.
fn pick<'a>(kinds: &'a [LoadKind], rng: &mut SmallRng) -> &'a LoadKind {
    let total: f64 = kinds.iter().map(|kind| kind.weight).sum();
    let mut left = rng.random::<f64>() * total;
    let chosen = kinds.iter().find(|kind| {
        left -= kind.weight;
        left < 0.0
    });
    chosen.unwrap_or(&kinds[0])
}

/// Picks an agent to enter at.
fn pick_entry(entries: &EntryList, rng: &mut SmallRng) -> Option<SocketAddr> {
    let entries = entries.borrow();
    if entries.is_empty() {
        return None;
    }
    Some(entries[rng.random_range(0..entries.len())])
}
