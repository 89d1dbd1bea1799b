//! Starts the agent's listeners and passes their requests to the services.

use std::rc::Rc;

use actix_http::Request;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_rt::task::JoinHandle;
use anyhow::Result;
use jy_config::agent::AgentSettings;
use jy_control::api::ControlEvent;
use jy_kernel::clock;
use jy_kernel::registry::ServiceRegistry;
use jy_types::name::Name;
use jy_types::request::IN_FLIGHT_HEADER;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use serde_json::Value;

use crate::backend;
use crate::backend::BackendService;
use crate::control;
use crate::control::ControlService;
use crate::exchange::ExchangeReply;
use crate::exchange::RequestExchange;
use crate::exchange::request_id;
use crate::feed;
use crate::feed::FeedService;
use crate::gate;
use crate::gate::GateService;
use crate::gateway;
use crate::gateway::GatewayService;
use crate::gossip;
use crate::gossip::GossipService;
use crate::http;
use crate::http::Answer;
use crate::http::BodyError;
use crate::http::ConnectionDrain;
use crate::identity;
use crate::lease;
use crate::lease::LeaseService;
use crate::metrics;
use crate::operator;
use crate::operator::OperatorService;
use crate::rpc;
use crate::rpc::PeerCall;
use crate::shutdown::LeaveSignal;

/// Handles of the listeners that are used to shut the agent down.
#[derive(Debug)]
pub struct ListenerSet {
    /// Task that accepts callers' connections.
    pub accept_task: JoinHandle<()>,
    /// Callers' connections.
    pub caller_connections: ConnectionDrain,
    /// Connections on which other agents forward requests.
    pub peer_connections: ConnectionDrain,
}

/// Starts all listeners of the agent.
///
/// # Errors
///
/// Returns an error if an address can't be bound, if a service is missing from the registry, or if a service
/// of the same name is already registered.
pub async fn start_listeners(
    registry: &ServiceRegistry,
    settings: &Rc<AgentSettings>,
    leave: &LeaveSignal,
) -> Result<ListenerSet> {
    let listen = &settings.listen;
    let caller_listener = http::bind("listen.caller", listen.caller).await?;
    let forward_listener = http::bind("listen.peer_forward", listen.peer_forward).await?;
    let backend_listener = http::bind("listen.backend", listen.backend).await?;
    let operator_listener = http::bind("listen.operator", listen.operator).await?;
    // The RPC listener stops when its handle is dropped, so the registry keeps it.
    let handle = rpc::start(listen.peer_rpc, peer_handler(registry)?).await?;
    registry.register(rpc::SERVICE, Rc::new(handle))?;

    let limits = || settings.limits.clone();
    let caller_connections = ConnectionDrain::new();
    let peer_connections = ConnectionDrain::new();
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let body_limit = settings.limits.body_bytes;
    actix_rt::spawn(http::serve(
        forward_listener,
        limits(),
        peer_connections.clone(),
        move |request| serve_forward(Rc::clone(&gate), request, body_limit),
    ));
    let backend_service = registry.find::<BackendService>(backend::SERVICE)?;
    actix_rt::spawn(http::serve(
        backend_listener,
        limits(),
        ConnectionDrain::new(),
        move |request| Rc::clone(&backend_service).handle(request),
    ));
    let operator = Rc::new(operator_service(registry, leave)?);
    registry.register(operator::SERVICE, Rc::clone(&operator))?;
    actix_rt::spawn(http::serve(
        operator_listener,
        limits(),
        ConnectionDrain::new(),
        move |request: Request| {
            let operator = Rc::clone(&operator);
            async move { operator.handle(&request) }
        },
    ));
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let leave_signal = leave.clone();
    let handler = move |request| {
        serve_caller(
            Rc::clone(&gateway),
            leave_signal.clone(),
            request,
            body_limit,
        )
    };
    let accept_task = actix_rt::spawn(http::serve(
        caller_listener,
        limits(),
        caller_connections.clone(),
        handler,
    ));
    Ok(ListenerSet {
        accept_task,
        caller_connections,
        peer_connections,
    })
}

