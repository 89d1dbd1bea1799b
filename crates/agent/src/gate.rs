//! Shell of the gate: takes requests, dispatches them to the backend server, hands units over.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use awc::Client;
use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_gate::api::Arrival;
use jy_gate::api::BackendEvent;
use jy_gate::api::DispatchOutcome;
use jy_gate::api::GateAction;
use jy_gate::api::GateEvent;
use jy_gate::api::GateSettings;
use jy_gate::core::GateState;
use jy_kernel::clock;
use jy_kernel::state::StateCell;
use jy_types::assign::Fence;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::peer::KeyLoad;
use jy_types::peer::SliceLoad;
use jy_types::peer::WindowEntry;
use jy_types::peer::WindowHandover;
use jy_types::request::DEADLINE_HEADER;
use jy_types::request::FENCE_HEADER;
use jy_types::request::KEY_HEADER;
use jy_types::request::RAN_HEADER;
use jy_types::request::REQUEST_ID_HEADER;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::TIMEOUT_HEADER;
use jy_types::request::UNIT_HEADER;
use jy_types::time::Millis;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::exchange::CompleteAnswer;
use crate::exchange::ExchangeReply;
use crate::exchange::RequestExchange;
use crate::grants::GrantCache;
use crate::guard::CallerGuard;
use crate::http::header;
use crate::load::LoadMeter;
use crate::lookup::find_service;
use crate::lookup::read_traits;
use crate::send;
use crate::send::SendOutcome;
use crate::timer::TickerWake;
use crate::tracing::TraceWriters;

/// Name of this service.
pub const SERVICE: &str = "gate";

/// Largest answer kept for repeats, in bytes.
const STORED_ANSWER_LIMIT: usize = 64 * 1024;

/// Time between two looks at the wall clock, in milliseconds.
const CLOCK_EVERY_MS: u64 = 5_000;

/// Called with units that are idle and what is remembered of them.
pub type ReleaseFn = Rc<dyn Fn(Vec<Unit>, Vec<WindowEntry>)>;

/// A request at the gate.
struct GateJob {
    exchange: Rc<RequestExchange>,
    unit: Option<Unit>,
    reply: Option<oneshot::Sender<ExchangeReply>>,
    task: Option<JoinHandle<()>>,
}

/// The gate with its open requests.
pub struct GateService {
    id: AgentId,
    state: StateCell<GateState>,
    jobs: RefCell<BTreeMap<u64, GateJob>>,
    grants: GrantCache,
    backend: Cell<Option<SocketAddr>>,
    service: RefCell<Option<ServiceKey>>,
    view: RefCell<Arc<FleetView>>,
    client: Client,
    next_ticket: Cell<u64>,
    lease_until: Cell<Millis>,
    loads: LoadMeter,
    release: RefCell<Option<ReleaseFn>>,
    wake: TickerWake,
    tap: Rc<TraceWriters>,
}

impl GateService {
    /// Makes a gate without a backend server.
    #[must_use]
    pub fn new(id: AgentId, connections: usize, tap: Rc<TraceWriters>) -> Self {
        let settings = GateSettings::default();
        tap.start(SERVICE, 0, &settings);
        Self {
            id,
            state: StateCell::new(GateState::new(settings)),
            jobs: RefCell::default(),
            grants: GrantCache::new(),
            backend: Cell::new(None),
            service: RefCell::default(),
            view: RefCell::new(Arc::new(FleetView::new())),
            client: send::client(connections),
            next_ticket: Cell::new(1),
            lease_until: Cell::new(Millis(0)),
            loads: LoadMeter::new(),
            release: RefCell::default(),
            wake: TickerWake::default(),
            tap,
        }
    }

    /// Sets what is done with released units.
    pub fn on_release(&self, release: ReleaseFn) {
        *self.release.borrow_mut() = Some(release);
    }

