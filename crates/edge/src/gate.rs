//! Admits, queues and dispatches requests to the backend server beside the agent.
//!
//! Every request to that backend server goes through this gate.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_policy::admission::Admission;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WorkQueue;
use jy_policy::cold::ColdStartLimiter;
use jy_policy::cold_check::ColdCheckSchedule;
use jy_policy::held_bytes::HeldBytes;
use jy_policy::key_check::may_dispatch;
use jy_policy::moving::TYPICAL_MOVE_GAP_MS;
use jy_policy::moving::max_wait_ms;
use jy_policy::offered::OfferedWork;
use jy_policy::service_time::ServiceTimeMean;
use jy_policy::transfer::TransferQueue;
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
use crate::dispatch::log_bound;
use crate::feed::SnapshotSender;
use crate::forward::GateJob;
use crate::forward::GateOutcome;
use crate::forward::GateReport;
use crate::forward::NotRunCause;
use crate::metrics::EdgeMetrics;
use crate::queue_wait::QueueRefusal;
use crate::request_log::RequestLog;
use crate::snapshot::FleetSnapshot;

mod load;

/// Expected service time as a share of the latency objective, used before the first answer.
const INITIAL_SERVICE_TIME_SHARE: f64 = 0.3;
/// Longest wait in the queue, as a share of the time left. A caller that is refused then still has time to
/// retry.
const MAX_QUEUE_WAIT_SHARE: f64 = 0.6;
/// Latest start of the transfer of a large body that will be late, as a share of the time left. In an overload,
/// a longer wait would make all bodies late.
const MAX_LATE_TRANSFER_SHARE: f64 = 0.1;
/// Retry delay for a backend server that takes no work at present, in milliseconds: one announcement period.
pub(crate) const UNAVAILABLE_RETRY_MS: u64 = 300;
/// Requests with less time left than this are not sent to the backend server, in milliseconds.
const MIN_TIME_LEFT_MS: u64 = 5;

/// Mutable state of a [`LocalGate`].
pub(crate) struct GateState {
    pub(crate) queue: WorkQueue,
    /// Limits the rate of starts while the backend server is cold.
    pub(crate) cold_start_limiter: ColdStartLimiter,
    /// When the backend server is asked whether it has turned cold.
    pub(crate) cold_checks: ColdCheckSchedule,
    /// Until when it stays cold according to its last response to a status check.
    pub(crate) cold_until: Millis,
    /// Mean service time of each route.
    pub(crate) service_times: BTreeMap<Name, ServiceTimeMean>,
    /// Mean service time as a share of the latency objective.
    pub(crate) relative_service_time: ServiceTimeMean,
    /// When the backend server last reported its service time, and the value in percent of the usual one.
    pub(crate) reported_service_time: (Millis, u32),
    /// Whether a timer will start queued requests.
    pub(crate) has_start_timer: bool,
    /// Signals a queued request, by its ticket, that it may start.
    pub(crate) start_senders: BTreeMap<u64, oneshot::Sender<()>>,
    pub(crate) offered_work: OfferedWork,
    /// Large bodies that are received or wait for the link.
    pub(crate) transfers: TransferQueue,
    /// Signals a waiting large body, by its ticket, that it may be sent.
    pub(crate) transfer_senders: BTreeMap<u64, oneshot::Sender<()>>,
    pub(crate) next_ticket: u64,
    /// Bytes of the requests that the backend server holds.
    pub(crate) held_bytes: HeldBytes,
    pub(crate) incarnation: Option<BackendIncarnation>,
}

/// Controls access to the backend server beside the agent.
pub struct LocalGate {
    pub(crate) zone: Name,
    pub(crate) address: Cell<SocketAddr>,
    pub(crate) backend: SharedBackend,
    pub(crate) snapshot: Rc<SnapshotSender>,
    pub(crate) pool: ConnectionPool,
    pub(crate) state: RefCell<GateState>,
    pub(crate) metrics: Rc<EdgeMetrics>,
    pub(crate) request_log: RequestLog,
    /// When the agent ends its unfinished requests, once it accepts no more connections.
    ends_at: Cell<Millis>,
}

