//! What an agent does by itself: tickers, reports, watches and signals.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use jy_config::agent::AgentSettings;
use jy_control::api::ControlEvent;
use jy_gate::api::GateEvent;
use jy_kernel::registry::ServiceRegistry;
use jy_route::api::RouteEvent;
use jy_store::client::StoreClient;
use jy_types::member::AgentId;
use jy_types::time::Millis;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use crate::app::STORE_SERVICE;
use crate::backend;
use crate::backend::BackendService;
use crate::control;
use crate::control::ControlService;
use crate::election;
use crate::election::ElectionService;
use crate::feed;
use crate::feed::FeedService;
use crate::gate;
use crate::gate::GateService;
use crate::gateway;
use crate::gateway::GatewayService;
use crate::gossip;
use crate::gossip::GossipService;
use crate::identity;
use crate::identity::AgentIdentity;
use crate::lease;
use crate::lease::LeaseService;
use crate::member;
use crate::member::MemberService;
use crate::own_record;
use crate::report::ReportService;
use crate::shutdown::LeaveSignal;
use crate::timer;
use crate::timer::TickerWake;

/// Wait between two looks at whether this agent may be the controller, in milliseconds.
const ELIGIBLE_LOOK_MS: u64 = 200;

/// Starts what runs by itself.
///
/// # Errors
///
/// If a service is missing.
pub fn start_tasks(
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
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let reader = StoreClient::clone(&store);
    actix_rt::spawn(own_record::watch(leases, reader, id.clone()));
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    actix_rt::spawn(gate.publish_clock());
    let own = registry.find::<MemberService>(member::SERVICE)?;
    actix_rt::spawn(async move { own.run().await });
    let gossip = registry.find::<GossipService>(gossip::SERVICE)?;
    actix_rt::spawn(async move { gossip.run().await });
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
    actix_rt::spawn(notify_eligible(candidate, feed, id, leave.clone()));
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        actix_rt::spawn(raise_on(kind, leave.clone()));
    }
    Ok(())
}

/// Tells the election whether this agent may be the controller: it reads the store, is a member and
/// does not leave. It needs no lease, or a fleet that starts would never get a controller; every
/// write is a compare-and-swap under the term. Never returns.
async fn notify_eligible(
    candidate: Rc<ElectionService>,
    feed: Rc<FeedService>,
    id: AgentId,
    leave: LeaveSignal,
) {
    loop {
        let member = feed
            .view()
            .member(&id)
            .is_some_and(|own| !own.state.has_ended());
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
