//! Gateway service: accepts callers' requests and forwards them to the gates of agents.
//!
//! [`RouteState`] makes the decisions; this module passes events to it and executes its actions.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::task::JoinHandle;
use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_kernel::clock;
use jy_kernel::state::StateCell;
use jy_route::api::AttemptOutcome;
use jy_route::api::RouteAction;
use jy_route::api::RouteEvent;
use jy_route::api::RouteRequest;
use jy_route::api::RouteSettings;
use jy_route::core::RouteState;
use jy_types::key::KeyHash;
use jy_types::key::SliceId;
use jy_types::member::AgentId;
use jy_types::request::IN_FLIGHT_HEADER;
use jy_types::request::KEY_HEADER;
use jy_types::request::RECEIVED_HEADER;
use jy_types::request::REQUEST_ID_HEADER;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::SERVICE_HEADER;
use jy_types::request::TIMEOUT_HEADER;
use jy_types::request::WORKSPACE_HEADER;
use jy_types::time::Millis;
use tokio::sync::oneshot;

use crate::exchange::ExchangeReply;
use crate::exchange::RequestExchange;
use crate::exchange::read_refusal;
use crate::gate::GateService;
use crate::guard::CallerGuard;
use crate::http::header;
use crate::lookup::find_service;
use crate::lookup::request_properties;
use crate::metrics::AgentMetrics;
use crate::send;
use crate::send::AnswerClient;
use crate::send::SendOutcome;
use crate::timer::TickerWake;
use crate::unavailability::UnavailabilityMeter;

/// Name of this service in the registry.
pub const SERVICE: &str = "gateway";

const MAX_CONNECTIONS_PER_AGENT: usize = 64;

/// Callback that requests newer records from another agent.
pub type PullFn = Rc<dyn Fn()>;

/// One attempt to have a request served.
#[derive(Default)]
struct PendingAttempt {
    task: Option<JoinHandle<()>>,
    reply: Option<ExchangeReply>,
}

/// A caller's request that has been neither answered nor refused.
struct OpenCall {
    exchange: Rc<RequestExchange>,
    deadline: Millis,
    slice: Option<SliceId>,
    reply: oneshot::Sender<ExchangeReply>,
    attempts: BTreeMap<u32, PendingAttempt>,
}

/// The gateway of an agent, with its open requests.
pub struct GatewayService {
    id: AgentId,
    state: StateCell<RouteState>,
    calls: RefCell<BTreeMap<u64, OpenCall>>,
    view: RefCell<Arc<FleetView>>,
    gate: Rc<GateService>,
    metrics: Rc<AgentMetrics>,
    unavailability: RefCell<UnavailabilityMeter>,
    client: AnswerClient,
    pull: RefCell<Option<PullFn>>,
    next_ticket: Cell<u64>,
    wake: TickerWake,
}

impl GatewayService {
    /// Creates a gateway that knows no agents yet.
    #[must_use]
    pub fn new(id: AgentId, gate: Rc<GateService>, metrics: Rc<AgentMetrics>) -> Self {
        let state = RouteState::new(RouteSettings::default(), id.incarnation);
        Self {
            id,
            state: StateCell::new(state),
            calls: RefCell::default(),
            view: RefCell::new(Arc::new(FleetView::new())),
            gate,
            metrics,
            unavailability: RefCell::default(),
            client: send::client(MAX_CONNECTIONS_PER_AGENT),
            pull: RefCell::default(),
            next_ticket: Cell::new(1),
            wake: TickerWake::default(),
        }
    }

    /// Sets the callback for records that seem outdated.
    pub fn on_pull(&self, pull: PullFn) {
        *self.pull.borrow_mut() = Some(pull);
    }

