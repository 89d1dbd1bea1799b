//! The one way to the backend server beside the agent: who may go there, when, and what came back.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_policy::admission::Admission;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WorkQueue;
use jy_policy::choice::GateLoad;
use jy_policy::choice::UNKNOWN_PACE;
use jy_policy::cold::ColdLimit;
use jy_policy::moving::USUAL_GAP_MS;
use jy_policy::moving::longest_wait_ms;
use jy_policy::offered::OfferedWork;
use jy_policy::service_time::ServiceTimeMean;
use jy_ranges::plan::bucket_of;
use jy_types::endpoint::BackendIncarnation;
use jy_types::name::Name;
use jy_types::routing::RouteRule;
use jy_types::routing::ServiceRule;
use jy_types::time::Millis;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::backend::SharedBackend;
use crate::feed::SnapshotSender;
use crate::forward::GateJob;
use crate::forward::GateOutcome;
use crate::forward::GateReport;
use crate::forward::NotRunCause;
use crate::journal::RequestJournal;
use crate::metrics::EdgeMetrics;
use crate::snapshot::FleetSnapshot;

/// Expected work as a share of the latency objective, before any answer was seen.
const FIRST_WORK_SHARE: f64 = 0.3;
/// Share of the time left for which a request waits for its turn at most: a caller that is refused then can
/// still come back in time.
const QUEUE_PATIENCE: f64 = 0.6;
/// A told pace of the machine counts for this long, in milliseconds; it changes many times a second.
const PACE_AGE_MS: u64 = 300;
/// When a backend server that takes no work now may take some, in milliseconds: one announcement.
pub(crate) const UNAVAILABLE_RETRY_MS: u64 = 300;
/// Shortest time left with which a request is still sent to the backend server, in milliseconds.
const LEAST_LEFT_MS: u64 = 5;

/// State of the gate.
pub(crate) struct GateState {
    pub(crate) queue: WorkQueue,
    pub(crate) cold: ColdLimit,
    pub(crate) work: BTreeMap<Name, ServiceTimeMean>,
    pub(crate) pace: ServiceTimeMean,
    pub(crate) machine_pace: (Millis, u32),
    pub(crate) turns: BTreeMap<u64, oneshot::Sender<()>>,
    pub(crate) offered: OfferedWork,
    pub(crate) next_ticket: u64,
    pub(crate) incarnation: Option<BackendIncarnation>,
}

/// The gate.
pub struct LocalGate {
    pub(crate) zone: Name,
    pub(crate) address: Cell<SocketAddr>,
    pub(crate) backend: SharedBackend,
    pub(crate) snapshot: Rc<SnapshotSender>,
    pub(crate) pool: ConnectionPool,
    pub(crate) state: RefCell<GateState>,
    pub(crate) metrics: Rc<EdgeMetrics>,
    pub(crate) journal: RequestJournal,
}

/// Ends a request's place in the queue when its handling ends, however it does.
struct TurnGuard {
    gate: Rc<LocalGate>,
    ticket: u64,
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        {
            let mut state = self.gate.state.borrow_mut();
            state.queue.remove(self.ticket);
            state.turns.remove(&self.ticket);
        }
        self.gate.pump();
    }
}

impl LocalGate {
    /// Makes a gate to the backend server at `address`.
    #[must_use]
    pub fn new(
        zone: Name,
        address: SocketAddr,
        backend: SharedBackend,
        snapshot: Rc<SnapshotSender>,
        metrics: Rc<EdgeMetrics>,
    ) -> Self {
        let state = GateState {
            queue: WorkQueue::new(1),
            cold: ColdLimit::new(),
            work: BTreeMap::new(),
            pace: ServiceTimeMean::new(),
            machine_pace: (Millis::default(), 100),
            turns: BTreeMap::new(),
            offered: OfferedWork::new(),
            next_ticket: 0,
            incarnation: None,
        };
        Self {
            zone,
            address: Cell::new(address),
            backend,
            snapshot,
            pool: ConnectionPool::new(),
            state: RefCell::new(state),
            metrics,
            journal: RequestJournal::new(),
        }
    }

    /// Takes up another address of the backend server.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Serves one request, or says why not.
    pub async fn serve(self: &Rc<Self>, job: GateJob) -> GateReport {
        let began = clock::now();
        let id = Name::clone(&job.id);
        let (key, deadline) = (job.key, job.deadline);
        let end = self.serve_end(job).await;
        let now = clock::now();
        let load = self.load(now);
        if !matches!(end, GateOutcome::Answered(_)) {
            self.journal.line(now, false, || {
                format!(
                    "id={id} at=gate end={} key={key:?} waited_ms={} left_ms={} busy={} slots={} \
                     used_percent={} {}",
                    end.text(),
                    now.since(began),
                    deadline.since(now),
                    load.busy,
                    load.slots,
                    load.used_percent,
                    self.backend_text(now),
                )
            });
        }
        GateReport {
            end,
            load: Some(load),
        }
    }