/// Removes a request from the queue on drop, so that its slot is freed also if its handling is cancelled.
struct QueueGuard {
    gate: Rc<LocalGate>,
    ticket: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        {
            let mut state = self.gate.state.borrow_mut();
            state.queue.remove(self.ticket);
            state.start_senders.remove(&self.ticket);
        }
        self.gate.start_queued();
    }
}

impl LocalGate {
    /// Creates a gate to the backend server at `address`, on an instance whose link carries
    /// `link_bytes_per_ms` bytes per millisecond.
    #[must_use]
    pub fn new(
        zone: Name,
        address: SocketAddr,
        backend: SharedBackend,
        snapshot: Rc<SnapshotSender>,
        metrics: Rc<EdgeMetrics>,
        link_bytes_per_ms: f64,
    ) -> Self {
        let state = GateState {
            queue: WorkQueue::new(1),
            cold_start_limiter: ColdStartLimiter::new(),
            cold_checks: ColdCheckSchedule::new(),
            cold_until: Millis::default(),
            service_times: BTreeMap::new(),
            relative_service_time: ServiceTimeMean::new(),
            reported_service_time: (Millis::default(), 100),
            has_start_timer: false,
            start_senders: BTreeMap::new(),
            offered_work: OfferedWork::new(),
            transfers: TransferQueue::new(link_bytes_per_ms),
            transfer_senders: BTreeMap::new(),
            next_ticket: 0,
            held_bytes: HeldBytes::new(),
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
            request_log: RequestLog::new(),
            ends_at: Cell::new(Millis::MAX),
        }
    }

    /// Sets when the agent ends its unfinished requests.
    pub fn set_end(&self, ends_at: Millis) {
        self.ends_at.set(ends_at);
    }

    /// Whether the agent may end before a request with this deadline is answered. It must then not be passed on.
    #[must_use]
    pub fn may_end_before(&self, deadline: Millis) -> bool {
        self.ends_at.get() < deadline
    }

    /// Sets the budget from which responses take memory, also those that a gateway with this gate reads from other
    /// agents.
    #[must_use]
    pub fn with_memory(mut self, memory: Rc<MemoryBudget>) -> Self {
        let pool = ConnectionPool::new().with_memory(memory);
        self.pool = pool.with_response_kind(MemoryKind::BackendResponse);
        self
    }

    /// Refuses all requests and bodies that wait for their turn.
    pub fn refuse_waiting(&self) {
        let mut state = self.state.borrow_mut();
        state.start_senders.clear();
        state.transfer_senders.clear();
    }

    /// Changes the address of the backend server.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Serves one request, and logs it unless the backend server answered.
    pub async fn serve(self: &Rc<Self>, job: GateJob) -> GateReport {
        let started_at = clock::now();
        let id = Name::clone(&job.id);
        let (key, deadline) = (job.key, job.deadline);
        let tenant = job.tenant.clone();
        let mut refusal = None;
        let outcome = self.serve_job(job, &mut refusal).await;
        let now = clock::now();
        let load = self.load(now);
        if !matches!(outcome, GateOutcome::Answered(_)) {
            self.request_log.write(now, false, || {
                format!(
                    "id={id} at=gate end={} key={key:?} waited_ms={} left_ms={} busy={} slots={} \
                     used_percent={} {}{}",
                    outcome.log_text(),
                    now.since(started_at),
                    deadline.since(now),
                    load.busy,
                    load.slots,
                    load.used_percent,
                    refusal.map_or_else(String::new, |refusal| refusal.log_text(tenant.as_deref())),
                    self.describe_backend(now),
                )
            });
        }
        GateReport {
            outcome,
            load: Some(load),
        }
    }

