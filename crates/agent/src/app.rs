//! Starts the services of an agent, ties them together by name and stops them.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_rt::task::JoinHandle;
use anyhow::Result;
use jy_config::agent::AgentSettings;
use jy_control::api::ControlEvent;
use jy_control::api::ControlSettings;
use jy_gate::api::GateEvent;
use jy_kernel::clock;
use jy_kernel::registry::ServiceRegistry;
use jy_lease::timing::LeaseTiming;
use jy_route::api::RouteEvent;
use jy_store::client::StoreClient;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::request::IN_FLIGHT_HEADER;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::time::Millis;
use serde_json::Value;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use crate::backend;
use crate::backend::BackendService;
use crate::control;
use crate::control::ControlService;
use crate::election;
use crate::election::ElectionService;
use crate::exchange::ExchangeReply;
use crate::exchange::RequestExchange;
use crate::feed;
use crate::feed::FeedService;
use crate::gate;
use crate::gate::GateService;
use crate::gateway;
use crate::gateway::GatewayService;
use crate::http;
use crate::http::Answer;
use crate::http::BodyError;
use crate::identity;
use crate::identity::AgentIdentity;
use crate::lease;
use crate::lease::LeaseService;
use crate::member;
use crate::member::MemberService;
use crate::metrics;
use crate::metrics::AgentMetrics;
use crate::operator;
use crate::operator::OperatorService;
use crate::peers;
use crate::peers::PeerService;
use crate::report::ReportService;
use crate::rpc;
use crate::rpc::PeerCall;
use crate::shutdown;
use crate::shutdown::LeaveSignal;
use crate::spread;
use crate::spread::SpreadService;
use crate::timer;
use crate::timer::TickerWake;
use crate::tracing;
use crate::tracing::TraceTap;

/// Wait between two looks at whether this agent may be the controller, in milliseconds.
const ELIGIBLE_LOOK_MS: u64 = 200;

/// Time between looks for a verdict on this agent, in milliseconds.
const VERDICT_LOOK_MS: u64 = 100;

/// Connections to the backend server.
const BACKEND_CONNECTIONS: usize = 100;

/// How a run of an agent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It was told to leave and has left.
    Left,
    /// A verdict declared this incarnation dead while its process lived: a new one may join.
    Condemned,
}

/// Runs an agent until it has left or was declared dead.
///
/// # Errors
///
/// If an address can't be listened on.
pub async fn run(settings: AgentSettings) -> Result<RunEnd> {
    let settings = Rc::new(settings);
    let registry = ServiceRegistry::new();
    let leave = LeaveSignal::new();
    provide_all(&registry, &settings)?;
    tie_views(&registry)?;
    tie_leases(&registry)?;
    let caller = start_listeners(&registry, &settings, &leave).await?;
    start_tasks(&registry, &settings, &leave)?;
    log::info!("agent {} started", settings.name);

    let id = registry
        .find::<AgentIdentity>(identity::SERVICE)?
        .id
        .clone();
    let feed = registry.find::<FeedService>(feed::SERVICE)?;
    tokio::select! {
        () = leave.wait() => {}
        () = condemned(&feed, &id) => {
            log::warn!("agent {id} was declared dead; joining as a new incarnation");
            return Ok(RunEnd::Condemned);
        }
    }
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let stop_accepting = || caller.abort();
    shutdown::leave(&leave, &id, &feed, &gate, &gateway, stop_accepting).await;
    Ok(RunEnd::Left)
}

/// Waits until the records say that an incarnation is dead.
async fn condemned(feed: &FeedService, id: &AgentId) {
    let is_dead = || {
        let view = feed.view();
        view.member(id)
            .is_some_and(|own| own.state == MemberState::Dead)
    };
    while !is_dead() {
        sleep(Duration::from_millis(VERDICT_LOOK_MS)).await;
    }
}

