//! Gate service: admits requests, dispatches them to the backend server and releases idle units.
//!
//! [`GateState`] makes the decisions; this module passes events to it and executes its actions.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
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
use crate::lookup::request_properties;
use crate::send;
use crate::send::AnswerClient;
use crate::send::SendOutcome;
use crate::timer::TickerWake;
use crate::tracing::TraceWriters;

/// Name of this service in the registry and in traces.
pub const SERVICE: &str = "gate";

/// Answers with a larger body are not stored for repeats of their request.
const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Time between reports of the wall clock to the state machine, in milliseconds.
const CLOCK_INTERVAL_MS: u64 = 5_000;

/// Callback that receives idle units and their window entries.
pub type ReleaseFn = Rc<dyn Fn(Vec<Unit>, Vec<WindowEntry>)>;

/// A request that is waiting at the gate or in flight at the backend server.
struct GateRequest {
    exchange: Rc<RequestExchange>,
    unit: Option<Unit>,
    reply: Option<oneshot::Sender<ExchangeReply>>,
    task: Option<JoinHandle<()>>,
}

/// The gate beside a backend server, with its open requests.
pub struct GateService {
    id: AgentId,
    state: StateCell<GateState>,
    requests: RefCell<BTreeMap<u64, GateRequest>>,
    grants: GrantCache,
    backend: Cell<Option<SocketAddr>>,
    service: RefCell<Option<ServiceKey>>,
    view: RefCell<Arc<FleetView>>,
    client: AnswerClient,
    next_ticket: Cell<u64>,
    lease_until: Cell<Millis>,
    loads: LoadMeter,
    release: RefCell<Option<ReleaseFn>>,
    wake: TickerWake,
    traces: Rc<TraceWriters>,
}

impl GateService {
    /// Creates a gate that has no backend server yet.
    ///
    /// `connections` limits the connections to the backend server.
    #[must_use]
    pub fn new(id: AgentId, connections: usize, traces: Rc<TraceWriters>) -> Self {
        let settings = GateSettings::default();
        traces.start(SERVICE, 0, &settings);
        Self {
            id,
            state: StateCell::new(GateState::new(settings)),
            requests: RefCell::default(),
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
            traces,
        }
    }

    /// Sets the callback for released units.
    pub fn on_release(&self, release: ReleaseFn) {
        *self.release.borrow_mut() = Some(release);
    }