    /// Formats the state of the backend server for the log.
    fn describe_backend(&self, now: Millis) -> String {
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

    /// Admits, queues and dispatches one request. Sets `refusal` if the queue refuses it.
    async fn serve_job(
        self: &Rc<Self>,
        job: GateJob,
        refusal: &mut Option<QueueRefusal>,
    ) -> GateOutcome {
        let not_run = |cause, retry_ms| GateOutcome::NotRun { cause, retry_ms };
        if let Err(cause) = self.wait_until_dispatchable(&job).await {
            let retry_ms = if cause == NotRunCause::NotHolder {
                TYPICAL_MOVE_GAP_MS
            } else {
                UNAVAILABLE_RETRY_MS
            };
            return not_run(cause, retry_ms);
        }
        let now = clock::now();
        let Some((rule, service)) = self.rules(&job) else {
            return not_run(NotRunCause::Unavailable, UNAVAILABLE_RETRY_MS);
        };
        self.sync_with_backend(now, &service);
        let work_ms = self.expected_service_time_ms(&rule);
        {
            let mut state = self.state.borrow_mut();
            state.offered_work.add(now, job.key.map(bucket_of), work_ms);
        }
        let admission_request = AdmissionRequest {
            tenant: job.tenant.clone(),
            is_call: job.is_call,
            priority: rule.priority,
            first_sent: job.deadline.minus(rule.timeout_ms),
            objective: job.objective,
            deadline: job.deadline,
            work_ms,
        };
        let (guard, start_signal) = match self.enqueue(now, admission_request.clone()) {
            Ok(queued) => queued,
            Err(retry_ms) => {
                *refusal = Some(self.count_refusal(now, "at-once", &admission_request));
                return not_run(NotRunCause::Overloaded, retry_ms);
            }
        };
        self.start_queued();
        let left_ms = job.deadline.since(now);
        let share_ms = (left_ms as f64 * MAX_QUEUE_WAIT_SHARE) as u64;
        let max_wait_ms = left_ms.saturating_sub(work_ms as u64).min(share_ms);
        let latest = job.key_valid_until;
        let wait_until = now.plus(max_wait_ms).min(latest);
        let started = self
            .wait_for_start(guard.ticket, wait_until, latest, start_signal)
            .await;
        if let Err(point) = started {
            if !may_dispatch(clock::now(), job.key_valid_until) {
                return not_run(NotRunCause::KeyExpired, UNAVAILABLE_RETRY_MS);
            }
            *refusal = Some(self.count_refusal(clock::now(), point, &admission_request));
            let retry_ms = self.retry_ms_after_wait(now, &admission_request);
            return not_run(NotRunCause::Overloaded, retry_ms);
        }
        if let Err(cause) = self.check_dispatchable(clock::now(), &job) {
            return not_run(cause, UNAVAILABLE_RETRY_MS);
        }
        self.start_cold_check(&service);
        let outcome = self.dispatch(&job, &rule).await;
        drop(guard);
        outcome
    }

    /// Waits until the request may be dispatched, if the agent has just started and had no announcement yet, or
    /// if the backend server is about to be granted the key. Gives up if the state of the backend server does
    /// not change within [`max_wait_ms`].
    ///
    /// # Errors
    ///
    /// Returns why the request may not be dispatched.
    async fn wait_until_dispatchable(&self, job: &GateJob) -> Result<(), NotRunCause> {
        let mut updates = self.backend.subscribe();
        loop {
            let now = clock::now();
            let cause = match self.check_dispatchable(now, job) {
                Ok(()) => return Ok(()),
                Err(cause) => cause,
            };
            let is_pending = match cause {
                NotRunCause::Unavailable => self.backend.is_starting(now),
                NotRunCause::NotHolder => self.is_grant_pending(job),
                NotRunCause::Disowned
                | NotRunCause::Overloaded
                | NotRunCause::Shed
                | NotRunCause::KeyExpired => false,
            };
            let max_wait_ms = max_wait_ms(now, job.objective, job.deadline);
            if !is_pending || max_wait_ms == 0 {
                return Err(cause);
            }
            let changed = timeout(Duration::from_millis(max_wait_ms), updates.changed());
            if changed.await.is_err() {
                return Err(cause);
            }
        }
    }

    /// Checks whether a request may be dispatched to the backend server now.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub(crate) fn check_dispatchable(&self, now: Millis, job: &GateJob) -> Result<(), NotRunCause> {
        if self.backend.is_closed() || now.plus(MIN_TIME_LEFT_MS) > job.deadline {
            return Err(NotRunCause::Unavailable);
        }
        if !may_dispatch(now, job.key_valid_until) {
            return Err(NotRunCause::KeyExpired);
        }
        let snapshot = self.snapshot.borrow();
        if snapshot.zones_out.contains(&self.zone) {
            return Err(NotRunCause::Unavailable);
        }
        let is_keyed = is_keyed(&snapshot, &job.service);
        self.backend.read(|state| {
            let state = state
                .filter(|state| self.backend.accepts(now, state, is_keyed))
                .filter(|state| state.announced.service == job.service)
                .ok_or(NotRunCause::Unavailable)?;
            match job.key.filter(|_| is_keyed) {
                Some(key) if !state.holds(now, key) => Err(NotRunCause::NotHolder),
                None if is_keyed => Err(NotRunCause::NotHolder),
                _ => Ok(()),
            }
        })
    }