/// Makes the services.
///
/// # Errors
///
/// If a name is taken.
fn provide_all(registry: &ServiceRegistry, settings: &Rc<AgentSettings>) -> Result<()> {
    let identity = Rc::new(AgentIdentity::new(Rc::clone(settings)));
    let id = identity.id.clone();
    let store = StoreClient::new(&settings.store.to_string());
    let folder = settings.trace_dir.as_deref().map(PathBuf::from);
    let tap = Rc::new(TraceTap::new(folder, settings.name.clone()));
    let timing = LeaseTiming {
        ttl_ms: settings.lease.ttl_ms,
        renew_every_ms: settings.lease.renew_every_ms,
        ..LeaseTiming::default()
    };
    let control_settings = ControlSettings {
        lease: timing,
        ..ControlSettings::default()
    };
    let feed = Rc::new(FeedService::new());
    let peers = Rc::new(PeerService::new());
    let counters = Rc::new(AgentMetrics::new(identity.started));
    let gate = Rc::new(GateService::new(
        id.clone(),
        BACKEND_CONNECTIONS,
        Rc::clone(&tap),
    ));
    let gateway = GatewayService::new(id.clone(), Rc::clone(&gate), Rc::clone(&counters));
    let leases = LeaseService::new(
        id.clone(),
        timing,
        Rc::clone(&feed),
        Rc::clone(&peers),
        Rc::clone(&tap),
    );
    let controller = ControlService::new(
        id.clone(),
        control_settings,
        Rc::clone(&feed),
        store.clone(),
        Rc::clone(&peers),
        Rc::clone(&tap),
    );
    let candidate = ElectionService::new(id.clone(), Rc::clone(&feed), store.clone());
    let own = Rc::new(MemberService::new(
        Rc::clone(&identity),
        Rc::clone(&feed),
        store.clone(),
    ));
    let announcements = BackendService::new(Rc::clone(&gate), Rc::clone(&own));
    let spreader = SpreadService::new(id, Rc::clone(&feed), Rc::clone(&peers));

    registry.provide(identity::SERVICE, identity)?;
    registry.provide(tracing::SERVICE, tap)?;
    registry.provide(STORE_SERVICE, Rc::new(store))?;
    registry.provide(feed::SERVICE, feed)?;
    registry.provide(peers::SERVICE, peers)?;
    registry.provide(metrics::SERVICE, counters)?;
    registry.provide(gate::SERVICE, gate)?;
    registry.provide(gateway::SERVICE, Rc::new(gateway))?;
    registry.provide(lease::SERVICE, Rc::new(leases))?;
    registry.provide(control::SERVICE, Rc::new(controller))?;
    registry.provide(election::SERVICE, Rc::new(candidate))?;
    registry.provide(member::SERVICE, own)?;
    registry.provide(backend::SERVICE, Rc::new(announcements))?;
    registry.provide(spread::SERVICE, Rc::new(spreader))?;
    Ok(())
}

/// Name of the store's client.
const STORE_SERVICE: &str = "store";

/// Ties the services to changes of the records.
///
/// # Errors
///
/// If a service is missing.
fn tie_views(registry: &ServiceRegistry) -> Result<()> {
    let feed = registry.find::<FeedService>(feed::SERVICE)?;
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let candidate = registry.find::<ElectionService>(election::SERVICE)?;
    let own = registry.find::<MemberService>(member::SERVICE)?;
    let spreader = registry.find::<SpreadService>(spread::SERVICE)?;
    feed.listen(Rc::new(move |view, changed| {
        leases.on_view(view);
        gate.on_view(view);
        gateway.on_view(view);
        controller.on_records(changed);
        candidate.on_view();
        own.on_view();
        spreader.on_view(view);
    }));
    Ok(())
}

/// Ties the leases, the controller's role, releases and pulls.
///
/// # Errors
///
/// If a service is missing.
fn tie_leases(registry: &ServiceRegistry) -> Result<()> {
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let candidate = registry.find::<ElectionService>(election::SERVICE)?;
    let spreader = registry.find::<SpreadService>(spread::SERVICE)?;

    let listener = Rc::clone(&gate);
    leases.listen(Rc::new(move |until| listener.on_lease(until)));
    let voter = Rc::clone(&controller);
    leases.on_vote(Rc::new(move |target| voter.send_vote(target)));
    let puller = Rc::clone(&spreader);
    leases.on_revision(Rc::new(move |from, revision| {
        puller.on_revision(from, revision);
    }));
    gateway.on_pull(Rc::new(move || spreader.pull_any()));
    let role = Rc::clone(&controller);
    candidate.on_role(Rc::new(move |term| role.on_role(term)));
    let owner = Rc::downgrade(&gate);
    gate.on_release(Rc::new(move |units, entries| {
        let service = owner.upgrade().and_then(|gate| gate.service());
        if let Some(service) = service {
            controller.release(service, units, entries);
        }
    }));
    Ok(())
}