/// Creates the service behind the operator listener.
///
/// # Errors
///
/// Returns an error if a service is missing from the registry.
fn operator_service(registry: &ServiceRegistry, leave: &LeaveSignal) -> Result<OperatorService> {
    Ok(OperatorService {
        identity: registry.find(identity::SERVICE)?,
        feed: registry.find(feed::SERVICE)?,
        lease: registry.find(lease::SERVICE)?,
        gate: registry.find(gate::SERVICE)?,
        metrics: registry.find(metrics::SERVICE)?,
        leave: leave.clone(),
    })
}

/// Creates the handler of other agents' RPC calls.
///
/// # Errors
///
/// Returns an error if a service is missing from the registry.
fn peer_handler(registry: &ServiceRegistry) -> Result<Rc<dyn Fn(PeerCall) -> Value>> {
    let feed = registry.find::<FeedService>(feed::SERVICE)?;
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let gossip = registry.find::<GossipService>(gossip::SERVICE)?;
    Ok(Rc::new(move |call| match call {
        PeerCall::Renew(renewal) => to_value(&leases.on_renewal(renewal)),
        PeerCall::Pull(pull) => to_value(&feed.batch_after(pull.after)),
        PeerCall::Offer(offer) => {
            gossip.on_revision(&offer.from, offer.revision);
            Value::Bool(true)
        }
        PeerCall::Vote(vote) => {
            controller.step(ControlEvent::Vote(vote));
            Value::Bool(true)
        }
        PeerCall::Report(report) => {
            controller.step(ControlEvent::Report(report));
            Value::Bool(true)
        }
        PeerCall::Release(notice) => {
            controller.step(ControlEvent::Released(notice));
            Value::Bool(true)
        }
        PeerCall::Handover(handover) => {
            gate.on_handover(handover);
            Value::Bool(true)
        }
    }))
}

/// Converts a message to JSON.
fn to_value(message: &impl serde::Serialize) -> Value {
    serde_json::to_value(message).unwrap_or_default()
}

/// Answers a caller's request.
async fn serve_caller(
    gateway: Rc<GatewayService>,
    leave: LeaveSignal,
    request: Request,
    body_limit: usize,
) -> Answer {
    let id = request_id(&request);
    let read = read_exchange(request, Name::clone(&id), body_limit).await;
    // Unread bytes of a refused request must not be parsed as the next request, so the connection is closed.
    let is_unreadable = read.is_err();
    let reply = match read {
        Ok(exchange) => gateway.handle(exchange).await,
        Err(refusal) => ExchangeReply::Refused(refusal),
    };
    reply.into_answer(&id, is_unreadable || leave.is_closing())
}

/// Answers a request that another agent forwarded.
async fn serve_forward(gate: Rc<GateService>, request: Request, body_limit: usize) -> Answer {
    let id = request_id(&request);
    let read = read_exchange(request, Name::clone(&id), body_limit).await;
    let is_unreadable = read.is_err();
    let reply = match read {
        Ok(exchange) => {
            let left_ms = exchange.timeout_ms.unwrap_or_default();
            let deadline = clock::now().plus(left_ms);
            gate.handle(Rc::new(exchange), deadline).await
        }
        Err(refusal) => ExchangeReply::Refused(refusal),
    };
    let mut answer = reply.into_answer(&id, is_unreadable);
    let load = HeaderValue::from(gate.load());
    answer
        .headers_mut()
        .insert(HeaderName::from_static(IN_FLIGHT_HEADER), load);
    answer
}

/// Reads a request with its complete body.
///
/// # Errors
///
/// Returns a refusal if the head is invalid, or if the body is too large or truncated.
async fn read_exchange(
    mut request: Request,
    id: Name,
    body_limit: usize,
) -> std::result::Result<RequestExchange, Refusal> {
    let exchange = RequestExchange::new(&request, id, clock::wall_now())?;
    let body = http::read_body(&mut request, body_limit).await;
    let body = body.map_err(|error| {
        let kind = match error {
            BodyError::TooLarge { .. } => RefusalKind::BodyTooLarge,
            BodyError::Truncated { .. } => RefusalKind::BadRequest,
        };
        Refusal::new(kind, error.to_string())
    })?;
    Ok(exchange.with_body(body))
}
