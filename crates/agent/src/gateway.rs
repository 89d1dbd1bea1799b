//! Shell of the gateway: takes callers' requests and sends them to gates.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::task::JoinHandle;
use awc::Client;
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
use crate::lookup::read_traits;
use crate::metrics::AgentMetrics;
use crate::send;
use crate::send::SendOutcome;
use crate::timer::TickerWake;
use crate::unavailability::UnavailabilityMeter;

/// Name of this service.
pub const SERVICE: &str = "gateway";

/// Connections to one other agent.
const FORWARD_CONNECTIONS: usize = 64;

/// Called when the records seem old.
pub type PullFn = Rc<dyn Fn()>;

/// One attempt of a request.
#[derive(Default)]
struct AttemptSlot {
    task: Option<JoinHandle<()>>,
    reply: Option<ExchangeReply>,
}

/// A request that was neither answered nor refused.
struct OpenCall {
    exchange: Rc<RequestExchange>,
    deadline: Millis,
    slice: Option<SliceId>,
    reply: oneshot::Sender<ExchangeReply>,
    attempts: BTreeMap<u32, AttemptSlot>,
}

/// The gateway with its open requests.
pub struct GatewayService {
    id: AgentId,
    state: StateCell<RouteState>,
    calls: RefCell<BTreeMap<u64, OpenCall>>,
    view: RefCell<Arc<FleetView>>,
    gate: Rc<GateService>,
    metrics: Rc<AgentMetrics>,
    outages: RefCell<UnavailabilityMeter>,
    client: Client,
    pull: RefCell<Option<PullFn>>,
    next_ticket: Cell<u64>,
    wake: TickerWake,
}