/// Starts the listeners and returns the callers' accept loop.
///
/// # Errors
///
/// If an address can't be listened on.
async fn start_listeners(
    registry: &ServiceRegistry,
    settings: &Rc<AgentSettings>,
    leave: &LeaveSignal,
) -> Result<JoinHandle<()>> {
    let listen = &settings.listen;
    let caller = http::bind("listen.caller", listen.caller).await?;
    let forward = http::bind("listen.peer_forward", listen.peer_forward).await?;
    let announce = http::bind("listen.backend", listen.backend).await?;
    let operators = http::bind("listen.operator", listen.operator).await?;
    // The listener stops when its handle is dropped.
    let handle = rpc::start(listen.peer_rpc, peer_handler(registry)?).await?;
    registry.provide(rpc::SERVICE, Rc::new(handle))?;

    let limits = || settings.limits.clone();
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let body_limit = settings.limits.body_bytes;
    actix_rt::spawn(http::serve(forward, limits(), move |request| {
        serve_forward(Rc::clone(&gate), request, body_limit)
    }));
    let announcements = registry.find::<BackendService>(backend::SERVICE)?;
    actix_rt::spawn(http::serve(announce, limits(), move |request| {
        Rc::clone(&announcements).handle(request)
    }));
    let operator = Rc::new(operator_service(registry, leave)?);
    registry.provide(operator::SERVICE, Rc::clone(&operator))?;
    actix_rt::spawn(http::serve(operators, limits(), move |request: Request| {
        let operator = Rc::clone(&operator);
        async move { operator.handle(&request) }
    }));
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let closing = leave.clone();
    Ok(actix_rt::spawn(http::serve(
        caller,
        limits(),
        move |request| serve_caller(Rc::clone(&gateway), closing.clone(), request, body_limit),
    )))
}

/// Makes the operators' service.
///
/// # Errors
///
/// If a service is missing.
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

/// Starts what runs by itself.
///
/// # Errors
///
/// If a service is missing.
fn start_tasks(
    registry: &ServiceRegistry,
    settings: &Rc<AgentSettings>,
    leave: &LeaveSignal,
) -> Result<()> {
    let id = registry
        .find::<AgentIdentity>(identity::SERVICE)?
        .id
        .clone();
    let store = registry.find::<StoreClient>(STORE_SERVICE)?;
    let feed = registry.find::<FeedService>(feed::SERVICE)?;
    actix_rt::spawn(feed::watch_store(
        Rc::clone(&feed),
        StoreClient::clone(&store),
        id.clone(),
        settings.watch_store,
    ));
    start_tickers(registry)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    actix_rt::spawn(gate.tell_clock());
    let own = registry.find::<MemberService>(member::SERVICE)?;
    actix_rt::spawn(async move { own.run().await });
    let spreader = registry.find::<SpreadService>(spread::SERVICE)?;
    actix_rt::spawn(async move { spreader.run().await });
    let announcements = registry.find::<BackendService>(backend::SERVICE)?;
    actix_rt::spawn(announcements.watch_late());
    let candidate = registry.find::<ElectionService>(election::SERVICE)?;
    actix_rt::spawn(Rc::clone(&candidate).watch_alive());
    let reports = ReportService {
        id: id.clone(),
        feed: Rc::clone(&feed),
        lease: registry.find(lease::SERVICE)?,
        gate: registry.find(gate::SERVICE)?,
        control: registry.find(control::SERVICE)?,
        leave: leave.clone(),
    };
    actix_rt::spawn(async move { reports.run().await });
    actix_rt::spawn(tell_eligible(candidate, feed, id, leave.clone()));
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        actix_rt::spawn(raise_on(kind, leave.clone()));
    }
    Ok(())
}

/// Tells the election whether this agent may be the controller: it reads the store, is a member and
/// does not leave. It needs no lease, or a fleet that starts would never get a controller; every
/// write is a compare-and-swap under the term. Never returns.
async fn tell_eligible(
    candidate: Rc<ElectionService>,
    feed: Rc<FeedService>,
    id: AgentId,
    leave: LeaveSignal,
) {
    loop {
        let member = feed
            .view()
            .member(&id)
            .is_some_and(|own| !own.state.is_over());
        candidate.set_eligible(member && feed.is_watching() && !leave.is_raised());
        sleep(Duration::from_millis(ELIGIBLE_LOOK_MS)).await;
    }
}