    /// Returns the handle that wakes the ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// Returns when the next [`GateEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(GateState::next_tick)
    }

    /// Returns the number of requests that are in flight or waiting.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.state.read(|state| state.in_flight() + state.queued())
    }

    /// Returns the number of requests in flight at the backend server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.state.read(GateState::in_flight)
    }

    /// Whether no request is in flight or waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.borrow().is_empty()
    }

    /// Returns the number of units that the agent owns.
    #[must_use]
    pub fn unit_count(&self) -> usize {
        self.grants.len()
    }

    /// Serves a request until it is answered or refused, or until `deadline`.
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
        let request = GateRequest {
            exchange,
            unit: arrival.unit,
            reply: Some(sender),
            task: None,
        };
        self.requests.borrow_mut().insert(ticket, request);
        let gate = Rc::clone(self);
        let guard = CallerGuard::new(move || gate.caller_gone(ticket));
        self.step(GateEvent::Arrive(arrival));
        let reply = receiver.await;
        guard.disarm();
        reply.unwrap_or_else(|_| {
            let detail = "the gate lost the request; look before you send it again";
            ExchangeReply::Refused(Refusal::with_unknown_outcome(detail))
        })
    }

    /// Describes a request for the state machine.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the backend server has another service, if the service is unknown, or if the
    /// key is missing.
    fn arrival(&self, exchange: &RequestExchange, deadline: Millis) -> Result<Arrival, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        let service: ServiceKey = (exchange.workspace.clone(), exchange.service.clone());
        if self.service.borrow().as_ref() != Some(&service) {
            let detail = "the backend server beside this agent serves another service";
            return Err(Refusal::new(RefusalKind::NotOwner, detail));
        }
        let spec = find_service(&view, &service)?;
        let properties = request_properties(spec, exchange)?;
        let unit = properties.key.map(|key| view.unit_of(&service, key));
        if let (Some(key), Some(unit)) = (properties.key, unit) {
            self.loads.record(key, unit);
        }
        let is_deduplicated = !properties.idempotent && exchange.idempotency_key.is_some();
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ok(Arrival {
            ticket,
            unit,
            idempotent: properties.idempotent,
            idempotency_key: exchange.idempotency_key.clone(),
            digest: if is_deduplicated {
                exchange.digest()
            } else {
                0
            },
            urgency: properties.urgency,
            deadline,
            received: exchange.received,
        })
    }

    /// Passes an event to the state machine and executes the resulting actions.
    pub fn step(self: &Rc<Self>, event: GateEvent) {
        self.traces.record(SERVICE, &event);
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for action in actions {
            self.execute(action);
        }
        self.wake.notify_one();
    }

    /// Executes one action of the state machine.
    fn execute(self: &Rc<Self>, action: GateAction) {
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
                let answer = CompleteAnswer::from_stored(&answer);
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

    /// Sends a request to the backend server in a separate task.
    fn dispatch(self: &Rc<Self>, ticket: u64, fence: Option<Fence>, deadline: Millis) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&ticket) else {
            return;
        };
        let exchange = Rc::clone(&request.exchange);
        let headers = dispatch_headers(&exchange, request.unit, fence, deadline);
        let gate = Rc::clone(self);
        request.task = Some(actix_rt::spawn(async move {
            let outcome = match gate.backend.get() {
                Some(address) => {
                    send::send(&gate.client, address, &exchange, &headers, deadline).await
                }
                None => SendOutcome::NotSent("no backend server".into()),
            };
            gate.on_dispatch_ended(ticket, outcome);
        }));
    }

    /// Passes an answer to the caller, unless the backend server shed the request, and reports the outcome of
    /// the dispatch to the state machine.
    fn on_dispatch_ended(self: &Rc<Self>, ticket: u64, outcome: SendOutcome) {
        let outcome = match outcome {
            SendOutcome::Answered { answer, headers } => {
                let shed =
                    answer.status.as_u16() == 503 && header(&headers, RAN_HEADER) == Some("no");
                let stored =
                    (answer.body.len() <= MAX_STORED_ANSWER_BYTES).then(|| answer.to_stored());
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
        self.step(GateEvent::Ended {
            ticket,
            end: outcome,
        });
        self.remove_abandoned(ticket);
    }

    /// Reports that a caller has disconnected, in a separate task so that it never happens within another
    /// step.
    fn caller_gone(self: Rc<Self>, ticket: u64) {
        actix_rt::spawn(async move {
            self.step(GateEvent::CallerGone { ticket });
            self.remove_abandoned(ticket);
        });
    }

    /// Removes a request whose caller has disconnected, unless it is still running at the backend server.
    fn remove_abandoned(&self, ticket: u64) {
        let mut requests = self.requests.borrow_mut();
        let is_abandoned = requests.get(&ticket).is_some_and(|request| {
            let is_running = request
                .task
                .as_ref()
                .is_some_and(|task| !task.is_finished());
            !is_running
                && request
                    .reply
                    .as_ref()
                    .is_none_or(oneshot::Sender::is_closed)
        });
        if is_abandoned {
            requests.remove(&ticket);
        }
    }

    /// Cancels a dispatched request by closing its connection.
    fn cancel(self: &Rc<Self>, ticket: u64) {
        let task = self
            .requests
            .borrow_mut()
            .get_mut(&ticket)
            .and_then(|request| request.task.take());
        let Some(task) = task else {
            return;
        };
        task.abort();
        let gate = Rc::clone(self);
        actix_rt::spawn(async move {
            let outcome = DispatchOutcome::Unknown;
            gate.step(GateEvent::Ended {
                ticket,
                end: outcome,
            });
            gate.remove_abandoned(ticket);
        });
    }

    /// Sends the reply to the caller and removes the request.
    fn finish(&self, ticket: u64, reply: ExchangeReply) {
        let request = self.requests.borrow_mut().remove(&ticket);
        if let Some(sender) = request.and_then(|request| request.reply) {
            // This fails only if the caller has disconnected.
            drop(sender.send(reply));
        }
    }

    /// Reports the wall clock to the state machine, which compares creation times in callers' ids with it.
    /// Never returns.
    pub async fn publish_clock(self: Rc<Self>) {
        loop {
            let wall = clock::wall_now();
            self.step(GateEvent::Clock { wall });
            sleep(Duration::from_millis(CLOCK_INTERVAL_MS)).await;
        }
    }

    /// Applies a new fleet view: the grants of this agent and the settings of its service.
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

    /// Reports the settings of the service to the state machine if they have changed.
    fn apply_settings(self: &Rc<Self>, view: &FleetView, service: &ServiceKey) {
        let Ok(spec) = find_service(view, service) else {
            return;
        };
        let settings = GateSettings {
            keyed: spec.keyed,
            slots: spec.slots,
            ..GateSettings::default()
        };
        let is_unchanged = self.state.read(|state| *state.settings() == settings);
        if !is_unchanged {
            self.step(GateEvent::Settings(settings));
        }
    }

    /// Applies the window entries that the previous owner of units has sent.
    pub fn on_handover(self: &Rc<Self>, handover: WindowHandover) {
        let service: ServiceKey = (handover.workspace, handover.service);
        if handover.to != self.id || self.service.borrow().as_ref() != Some(&service) {
            return;
        }
        self.grants.record_handover(&handover.units);
        self.step(GateEvent::Handover {
            units: handover.units,
            entries: handover.entries,
        });
    }

    /// Reports a new end of the agent's lease to the state machine.
    pub fn on_lease(self: &Rc<Self>, until: Millis) {
        if self.lease_until.replace(until) != until {
            self.step(GateEvent::Lease { until });
        }
    }

    /// Applies a change of the backend server: its address, or `None` if it is gone, and its service if that
    /// is known.
    pub fn on_backend(
        self: &Rc<Self>,
        service: Option<ServiceKey>,
        address: Option<SocketAddr>,
        event: BackendEvent,
    ) {
        self.backend.set(address);
        if let Some(service) = service {
            *self.service.borrow_mut() = Some(service);
            let view = Arc::clone(&self.view.borrow());
            self.on_view(&view);
        }
        self.step(GateEvent::Backend(event));
    }

    /// Returns the request rates of slices and keys since the last call.
    #[must_use]
    pub fn take_loads(&self) -> (Vec<SliceLoad>, Vec<KeyLoad>) {
        self.loads.take()
    }

    /// Returns the service of the backend server.
    #[must_use]
    pub fn service(&self) -> Option<ServiceKey> {
        self.service.borrow().clone()
    }
}

/// Returns the headers that a dispatch carries in addition to the caller's.
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
