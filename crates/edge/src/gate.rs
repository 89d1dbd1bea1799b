//! The one way to the backend server beside the agent: who may go there, when, and what came back.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jy_http::client::AnswerCheck;
use jy_http::client::ExchangeError;
use jy_http::message::HttpAnswer;
use jy_http::message::strip_connection_headers;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendTerms;
use jy_kernel::clock;
use jy_platform::headers;
use jy_platform::headers::AnswerMeaning;
use jy_platform::headers::DispatchTerms;
use jy_policy::admission::Admission;
use jy_policy::admission::WorkQueue;
use jy_policy::admission::WorkTerms;
use jy_policy::choice::GateLoad;
use jy_policy::choice::UNKNOWN_PACE;
use jy_policy::cold::ColdLimit;
use jy_policy::pace::PaceMean;
use jy_ranges::plan::bucket_of;
use jy_types::endpoint::BackendLife;
use jy_types::name::Name;
use jy_types::routing::RouteRule;
use jy_types::routing::ServiceRule;
use jy_types::time::Millis;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::backend::BackendCell;
use crate::beliefs::FleetBeliefs;
use crate::feed::BeliefCell;
use crate::forward::GateEnd;
use crate::forward::GateJob;
use crate::forward::GateReport;
use crate::forward::NotRunCause;
use crate::journal::RequestJournal;
use crate::metrics::EdgeMetrics;

/// Longest wait for a connection to the backend server beside the agent, in milliseconds.
const CONNECT_MS: u64 = 250;
/// Connections rest at most this long before an idempotent request, in milliseconds.
const REST_MS: u64 = 4_000;
/// Connections rest at most this long before any other request, in milliseconds: one that the backend
/// server closes at the same moment leaves the outcome unknown.
const SHORT_REST_MS: u64 = 200;
/// Expected work as a share of the latency objective, before any answer was seen.
const FIRST_WORK_SHARE: f64 = 0.3;
/// Offered work counts half after this time, in milliseconds: several requests' work.
const OFFERED_HALF_LIFE_MS: f64 = 1_000.0;
/// Buckets of keys whose work is counted at most before those with little are dropped.
const MOST_BUCKETS: usize = 2_048;
/// Work of a bucket that is little, in milliseconds: a fraction of one request's.
const LEAST_BUCKET_MS: f64 = 1.0;
/// Share of the time left for which a request waits for its turn at most: a caller that is refused then can
/// still come back in time.
const QUEUE_PATIENCE: f64 = 0.6;
/// A told pace of the machine counts for this long, in milliseconds; it changes many times a second.
const PACE_AGE_MS: u64 = 300;
/// When a backend server that takes no work now may take some, in milliseconds: one announcement.
const UNAVAILABLE_RETRY_MS: u64 = 300;
/// Shortest time left with which a request is still sent to the backend server, in milliseconds.
const LEAST_LEFT_MS: u64 = 5;

/// Work that was offered lately, fading with time.
#[derive(Clone, Copy, Debug, Default)]
struct FadingSum {
    sum: f64,
    at: Millis,
}

impl FadingSum {
    /// The sum as it counts now.
    fn value(&self, now: Millis) -> f64 {
        let age = now.since(self.at) as f64;
        self.sum * 0.5_f64.powf(age / OFFERED_HALF_LIFE_MS)
    }

    /// Adds to the sum.
    fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.value(now) + amount;
        self.at = now;
    }

    /// The rate that the sum stands for, in units a millisecond.
    fn rate(&self, now: Millis) -> f64 {
        self.value(now) * std::f64::consts::LN_2 / OFFERED_HALF_LIFE_MS
    }
}

/// State of the gate.
struct GateState {
    queue: WorkQueue,
    cold: ColdLimit,
    work: BTreeMap<Name, PaceMean>,
    pace: PaceMean,
    machine_pace: (Millis, u32),
    turns: BTreeMap<u64, oneshot::Sender<()>>,
    offered: FadingSum,
    buckets: BTreeMap<u16, FadingSum>,
    next_ticket: u64,
    life: Option<BackendLife>,
}

/// The gate.
pub struct OwnGate {
    zone: Name,
    address: Cell<SocketAddr>,
    backend: BackendCell,
    beliefs: Rc<BeliefCell>,
    pool: ConnectionPool,
    state: RefCell<GateState>,
    metrics: Rc<EdgeMetrics>,
    journal: RequestJournal,
}