    /// Wakes the ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// When the gate wants its next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(GateState::next_tick)
    }

    /// Requests in flight and waiting.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.state.read(|state| state.in_flight() + state.queued())
    }

    /// Requests in flight at the backend server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.state.read(GateState::in_flight)
    }

    /// Whether nothing is in flight and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.jobs.borrow().is_empty()
    }

    /// Units that the agent owns.
    #[must_use]
    pub fn units(&self) -> usize {
        self.grants.len()
    }

    /// Serves a request until its answer, its refusal or the deadline.
    pub async fn handle(
        self: &Rc<Self>,
        exchange: Rc<RequestExchange>,
        deadline: Millis,
    ) -> ExchangeReply {
        let arrival = match self.arrival(&exchange, deadline) {
            Ok(arrival) => arrival,
            Err(refusal) => return ExchangeReply::Refused(refusal),
        };
        let ticket = arrival.ticket;
        let (sender, receiver) = oneshot::channel();
        let job = GateJob {
            exchange,
            unit: arrival.unit,
            reply: Some(sender),
            task: None,
        };
        self.jobs.borrow_mut().insert(ticket, job);
        let service = Rc::clone(self);
        let guard = CallerGuard::new(move || service.caller_gone(ticket));
        self.step(GateEvent::Arrive(arrival));
        let reply = receiver.await;
        guard.disarm();
        reply.unwrap_or_else(|_| {
            let detail = "the gate lost the request; look before you send it again";
            ExchangeReply::Refused(Refusal::with_unknown_outcome(detail))
        })
    }

    /// Describes a request to the decision.
    ///
    /// # Errors
    ///
    /// A refusal if the service is unknown or the key is missing.
    fn arrival(&self, exchange: &RequestExchange, deadline: Millis) -> Result<Arrival, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        let name: ServiceKey = (exchange.workspace.clone(), exchange.service.clone());
        if self.service.borrow().as_ref() != Some(&name) {
            let detail = "the backend server beside this agent serves another service";
            return Err(Refusal::new(RefusalKind::NotOwner, detail));
        }
        let spec = find_service(&view, &name)?;
        let traits = read_traits(spec, exchange)?;
        let unit = traits.key.map(|key| view.unit_of(&name, key));
        if let (Some(key), Some(unit)) = (traits.key, unit) {
            self.loads.note(key, unit);
        }
        let is_remembered = !traits.idempotent && exchange.idempotency_key.is_some();
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ok(Arrival {
            ticket,
            unit,
            idempotent: traits.idempotent,
            idempotency_key: exchange.idempotency_key.clone(),
            digest: if is_remembered { exchange.digest() } else { 0 },
            urgency: traits.urgency,
            deadline,
            received: exchange.received,
        })
    }

    /// Takes an event and does what the decision says.
    pub fn step(self: &Rc<Self>, event: GateEvent) {
        self.tap.record(SERVICE, &event);
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for action in actions {
            self.act(action);
        }
        self.wake.notify_one();
    }

    /// Does one action.
    fn act(self: &Rc<Self>, action: GateAction) {
        match action {
            GateAction::Dispatch {
                ticket,
                fence,
                deadline,
            } => self.dispatch(ticket, fence, deadline),
            GateAction::Refuse { ticket, refusal } => {
                self.finish(ticket, ExchangeReply::Refused(refusal));
            }
            GateAction::Replay { ticket, answer } => {
                let answer = CompleteAnswer::with_stored(&answer);
                self.finish(ticket, ExchangeReply::Answered(answer));
            }
            GateAction::Cancel { ticket } => self.cancel(ticket),
            GateAction::Release { units, entries } => {
                let release = self.release.borrow().clone();
                if let Some(release) = release {
                    release(units, entries);
                }
            }
        }
    }

    /// Sends a request to the backend server.
    fn dispatch(self: &Rc<Self>, ticket: u64, fence: Option<Fence>, deadline: Millis) {
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&ticket) else {
            return;
        };
        let exchange = Rc::clone(&job.exchange);
        let headers = dispatch_headers(&exchange, job.unit, fence, deadline);
        let gate = Rc::clone(self);
        job.task = Some(actix_rt::spawn(async move {
            let end = match gate.backend.get() {
                Some(address) => {
                    send::send(&gate.client, address, &exchange, &headers, deadline).await
                }
                None => SendOutcome::NotSent("no backend server".into()),
            };
            gate.ended(ticket, end);
        }));
    }

    /// Takes the end of a dispatch.
    fn ended(self: &Rc<Self>, ticket: u64, end: SendOutcome) {
        let end = match end {
            SendOutcome::Answered { answer, headers } => {
                let shed =
                    answer.status.as_u16() == 503 && header(&headers, RAN_HEADER) == Some("no");
                let stored = (answer.body.len() <= STORED_ANSWER_LIMIT).then(|| answer.to_stored());
                if !shed {
                    self.finish(ticket, ExchangeReply::Answered(answer));
                }
                DispatchOutcome::Answered {
                    shed,
                    answer: stored.flatten(),
                }
            }
            SendOutcome::NotSent(_) => DispatchOutcome::NotSent,
            SendOutcome::Unknown(_) => DispatchOutcome::Unknown,
        };
        self.step(GateEvent::Ended { ticket, end });
        self.forget_abandoned(ticket);
    }

    /// Takes note, outside of any step, that a caller no longer waits.
    fn caller_gone(self: Rc<Self>, ticket: u64) {
        actix_rt::spawn(async move {
            self.step(GateEvent::CallerGone { ticket });
            self.forget_abandoned(ticket);
        });
    }

    /// Drops a request whose caller no longer waits, unless it is still at the backend server.
    fn forget_abandoned(&self, ticket: u64) {
        let mut jobs = self.jobs.borrow_mut();
        let abandoned = jobs.get(&ticket).is_some_and(|job| {
            let running = job.task.as_ref().is_some_and(|task| !task.is_finished());
            !running && job.reply.as_ref().is_none_or(oneshot::Sender::is_closed)
        });
        if abandoned {
            jobs.remove(&ticket);
        }
    }

    /// Stops a dispatched request: its connection is closed.
    fn cancel(self: &Rc<Self>, ticket: u64) {
        let task = self
            .jobs
            .borrow_mut()
            .get_mut(&ticket)
            .and_then(|job| job.task.take());
        let Some(task) = task else {
            return;
        };
        task.abort();
        let gate = Rc::clone(self);
        actix_rt::spawn(async move {
            let end = DispatchOutcome::Unknown;
            gate.step(GateEvent::Ended { ticket, end });
            gate.forget_abandoned(ticket);
        });
    }

    /// Gives the caller its reply.
    fn finish(&self, ticket: u64, reply: ExchangeReply) {
        let job = self.jobs.borrow_mut().remove(&ticket);
        if let Some(sender) = job.and_then(|job| job.reply) {
            // The caller may be gone.
            drop(sender.send(reply));
        }
    }

    /// Tells the decision the wall clock, with which it dates callers' ids. Never returns.
    pub async fn publish_clock(self: Rc<Self>) {
        loop {
            let wall = clock::wall_now();
            self.step(GateEvent::Clock { wall });
            sleep(Duration::from_millis(CLOCK_EVERY_MS)).await;
        }
    }

    /// Takes a new view in.
    pub fn on_view(self: &Rc<Self>, view: &Arc<FleetView>) {
        *self.view.borrow_mut() = Arc::clone(view);
        let service = self.service.borrow().clone();
        let Some(service) = service else {
            return;
        };
        if let Some(grants) = self.grants.update(view, &service, &self.id) {
            self.step(GateEvent::Grants(grants));
        }
        self.apply_settings(view, &service);
    }

    /// Gives the decision the limits of the service.
    fn apply_settings(self: &Rc<Self>, view: &FleetView, service: &ServiceKey) {
        let Ok(spec) = find_service(view, service) else {
            return;
        };
        let settings = GateSettings {
            keyed: spec.keyed,
            slots: spec.slots,
            ..GateSettings::default()
        };
        let known = self.state.read(|state| *state.settings() == settings);
        if !known {
            self.step(GateEvent::Settings(settings));
        }
    }

    /// Takes an old owner's window in.
    pub fn on_handover(self: &Rc<Self>, handover: WindowHandover) {
        let name: ServiceKey = (handover.workspace, handover.service);
        if handover.to != self.id || self.service.borrow().as_ref() != Some(&name) {
            return;
        }
        self.grants.note_handover(&handover.units);
        self.step(GateEvent::Handover {
            units: handover.units,
            entries: handover.entries,
        });
    }

    /// Takes the end of the agent's lease.
    pub fn on_lease(self: &Rc<Self>, until: Millis) {
        if self.lease_until.replace(until) != until {
            self.step(GateEvent::Lease { until });
        }
    }

    /// Takes news of the backend server: where it is, or that it is gone.
    pub fn on_backend(
        self: &Rc<Self>,
        service: Option<ServiceKey>,
        address: Option<SocketAddr>,
        notice: BackendEvent,
    ) {
        self.backend.set(address);
        if let Some(service) = service {
            *self.service.borrow_mut() = Some(service);
            let view = Arc::clone(&self.view.borrow());
            self.on_view(&view);
        }
        self.step(GateEvent::Backend(notice));
    }

    /// Returns the loads since the last call.
    #[must_use]
    pub fn take_loads(&self) -> (Vec<SliceLoad>, Vec<KeyLoad>) {
        self.loads.take()
    }

    /// The service of the backend server.
    #[must_use]
    pub fn service(&self) -> Option<ServiceKey> {
        self.service.borrow().clone()
    }
}

/// Headers that a dispatch carries on top of the caller's.
fn dispatch_headers(
    exchange: &RequestExchange,
    unit: Option<Unit>,
    fence: Option<Fence>,
    deadline: Millis,
) -> Vec<(&'static str, String)> {
    let left_ms = deadline.since(clock::now());
    let mut headers = vec![
        (REQUEST_ID_HEADER, exchange.request_id.to_string()),
        (TIMEOUT_HEADER, left_ms.to_string()),
        (DEADLINE_HEADER, deadline.0.to_string()),
    ];
    if let Some(key) = &exchange.key {
        headers.push((KEY_HEADER, key.to_string()));
    }
    if let Some(fence) = fence {
        headers.push((FENCE_HEADER, fence.0.to_string()));
    }
    match unit {
        Some(Unit::Slice(slice)) => headers.push((UNIT_HEADER, format!("slice:{}", slice.0))),
        Some(Unit::Key(key)) => headers.push((UNIT_HEADER, format!("key:{:x}", key.0))),
        None => {}
    }
    headers
}