    /// Whether the range table in the store names the backend server as owner of the request's key and no
    /// move of the key is under way. The backend server may not have received the grant yet.
    fn is_grant_pending(&self, job: &GateJob) -> bool {
        let (Some(owner), Some(key)) = (self.backend.owner(), job.key) else {
            return false;
        };
        let snapshot = self.snapshot.borrow();
        let range = snapshot
            .ranges
            .get(&job.service)
            .and_then(|ranges| ranges.table.find(key));
        range.is_some_and(|range| range.owner == owner && range.next_owner.is_none())
    }

    /// Returns the route rule, with the priority of the request's tenant if that has one, and the service rule of a
    /// request, if the configuration has both.
    fn rules(&self, job: &GateJob) -> Option<(RouteRule, ServiceRule)> {
        let snapshot = self.snapshot.borrow();
        let routes = snapshot.routes.as_ref()?;
        let mut rule = routes.by_name(&job.route)?.clone();
        let tenant = routes.tenants.as_ref().zip(job.tenant.as_deref());
        let tenant = tenant.and_then(|(tenants, name)| tenants.find(name));
        rule.priority = tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(rule.priority);
        let service = routes.services.get(&job.service)?.clone();
        Some((rule, service))
    }

    /// Applies the slots and the cold start that the backend server announced. Discards all measurements if it
    /// has restarted.
    fn sync_with_backend(&self, now: Millis, service: &ServiceRule) {
        let has_tenants = {
            let snapshot = self.snapshot.borrow();
            let routes = snapshot.routes.as_ref();
            routes.is_some_and(|routes| routes.tenants.is_some())
        };
        self.backend.read(|backend| {
            let Some(backend) = backend else {
                return;
            };
            let mut state = self.state.borrow_mut();
            if state.incarnation.as_ref() != Some(&backend.announced.incarnation) {
                log_bound(state.held_bytes.record_restart(now));
                state.incarnation = Some(backend.announced.incarnation.clone());
                state.service_times.clear();
                state.relative_service_time = ServiceTimeMean::new();
                state.offered_work = OfferedWork::new();
                state.cold_until = Millis::default();
            }
            state.queue.set_slots(backend.announced.slots);
            state.queue.set_forecasting(has_tenants);
            state.cold_start_limiter.set_rate(service.cold_per_s);
            let announced_until = backend.last_heard.plus(backend.announced.cold_ms);
            let until = announced_until.max(state.cold_until);
            state.cold_start_limiter.set_cold_until(now, until);
        });
    }