/// Ends a request's place in the queue when its handling ends, however it does.
struct TurnGuard {
    gate: Rc<OwnGate>,
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

/// Where a request is sent.
struct DispatchTarget {
    life: BackendLife,
    address: SocketAddr,
}

impl OwnGate {
    /// Makes a gate to the backend server at `address`.
    #[must_use]
    pub fn new(
        zone: Name,
        address: SocketAddr,
        backend: BackendCell,
        beliefs: Rc<BeliefCell>,
        metrics: Rc<EdgeMetrics>,
    ) -> Self {
        let state = GateState {
            queue: WorkQueue::new(1),
            cold: ColdLimit::new(),
            work: BTreeMap::new(),
            pace: PaceMean::new(),
            machine_pace: (Millis::default(), 100),
            turns: BTreeMap::new(),
            offered: FadingSum::default(),
            buckets: BTreeMap::new(),
            next_ticket: 0,
            life: None,
        };
        Self {
            zone,
            address: Cell::new(address),
            backend,
            beliefs,
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
        if !matches!(end, GateEnd::Answered(_)) {
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
                        backend.announced.life.id,
                        backend.announced.phase,
                        backend.refuses,
                        backend.ended,
                        now.since(backend.heard),
                        backend.held_until.since(now),
                    )
                },
            )
        })
    }

    /// Serves one request.
    async fn serve_end(self: &Rc<Self>, job: GateJob) -> GateEnd {
        let refuse = |cause, retry_ms| GateEnd::NotRun { cause, retry_ms };
        if let Err(cause) = self.wait_until_able(&job).await {
            return refuse(cause, UNAVAILABLE_RETRY_MS);
        }
        let now = clock::now();
        let Some((rule, service)) = self.rules(&job) else {
            return refuse(NotRunCause::Unavailable, UNAVAILABLE_RETRY_MS);
        };
        self.follow_backend(now, &service);
        let work_ms = self.expected_work_ms(&rule);
        self.note_offered(now, &job, work_ms);
        let terms = WorkTerms {
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

    /// Waits while the backend server is about to become able to run a request, as long as its
    /// objective can still be met.
    ///
    /// # Errors
    ///
    /// Why it is not able.
    async fn wait_until_able(&self, job: &GateJob) -> Result<(), NotRunCause> {
        let mut news = self.backend.news();
        loop {
            let now = clock::now();
            let cause = match self.check(now, job) {
                Ok(()) => return Ok(()),
                Err(cause) => cause,
            };
            let is_pending = match cause {
                NotRunCause::Unavailable => self.backend.is_starting(now),
                NotRunCause::NotHolder => self.is_granted_soon(job),
                NotRunCause::Overloaded | NotRunCause::Shed => false,
            };
            let span = job.objective.since(now) as f64;
            let patience = (span * (1.0 - FIRST_WORK_SHARE)) as u64;
            if !is_pending || patience == 0 {
                return Err(cause);
            }
            let change = timeout(Duration::from_millis(patience), news.changed());
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
        let beliefs = self.beliefs.borrow();
        if beliefs.zones_out.contains(&self.zone) {
            return Err(NotRunCause::Unavailable);
        }
        let is_keyed = is_keyed(&beliefs, &job.service);
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
        let beliefs = self.beliefs.borrow();
        let range = beliefs
            .ranges
            .get(&job.service)
            .and_then(|seen| seen.table.find(key));
        range.is_some_and(|range| range.owner == owner && range.next.is_none())
    }

    /// Finds the rules for a request.
    fn rules(&self, job: &GateJob) -> Option<(RouteRule, ServiceRule)> {
        let beliefs = self.beliefs.borrow();
        let routes = beliefs.routes.as_ref()?;
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
            if state.life.as_ref() != Some(&backend.announced.life) {
                state.life = Some(backend.announced.life.clone());
                state.work.clear();
                state.pace = PaceMean::new();
                state.buckets.clear();
            }
            state.queue.set_slots(backend.announced.slots);
            state.cold.set_rate(service.cold_per_s);
            let until = backend.heard.plus(backend.announced.cold_ms);
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

    /// Counts work that was offered, whether or not it is taken.
    fn note_offered(&self, now: Millis, job: &GateJob, work_ms: f64) {
        let mut state = self.state.borrow_mut();
        state.offered.add(now, work_ms);
        if let Some(key) = job.key {
            let bucket = state.buckets.entry(bucket_of(key)).or_default();
            bucket.add(now, work_ms);
            if state.buckets.len() > MOST_BUCKETS {
                state
                    .buckets
                    .retain(|_, sum| sum.value(now) >= LEAST_BUCKET_MS);
            }
        }
    }

    /// Puts a request into the queue.
    ///
    /// # Errors
    ///
    /// When to try again, in milliseconds.
    fn enqueue(
        self: &Rc<Self>,
        now: Millis,
        terms: WorkTerms,
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

    /// Sends a request to the backend server.
    async fn dispatch(&self, job: &GateJob, rule: &RouteRule) -> GateEnd {
        let sent = clock::now();
        let Some(target) = self.target() else {
            return GateEnd::NotRun {
                cause: NotRunCause::Unavailable,
                retry_ms: UNAVAILABLE_RETRY_MS,
            };
        };
        let left_ms = job.deadline.since(sent);
        let mut request = job.request.clone();
        strip_connection_headers(&mut request.headers);
        headers::set_dispatch(
            &mut request.headers,
            DispatchTerms {
                left_ms,
                backend: &target.life.id,
                origin: &job.origin,
            },
        );
        let terms = SendTerms {
            connect_ms: CONNECT_MS.min(left_ms),
            answer_ms: left_ms,
            rest_ms: if rule.idempotent {
                REST_MS
            } else {
                SHORT_REST_MS
            },
        };
        let check = AnswerCheck {
            header: headers::REQUEST_ID,
            id: &job.id,
        };
        let result = self
            .pool
            .send(target.address, &request, Some(check), terms)
            .await;
        match result {
            Ok(answer) => self.answered(sent, rule, &target, answer),
            Err(error) => self.failed(&target, &error),
        }
    }

    /// Where requests go now.
    fn target(&self) -> Option<DispatchTarget> {
        let life = self.backend.read(|state| {
            let state = state.filter(|state| state.is_serving())?;
            Some(state.announced.life.clone())
        })?;
        let address = self.address.get();
        Some(DispatchTarget { life, address })
    }

    /// Takes in an answer.
    fn answered(
        &self,
        sent: Millis,
        rule: &RouteRule,
        target: &DispatchTarget,
        answer: HttpAnswer,
    ) -> GateEnd {
        let now = clock::now();
        if let Some(load) = headers::told_load(&answer.headers)
            && let Some(pace) = load.pace_percent
        {
            self.state.borrow_mut().machine_pace = (now, pace);
        }
        let not_run = |cause| GateEnd::NotRun {
            cause,
            retry_ms: UNAVAILABLE_RETRY_MS,
        };
        match headers::meaning(&answer) {
            AnswerMeaning::Ran => {
                self.note_work(rule, now.since(sent) as f64);
                let mut answer = answer;
                strip_connection_headers(&mut answer.headers);
                GateEnd::Answered(answer)
            }
            AnswerMeaning::NotRun => {
                self.metrics.shed.inc();
                not_run(NotRunCause::Shed)
            }
            AnswerMeaning::WrongBackend => {
                log::info!(
                    "belief backend={} rejects requests as meant for another",
                    target.life.id
                );
                not_run(NotRunCause::NotHolder)
            }
            AnswerMeaning::Foreign => GateEnd::Unknown {
                reason: "the answer is no backend server's".into(),
            },
        }
    }

    /// Takes in that no whole answer came.
    fn failed(&self, target: &DispatchTarget, error: &ExchangeError) -> GateEnd {
        if let ExchangeError::NoListener { .. } = error {
            self.backend.refused(&target.life.id);
        }
        if error.may_have_run() {
            return GateEnd::Unknown {
                reason: error.to_string().into(),
            };
        }
        GateEnd::NotRun {
            cause: NotRunCause::Unavailable,
            retry_ms: UNAVAILABLE_RETRY_MS,
        }
    }

    /// Takes note of how long a request took.
    fn note_work(&self, rule: &RouteRule, elapsed_ms: f64) {
        let mut state = self.state.borrow_mut();
        let name = Name::clone(&rule.name);
        state.work.entry(name).or_default().observe(elapsed_ms);
        let objective = (rule.objective_ms as f64).max(1.0);
        state.pace.observe(elapsed_ms / objective);
        drop(state);
        self.metrics.backend_ms.observe(elapsed_ms);
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
        let used = state.offered.rate(now) / f64::from(slots.max(1));
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
        let state = self.state.borrow();
        let share = |sum: &FadingSum| sum.rate(now) / f64::from(slots);
        let buckets = state.buckets.iter();
        (
            share(&state.offered),
            buckets.map(|(bucket, sum)| (*bucket, share(sum))).collect(),
        )
    }
}

/// Whether the backend servers of a service hold keys.
fn is_keyed(beliefs: &FleetBeliefs, service: &str) -> bool {
    let routes = beliefs.routes.as_ref();
    let rule = routes.and_then(|routes| routes.services.get(service));
    rule.is_some_and(|rule| rule.keyed)
}