/// Starts the tickers of the decisions.
///
/// # Errors
///
/// If a service is missing.
fn start_tickers(registry: &ServiceRegistry) -> Result<()> {
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let next = Rc::clone(&leases);
    ticker(
        leases.wake(),
        move || next.next_tick(),
        move || leases.tick(),
    );
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let next = Rc::clone(&gate);
    ticker(
        gate.wake(),
        move || next.next_tick(),
        move || gate.step(GateEvent::Tick),
    );
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let next = Rc::clone(&gateway);
    ticker(
        gateway.wake(),
        move || next.next_tick(),
        move || gateway.step(RouteEvent::Tick),
    );
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let next = Rc::clone(&controller);
    ticker(
        controller.wake(),
        move || next.next_tick(),
        move || {
            controller.step(ControlEvent::Tick);
        },
    );
    let candidate = registry.find::<ElectionService>(election::SERVICE)?;
    let next = Rc::clone(&candidate);
    ticker(
        candidate.wake(),
        move || next.next_tick(),
        move || {
            candidate.step(jy_control::election::ElectionEvent::Tick);
        },
    );
    Ok(())
}

/// Starts one ticker.
fn ticker(wake: TickerWake, next: impl Fn() -> Millis + 'static, tick: impl Fn() + 'static) {
    actix_rt::spawn(timer::run(wake, next, tick));
}

/// Makes the agent leave on a signal.
async fn raise_on(kind: SignalKind, leave: LeaveSignal) {
    match signal(kind) {
        Ok(mut stream) => {
            stream.recv().await;
            leave.raise();
        }
        Err(error) => log::warn!("signals are not handled: {error}"),
    }
}

/// Makes the handler of other agents' calls.
///
/// # Errors
///
/// If a service is missing.
fn peer_handler(registry: &ServiceRegistry) -> Result<Rc<dyn Fn(PeerCall) -> Value>> {
    let feed = registry.find::<FeedService>(feed::SERVICE)?;
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let spreader = registry.find::<SpreadService>(spread::SERVICE)?;
    Ok(Rc::new(move |call| match call {
        PeerCall::Renew(renewal) => to_value(&leases.on_renewal(renewal)),
        PeerCall::Pull(pull) => to_value(&feed.batch_after(pull.after)),
        PeerCall::Offer(offer) => {
            spreader.on_revision(&offer.from, offer.revision);
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

/// Writes a message as JSON.
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
    let reply = match read_exchange(request, body_limit).await {
        Ok(exchange) => {
            let id = exchange.request_id.clone();
            let reply = gateway.handle(exchange).await;
            return reply.into_answer(&id, leave.is_closing());
        }
        Err(refusal) => ExchangeReply::Refused(refusal),
    };
    reply.into_answer("", true)
}

/// Answers a request that another agent forwarded.
async fn serve_forward(gate: Rc<GateService>, request: Request, body_limit: usize) -> Answer {
    let (id, reply) = match read_exchange(request, body_limit).await {
        Ok(exchange) => {
            let id = exchange.request_id.clone();
            let left_ms = exchange.timeout_ms.unwrap_or_default();
            let deadline = clock::now().plus(left_ms);
            (id, gate.handle(Rc::new(exchange), deadline).await)
        }
        Err(refusal) => ("".into(), ExchangeReply::Refused(refusal)),
    };
    let mut answer = reply.into_answer(&id, false);
    let load = HeaderValue::from(gate.load());
    answer
        .headers_mut()
        .insert(HeaderName::from_static(IN_FLIGHT_HEADER), load);
    answer
}

/// Reads a request whole.
///
/// # Errors
///
/// A refusal that tells what is wrong.
async fn read_exchange(
    mut request: Request,
    body_limit: usize,
) -> std::result::Result<RequestExchange, Refusal> {
    let exchange = RequestExchange::new(&request, clock::wall_now())?;
    let body = http::read_body(&mut request, body_limit).await;
    let body = body.map_err(|error| {
        let kind = match error {
            BodyError::TooLarge { .. } => RefusalKind::BodyTooLarge,
            BodyError::Cut { .. } => RefusalKind::BadRequest,
        };
        Refusal::new(kind, error.to_string())
    })?;
    Ok(exchange.with_body(body))
}