    /// What is known of the backend server, for the log.
    fn backend_text(&self, now: Millis) -> String {
        self.backend.read(|backend| {
            backend.map_or_else(
                || "backend=unheard".into(),
                |backend| {
                    format!(
                        "backend={} state={:?} refuses={} ended={} heard_ms_ago={} hold_left_ms={}",
                        backend.announced.incarnation.id,
                        backend.announced.phase,
                        backend.refuses,
                        backend.ended,
                        now.since(backend.last_heard),
                        backend.held_until.since(now),
                    )
                },
            )
        })
    }

    /// Serves one request.
    async fn serve_end(self: &Rc<Self>, job: GateJob) -> GateOutcome {
        let refuse = |cause, retry_ms| GateOutcome::NotRun { cause, retry_ms };
        if let Err(cause) = self.wait_until_able(&job).await {
            let retry_ms = if cause == NotRunCause::NotHolder {
                USUAL_GAP_MS
            } else {
                UNAVAILABLE_RETRY_MS
            };
            return refuse(cause, retry_ms);
        }
        let now = clock::now();
        let Some((rule, service)) = self.rules(&job) else {
            return refuse(NotRunCause::Unavailable, UNAVAILABLE_RETRY_MS);
        };
        self.follow_backend(now, &service);
        let work_ms = self.expected_work_ms(&rule);
        {
            let mut state = self.state.borrow_mut();
            state.offered.add(now, job.key.map(bucket_of), work_ms);
        }
        let terms = AdmissionRequest {
            priority: rule.priority,
            objective: job.objective,
            deadline: job.deadline,
            work_ms,
        };
        let (guard, turn) = match self.enqueue(now, terms) {
            Ok(place) => place,
            Err(retry_ms) => return refuse(NotRunCause::Overloaded, retry_ms),
        };
        self.pump();
        let left_ms = job.deadline.since(now);
        let longest = (left_ms as f64 * QUEUE_PATIENCE) as u64;
        let patience = left_ms.saturating_sub(work_ms as u64).min(longest);
        let waited = timeout(Duration::from_millis(patience.max(1)), turn).await;
        if !matches!(waited, Ok(Ok(()))) {
            return refuse(NotRunCause::Overloaded, work_ms as u64);
        }
        if let Err(cause) = self.check(clock::now(), &job) {
            return refuse(cause, UNAVAILABLE_RETRY_MS);
        }
        let end = self.dispatch(&job, &rule).await;
        drop(guard);
        end
    }

    /// Waits while the backend server is about to become able to run a request, as long as that is worth
    /// it.
    ///
    /// # Errors
    ///
    /// Why it is not able.
    async fn wait_until_able(&self, job: &GateJob) -> Result<(), NotRunCause> {
        let mut updates = self.backend.subscribe();
        loop {
            let now = clock::now();
            let cause = match self.check(now, job) {
                Ok(()) => return Ok(()),
                Err(cause) => cause,
            };
            let is_pending = match cause {
                NotRunCause::Unavailable => self.backend.is_starting(now),
                NotRunCause::NotHolder => self.is_granted_soon(job),
                NotRunCause::Disowned | NotRunCause::Overloaded | NotRunCause::Shed => false,
            };
            let patience = longest_wait_ms(now, job.objective, job.deadline);
            if !is_pending || patience == 0 {
                return Err(cause);
            }
            let change = timeout(Duration::from_millis(patience), updates.changed());
            if change.await.is_err() {
                return Err(cause);
            }
        }
    }

    /// Says why a request must not go to the backend server now.
    ///
    /// # Errors
    ///
    /// The cause.
    fn check(&self, now: Millis, job: &GateJob) -> Result<(), NotRunCause> {
        if self.backend.is_closed() || now.plus(LEAST_LEFT_MS) > job.deadline {
            return Err(NotRunCause::Unavailable);
        }
        let snapshot = self.snapshot.borrow();
        if snapshot.zones_out.contains(&self.zone) {
            return Err(NotRunCause::Unavailable);
        }
        let is_keyed = is_keyed(&snapshot, &job.service);
        self.backend.read(|state| {
            let state = state
                .filter(|state| state.is_serving())
                .filter(|state| state.announced.service == job.service)
                .ok_or(NotRunCause::Unavailable)?;
            match job.key.filter(|_| is_keyed) {
                Some(key) if !state.holds(now, key) => Err(NotRunCause::NotHolder),
                None if is_keyed => Err(NotRunCause::NotHolder),
                _ => Ok(()),
            }
        })
    }

    /// Whether the store's table gives the request's key to the backend server, which has yet to hear
    /// of it.
    fn is_granted_soon(&self, job: &GateJob) -> bool {
        let (Some(owner), Some(key)) = (self.backend.owner(), job.key) else {
            return false;
        };
        let snapshot = self.snapshot.borrow();
        let range = snapshot
            .ranges
            .get(&job.service)
            .and_then(|seen| seen.table.find(key));
        range.is_some_and(|range| range.owner == owner && range.next.is_none())
    }