    /// Returns the handle that wakes the ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// Returns when the next [`RouteEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(RouteState::next_tick)
    }

    /// Returns the number of requests that have been neither answered nor refused.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Applies a new fleet view.
    pub fn on_view(self: &Rc<Self>, view: &Arc<FleetView>) {
        *self.view.borrow_mut() = Arc::clone(view);
        self.step(RouteEvent::View(Arc::clone(view)));
    }

    /// Serves a caller's request and counts it in the metrics. A request that is refused before it is routed,
    /// because its service is unknown or its key is missing, is not counted.
    pub async fn handle(self: &Rc<Self>, exchange: RequestExchange) -> ExchangeReply {
        let started = clock::now();
        let exchange = Rc::new(exchange);
        let request = match self.route_request(&exchange, started) {
            Ok(request) => request,
            Err(refusal) => return ExchangeReply::Refused(refusal),
        };
        let service: ServiceKey = (request.workspace.clone(), request.service.clone());
        let reply = self.route(exchange, request).await;
        self.metrics
            .record_request(&service, &reply, clock::now().since(started));
        reply
    }

    /// Routes a request and returns its answer or refusal.
    async fn route(
        self: &Rc<Self>,
        exchange: Rc<RequestExchange>,
        request: RouteRequest,
    ) -> ExchangeReply {
        let ticket = request.ticket;
        let (sender, receiver) = oneshot::channel();
        let call = OpenCall {
            exchange,
            deadline: request.deadline,
            slice: request.key.map(KeyHash::slice),
            reply: sender,
            attempts: BTreeMap::new(),
        };
        self.calls.borrow_mut().insert(ticket, call);
        let gateway = Rc::clone(self);
        let guard = CallerGuard::new(move || gateway.caller_gone(ticket));
        self.step(RouteEvent::Arrive(request));
        let reply = receiver.await;
        guard.disarm();
        reply.unwrap_or_else(|_| {
            let detail = "the gateway lost the request; look before you send it again";
            ExchangeReply::Refused(Refusal::with_unknown_outcome(detail))
        })
    }

    /// Describes a request for the state machine.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the service is unknown or the key is missing.
    fn route_request(
        &self,
        exchange: &RequestExchange,
        now: Millis,
    ) -> Result<RouteRequest, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        let service: ServiceKey = (exchange.workspace.clone(), exchange.service.clone());
        let spec = find_service(&view, &service)?;
        let properties = request_properties(spec, exchange)?;
        let requested_ms = exchange.timeout_ms.unwrap_or(spec.timeout_ms);
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ok(RouteRequest {
            ticket,
            workspace: service.0,
            service: service.1,
            key: properties.key,
            idempotent: properties.idempotent,
            deadline: now.plus(requested_ms.min(spec.timeout_ms)),
        })
    }

    /// Passes an event to the state machine and executes the resulting actions.
    pub fn step(self: &Rc<Self>, event: RouteEvent) {
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for action in actions {
            self.execute(action);
        }
        self.wake.notify_one();
    }

    /// Executes one action of the state machine.
    fn execute(self: &Rc<Self>, action: RouteAction) {
        match action {
            RouteAction::Send {
                ticket,
                attempt,
                to,
                ..
            } => self.send_attempt(ticket, attempt, to),
            RouteAction::Cancel { ticket, attempt } => self.cancel(ticket, attempt),
            RouteAction::Finish { ticket, attempt } => self.finish(ticket, attempt),
            RouteAction::Refuse { ticket, refusal } => {
                let refusal = self.gate_refusal(ticket, &refusal).unwrap_or(refusal);
                self.reply(ticket, ExchangeReply::Refused(refusal));
            }
            RouteAction::Pull => {
                let pull = self.pull.borrow().clone();
                if let Some(pull) = pull {
                    pull();
                }
            }
        }
    }

    /// Sends one attempt to the gate of an agent in a separate task.
    fn send_attempt(self: &Rc<Self>, ticket: u64, attempt: u32, to: AgentId) {
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(&ticket) else {
            return;
        };
        let exchange = Rc::clone(&call.exchange);
        let deadline = call.deadline;
        let gateway = Rc::clone(self);
        let task = actix_rt::spawn(async move {
            let (outcome, reply, load) = gateway.send_to(&to, exchange, deadline).await;
            gateway.on_attempt_ended(ticket, attempt, outcome, reply, load);
        });
        call.attempts.entry(attempt).or_default().task = Some(task);
    }

    /// Sends a request to the gate of an agent: directly to the local one, over HTTP to any other.
    ///
    /// Returns the outcome, the reply if there is one, and the load that the gate reported with it.
    async fn send_to(
        &self,
        to: &AgentId,
        exchange: Rc<RequestExchange>,
        deadline: Millis,
    ) -> (AttemptOutcome, Option<ExchangeReply>, Option<u32>) {
        if *to == self.id {
            let reply = self.gate.handle(exchange, deadline).await;
            return (attempt_outcome(&reply), Some(reply), Some(self.gate.load()));
        }
        let address = self
            .view
            .borrow()
            .member(to)
            .map(|member| member.forward_addr);
        let Some(address) = address else {
            return (AttemptOutcome::NotSent, None, None);
        };
        let headers = forward_headers(&exchange, deadline);
        match send::send(&self.client, address, &exchange, &headers, deadline).await {
            SendOutcome::Answered { answer, headers } => {
                if header(&headers, REQUEST_ID_HEADER).is_none() {
                    return (AttemptOutcome::Unknown, None, None);
                }
                let load = header(&headers, IN_FLIGHT_HEADER).and_then(|load| load.parse().ok());
                let reply = match read_refusal(&headers, &answer.body) {
                    Some(refusal) => ExchangeReply::Refused(refusal),
                    None => ExchangeReply::Answered(answer),
                };
                (attempt_outcome(&reply), Some(reply), load)
            }
            SendOutcome::NotSent(_) => (AttemptOutcome::NotSent, None, None),
            SendOutcome::Unknown(_) => (AttemptOutcome::Unknown, None, None),
        }
    }

    /// Stores the reply of an attempt and reports the outcome to the state machine.
    fn on_attempt_ended(
        self: &Rc<Self>,
        ticket: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        reply: Option<ExchangeReply>,
        load: Option<u32>,
    ) {
        if let Some(call) = self.calls.borrow_mut().get_mut(&ticket) {
            call.attempts.entry(attempt).or_default().reply = reply;
            self.record_availability(call, &outcome);
        }
        self.step(RouteEvent::Ended {
            ticket,
            attempt,
            end: outcome,
            load,
        });
    }

    /// Counts the time during which keys can't be served, by the outcome of an attempt.
    fn record_availability(&self, call: &OpenCall, outcome: &AttemptOutcome) {
        let Some(slice) = call.slice else {
            return;
        };
        let exchange = &call.exchange;
        let service: ServiceKey = (exchange.workspace.clone(), exchange.service.clone());
        let now = clock::now();
        let mut meter = self.unavailability.borrow_mut();
        let counted = if is_unavailable(outcome) {
            meter.record_failure(now, &service, slice)
        } else {
            meter.record_success(now, &service, slice)
        };
        self.metrics.record_unavailable(&service, counted);
    }

    /// Cancels an attempt by closing its connection.
    fn cancel(&self, ticket: u64, attempt: u32) {
        let mut calls = self.calls.borrow_mut();
        let pending = calls
            .get_mut(&ticket)
            .and_then(|call| call.attempts.get_mut(&attempt));
        if let Some(task) = pending.and_then(|pending| pending.task.take()) {
            task.abort();
        }
    }

    /// Sends the reply of an attempt to the caller.
    fn finish(&self, ticket: u64, attempt: u32) {
        let reply = self
            .calls
            .borrow_mut()
            .get_mut(&ticket)
            .and_then(|call| call.attempts.get_mut(&attempt))
            .and_then(|pending| pending.reply.take());
        if let Some(reply) = reply {
            self.reply(ticket, reply);
        }
    }

    /// Returns the newest refusal of the same kind from a gate, which describes the cause in more detail than
    /// the one from routing.
    fn gate_refusal(&self, ticket: u64, refusal: &Refusal) -> Option<Refusal> {
        let calls = self.calls.borrow();
        let attempts = calls.get(&ticket)?.attempts.values().rev();
        let gate_refusals = attempts.filter_map(|pending| match &pending.reply {
            Some(ExchangeReply::Refused(candidate)) => Some(candidate),
            _ => None,
        });
        let mut matching = gate_refusals
            .filter(|candidate| candidate.kind == refusal.kind && candidate.ran == refusal.ran);
        matching.next().cloned()
    }

    /// Reports that a caller has disconnected and removes its request, in a separate task so that this never
    /// happens within another step.
    fn caller_gone(self: Rc<Self>, ticket: u64) {
        actix_rt::spawn(async move {
            self.step(RouteEvent::CallerGone { ticket });
            self.calls.borrow_mut().remove(&ticket);
        });
    }

    /// Sends the reply to the caller and removes the request.
    fn reply(&self, ticket: u64, reply: ExchangeReply) {
        let call = self.calls.borrow_mut().remove(&ticket);
        if let Some(call) = call {
            // This fails only if the caller has disconnected.
            drop(call.reply.send(reply));
        }
    }
}