impl GatewayService {
    /// Makes a gateway that knows of no agent.
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
            outages: RefCell::default(),
            client: send::client(FORWARD_CONNECTIONS),
            pull: RefCell::default(),
            next_ticket: Cell::new(1),
            wake: TickerWake::default(),
        }
    }

    /// Sets what is done when the records seem old.
    pub fn on_pull(&self, pull: PullFn) {
        *self.pull.borrow_mut() = Some(pull);
    }

    /// Wakes the ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// When routing wants its next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(RouteState::next_tick)
    }

    /// Requests that were neither answered nor refused.
    #[must_use]
    pub fn open(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Takes a new view in.
    pub fn on_view(self: &Rc<Self>, view: &Arc<FleetView>) {
        *self.view.borrow_mut() = Arc::clone(view);
        self.step(RouteEvent::View(Arc::clone(view)));
    }

    /// Serves a caller's request.
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
            .note_request(&service, &reply, clock::now().since(started));
        reply
    }

    /// Routes a request until its answer or its refusal.
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
        let service = Rc::clone(self);
        let guard = CallerGuard::new(move || service.caller_gone(ticket));
        self.step(RouteEvent::Arrive(request));
        let reply = receiver.await;
        guard.disarm();
        reply.unwrap_or_else(|_| {
            let detail = "the gateway lost the request; look before you send it again";
            ExchangeReply::Refused(Refusal::with_unknown_outcome(detail))
        })
    }

    /// Describes a request to the decision.
    ///
    /// # Errors
    ///
    /// A refusal if the service is unknown or the key is missing.
    fn route_request(
        &self,
        exchange: &RequestExchange,
        now: Millis,
    ) -> Result<RouteRequest, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        let name: ServiceKey = (exchange.workspace.clone(), exchange.service.clone());
        let spec = find_service(&view, &name)?;
        let traits = read_traits(spec, exchange)?;
        let wanted = exchange.timeout_ms.unwrap_or(spec.timeout_ms);
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ok(RouteRequest {
            ticket,
            workspace: name.0,
            service: name.1,
            key: traits.key,
            idempotent: traits.idempotent,
            deadline: now.plus(wanted.min(spec.timeout_ms)),
        })
    }

    /// Takes an event and does what the decision says.
    pub fn step(self: &Rc<Self>, event: RouteEvent) {
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for action in actions {
            self.act(action);
        }
        self.wake.notify_one();
    }

    /// Does one action.
    fn act(self: &Rc<Self>, action: RouteAction) {
        match action {
            RouteAction::Send {
                ticket,
                attempt,
                to,
                ..
            } => self.attempt(ticket, attempt, to),
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

    /// Sends one attempt to the gate of an agent.
    fn attempt(self: &Rc<Self>, ticket: u64, attempt: u32, to: AgentId) {
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(&ticket) else {
            return;
        };
        let exchange = Rc::clone(&call.exchange);
        let deadline = call.deadline;
        let gateway = Rc::clone(self);
        let task = actix_rt::spawn(async move {
            let (end, reply, load) = gateway.send(&to, exchange, deadline).await;
            gateway.ended(ticket, attempt, end, reply, load);
        });
        call.attempts.entry(attempt).or_default().task = Some(task);
    }

    /// Sends a request to a gate: the own one directly, another's over HTTP.
    async fn send(
        &self,
        to: &AgentId,
        exchange: Rc<RequestExchange>,
        deadline: Millis,
    ) -> (AttemptOutcome, Option<ExchangeReply>, Option<u32>) {
        if *to == self.id {
            let reply = self.gate.handle(exchange, deadline).await;
            return (attempt_end(&reply), Some(reply), Some(self.gate.load()));
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
                (attempt_end(&reply), Some(reply), load)
            }
            SendOutcome::NotSent(_) => (AttemptOutcome::NotSent, None, None),
            SendOutcome::Unknown(_) => (AttemptOutcome::Unknown, None, None),
        }
    }

    /// Takes the end of an attempt.
    fn ended(
        self: &Rc<Self>,
        ticket: u64,
        attempt: u32,
        end: AttemptOutcome,
        reply: Option<ExchangeReply>,
        load: Option<u32>,
    ) {
        if let Some(call) = self.calls.borrow_mut().get_mut(&ticket) {
            call.attempts.entry(attempt).or_default().reply = reply;
            self.note_outage(call, &end);
        }
        self.step(RouteEvent::Ended {
            ticket,
            attempt,
            end,
            load,
        });
    }

    /// Counts the time during which keys can't be served.
    fn note_outage(&self, call: &OpenCall, end: &AttemptOutcome) {
        let Some(slice) = call.slice else {
            return;
        };
        let exchange = &call.exchange;
        let service: ServiceKey = (exchange.workspace.clone(), exchange.service.clone());
        let now = clock::now();
        let mut meter = self.outages.borrow_mut();
        let counted = if is_outage(end) {
            meter.note_failed(now, &service, slice)
        } else {
            meter.note_served(now, &service, slice)
        };
        self.metrics.note_unavailable(&service, counted);
    }

    /// Stops an attempt: its connection is closed.
    fn cancel(&self, ticket: u64, attempt: u32) {
        let mut calls = self.calls.borrow_mut();
        let slot = calls
            .get_mut(&ticket)
            .and_then(|call| call.attempts.get_mut(&attempt));
        if let Some(task) = slot.and_then(|slot| slot.task.take()) {
            task.abort();
        }
    }

    /// Gives the caller the answer of an attempt.
    fn finish(&self, ticket: u64, attempt: u32) {
        let reply = self
            .calls
            .borrow_mut()
            .get_mut(&ticket)
            .and_then(|call| call.attempts.get_mut(&attempt))
            .and_then(|slot| slot.reply.take());
        if let Some(reply) = reply {
            self.reply(ticket, reply);
        }
    }

    /// Returns what a gate said of the same kind of refusal: it knows more of the cause.
    fn gate_refusal(&self, ticket: u64, refusal: &Refusal) -> Option<Refusal> {
        let calls = self.calls.borrow();
        let slots = calls.get(&ticket)?.attempts.values().rev();
        let said = slots.filter_map(|slot| match &slot.reply {
            Some(ExchangeReply::Refused(said)) => Some(said),
            _ => None,
        });
        let mut same = said.filter(|said| said.kind == refusal.kind && said.ran == refusal.ran);
        same.next().cloned()
    }

    /// Takes note, outside of any step, that a caller no longer waits.
    fn caller_gone(self: Rc<Self>, ticket: u64) {
        actix_rt::spawn(async move {
            self.step(RouteEvent::CallerGone { ticket });
            self.calls.borrow_mut().remove(&ticket);
        });
    }

    /// Gives the caller its reply.
    fn reply(&self, ticket: u64, reply: ExchangeReply) {
        let call = self.calls.borrow_mut().remove(&ticket);
        if let Some(call) = call {
            // The caller may be gone.
            drop(call.reply.send(reply));
        }
    }
}

/// Whether an attempt ended because nobody served its key at that moment.
const fn is_outage(end: &AttemptOutcome) -> bool {
    match end {
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

/// Tells routing how an attempt ended.
const fn attempt_end(reply: &ExchangeReply) -> AttemptOutcome {
    match reply {
        ExchangeReply::Answered(_) => AttemptOutcome::Answered,
        ExchangeReply::Refused(refusal) => AttemptOutcome::Refused {
            kind: refusal.kind,
            ran: refusal.ran,
        },
    }
}

/// Headers that a forwarded request carries on top of the caller's.
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