    /// Returns the latest time at which a job may start to be answered within its latency objective, or within a
    /// part of the time until its deadline if that is later.
    pub(crate) fn latest_start(&self, now: Millis, job: &GateJob) -> Millis {
        let work_ms = self
            .rules(job)
            .map_or(0.0, |(rule, _)| self.expected_service_time_ms(&rule));
        let late_share = job.deadline.since(now) as f64 * MAX_LATE_TRANSFER_SHARE;
        let on_time = job.objective.minus(work_ms as u64);
        on_time.max(now.plus((late_share - work_ms).max(0.0) as u64))
    }

    /// Returns the expected service time of a request on a route, in milliseconds.
    fn expected_service_time_ms(&self, rule: &RouteRule) -> f64 {
        let initial_ms = rule.objective_ms as f64 * INITIAL_SERVICE_TIME_SHARE;
        let state = self.state.borrow();
        let mean = state.service_times.get(&rule.name);
        mean.map_or(initial_ms, |mean| mean.mean_ms(initial_ms))
    }

    /// Puts a request into the queue.
    ///
    /// # Errors
    ///
    /// Returns the retry delay, in milliseconds, if the queue refuses the request.
    fn enqueue(
        self: &Rc<Self>,
        now: Millis,
        admission_request: AdmissionRequest,
    ) -> Result<(QueueGuard, oneshot::Receiver<()>), u64> {
        let mut state = self.state.borrow_mut();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        match state.queue.offer(now, ticket, admission_request) {
            Admission::Refused { retry_ms } => Err(retry_ms),
            Admission::Queued => {
                let (sender, start_signal) = oneshot::channel();
                state.start_senders.insert(ticket, sender);
                // A request whose sender is dropped is refused by the task that waits for its turn.
                for refused in state.queue.refuse_late(now) {
                    state.start_senders.remove(&refused);
                }
                let gate = Rc::clone(self);
                Ok((QueueGuard { gate, ticket }, start_signal))
            }
        }
    }

    /// Starts as many queued requests as the slots and the cold start limit allow.
    fn start_queued(self: &Rc<Self>) {
        let now = clock::now();
        loop {
            let mut state = self.state.borrow_mut();
            if state.queue.waiting() == 0 {
                return;
            }
            if !state.cold_start_limiter.try_acquire(now) {
                let delay_ms = state
                    .cold_start_limiter
                    .next_available_at(now)
                    .since(now)
                    .max(1);
                drop(state);
                self.start_queued_after(delay_ms);
                return;
            }
            let Some(ticket) = state.queue.start(now) else {
                if state.cold_start_limiter.is_cold(now) {
                    state.cold_start_limiter.release();
                }
                return;
            };
            let sender = state.start_senders.remove(&ticket);
            drop(state);
            let is_started = sender.is_some_and(|sender| sender.send(()).is_ok());
            if !is_started {
                self.state.borrow_mut().queue.remove(ticket);
            }
        }
    }

    /// Calls [`Self::start_queued`] after a delay, unless an earlier call is still to do so. The limit on cold starts
    /// permits the next start at one point in time, whoever asks.
    fn start_queued_after(self: &Rc<Self>, delay_ms: u64) {
        if std::mem::replace(&mut self.state.borrow_mut().has_start_timer, true) {
            return;
        }
        let gate = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            gate.state.borrow_mut().has_start_timer = false;
            gate.start_queued();
        });
    }
}

/// Whether a service is divided by key.
fn is_keyed(snapshot: &FleetSnapshot, service: &str) -> bool {
    let routes = snapshot.routes.as_ref();
    let rule = routes.and_then(|routes| routes.services.get(service));
    rule.is_some_and(|rule| rule.keyed)
}