/// Whether an attempt failed because no agent served its key at that time.
const fn is_unavailable(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered => false,
        AttemptOutcome::NotSent | AttemptOutcome::Unknown => true,
        AttemptOutcome::Refused { kind, .. } => matches!(
            kind,
            RefusalKind::NotOwner
                | RefusalKind::Leaving
                | RefusalKind::KeyUnavailable
                | RefusalKind::NoEndpoint
        ),
    }
}

/// Returns the outcome of an attempt that ended with a reply.
const fn attempt_outcome(reply: &ExchangeReply) -> AttemptOutcome {
    match reply {
        ExchangeReply::Answered(_) => AttemptOutcome::Answered,
        ExchangeReply::Refused(refusal) => AttemptOutcome::Refused {
            kind: refusal.kind,
            ran: refusal.ran,
        },
    }
}

/// Returns the headers that a forwarded request carries in addition to the caller's.
fn forward_headers(exchange: &RequestExchange, deadline: Millis) -> Vec<(&'static str, String)> {
    let left_ms = deadline.since(clock::now());
    let mut headers = vec![
        (WORKSPACE_HEADER, exchange.workspace.to_string()),
        (SERVICE_HEADER, exchange.service.to_string()),
        (REQUEST_ID_HEADER, exchange.request_id.to_string()),
        (TIMEOUT_HEADER, left_ms.to_string()),
        (RECEIVED_HEADER, exchange.received.0.to_string()),
    ];
    if let Some(key) = &exchange.key {
        headers.push((KEY_HEADER, key.to_string()));
    }
    headers
}