    /// Finds the rules for a request.
    fn rules(&self, job: &GateJob) -> Option<(RouteRule, ServiceRule)> {
        let snapshot = self.snapshot.borrow();
        let routes = snapshot.routes.as_ref()?;
        let rule = routes.by_name(&job.route)?.clone();
        let service = routes.services.get(&job.service)?.clone();
        Some((rule, service))
    }

    /// Takes up the slots and the cold start that the backend server announced.
    fn follow_backend(&self, now: Millis, service: &ServiceRule) {
        self.backend.read(|backend| {
            let Some(backend) = backend else {
                return;
            };
            let mut state = self.state.borrow_mut();
            if state.incarnation.as_ref() != Some(&backend.announced.incarnation) {
                state.incarnation = Some(backend.announced.incarnation.clone());
                state.work.clear();
                state.pace = ServiceTimeMean::new();
                state.offered = OfferedWork::new();
            }
            state.queue.set_slots(backend.announced.slots);
            state.cold.set_rate(service.cold_per_s);
            let until = backend.last_heard.plus(backend.announced.cold_ms);
            state.cold.set_cold_until(now, until);
        });
    }

    /// Expected work of a route's request, in milliseconds.
    fn expected_work_ms(&self, rule: &RouteRule) -> f64 {
        let first = rule.objective_ms as f64 * FIRST_WORK_SHARE;
        let state = self.state.borrow();
        let mean = state.work.get(&rule.name);
        mean.map_or(first, |mean| mean.mean_ms(first))
    }

    /// Puts a request into the queue.
    ///
    /// # Errors
    ///
    /// When to try again, in milliseconds.
    fn enqueue(
        self: &Rc<Self>,
        now: Millis,
        terms: AdmissionRequest,
    ) -> Result<(TurnGuard, oneshot::Receiver<()>), u64> {
        let mut state = self.state.borrow_mut();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        match state.queue.offer(now, ticket, terms) {
            Admission::Refused { retry_ms } => Err(retry_ms),
            Admission::Queued => {
                let (sender, turn) = oneshot::channel();
                state.turns.insert(ticket, sender);
                let gate = Rc::clone(self);
                Ok((TurnGuard { gate, ticket }, turn))
            }
        }
    }

    /// Starts as many waiting requests as slots and cold start allow.
    fn pump(self: &Rc<Self>) {
        let now = clock::now();
        loop {
            let mut state = self.state.borrow_mut();
            if state.queue.waiting() == 0 {
                return;
            }
            if !state.cold.take(now) {
                let wait_ms = state.cold.next_leave(now).since(now).max(1);
                drop(state);
                self.pump_later(wait_ms);
                return;
            }
            let Some(ticket) = state.queue.start(now) else {
                if state.cold.is_cold(now) {
                    state.cold.give_back();
                }
                return;
            };
            let turn = state.turns.remove(&ticket);
            drop(state);
            let is_taken = turn.is_some_and(|turn| turn.send(()).is_ok());
            if !is_taken {
                self.state.borrow_mut().queue.remove(ticket);
            }
        }
    }

    /// Starts waiting requests after a while.
    fn pump_later(self: &Rc<Self>, wait_ms: u64) {
        let gate = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(wait_ms)).await;
            gate.pump();
        });
    }

    /// Load as it is told to gateways.
    #[must_use]
    pub fn load(&self, now: Millis) -> GateLoad {
        let state = self.state.borrow();
        let slots = self
            .backend
            .read(|backend| backend.map_or(0, |backend| backend.announced.slots));
        let (told, percent) = state.machine_pace;
        let machine = if now.since(told) <= PACE_AGE_MS {
            f64::from(percent) / 100.0
        } else {
            1.0
        };
        let pace = state.pace.mean_ms(UNKNOWN_PACE) * machine.max(1.0);
        let used = state.offered.share(now, slots);
        GateLoad {
            busy: state.queue.running() + state.queue.waiting(),
            slots,
            pace_percent: ((pace * 100.0) as u32).max(1),
            used_percent: (used * 100.0) as u32,
        }
    }

    /// Share of the capacity in use, and what each bucket of keys uses of it.
    #[must_use]
    pub fn usage(&self, now: Millis) -> (f64, BTreeMap<u16, f64>) {
        let slots = self
            .backend
            .read(|backend| backend.map_or(1, |backend| backend.announced.slots.max(1)));
        let offered = &self.state.borrow().offered;
        (offered.share(now, slots), offered.by_bucket(now, slots))
    }
}

/// Whether the backend servers of a service hold keys.
fn is_keyed(snapshot: &FleetSnapshot, service: &str) -> bool {
    let routes = snapshot.routes.as_ref();
    let rule = routes.and_then(|routes| routes.services.get(service));
    rule.is_some_and(|rule| rule.keyed)
}
