//! The agent's background tasks: tickers, reports, watches of the store and handling of signals.

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

/// Interval between checks of whether this agent may be the controller, in milliseconds.
const ELIGIBILITY_CHECK_INTERVAL_MS: u64 = 200;

/// Starts all background tasks.
///
/// # Errors
///
/// Returns an error if a service is not registered.
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
    let own_member = registry.find::<MemberService>(member::SERVICE)?;
    actix_rt::spawn(async move { own_member.run().await });
    let gossip = registry.find::<GossipService>(gossip::SERVICE)?;
    actix_rt::spawn(async move { gossip.run().await });
    let announcements = registry.find::<BackendService>(backend::SERVICE)?;
    actix_rt::spawn(announcements.watch_overdue());
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
        actix_rt::spawn(leave_on_signal(kind, leave.clone()));
    }
    Ok(())
}

/// Notifies the election of whether this agent may be the controller: it has to read the store, be a member
/// and not be leaving. Never returns.
///
/// A lease is not required: otherwise a starting fleet would never get a controller. It is not needed for
/// safety either, since every write of the controller is a compare-and-swap under its term.
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
        sleep(Duration::from_millis(ELIGIBILITY_CHECK_INTERVAL_MS)).await;
    }
}

/// Starts the tickers of the services that need ticks.
///
/// # Errors
///
/// Returns an error if a service is not registered.
fn start_tickers(registry: &ServiceRegistry) -> Result<()> {
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let next = Rc::clone(&leases);
    spawn_ticker(
        leases.wake(),
        move || next.next_tick(),
        move || leases.tick(),
    );
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let next = Rc::clone(&gate);
    spawn_ticker(
        gate.wake(),
        move || next.next_tick(),
        move || gate.step(GateEvent::Tick),
    );
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let next = Rc::clone(&gateway);
    spawn_ticker(
        gateway.wake(),
        move || next.next_tick(),
        move || gateway.step(RouteEvent::Tick),
    );
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let next = Rc::clone(&controller);
    spawn_ticker(
        controller.wake(),
        move || next.next_tick(),
        move || {
            controller.step(ControlEvent::Tick);
        },
    );
    let candidate = registry.find::<ElectionService>(election::SERVICE)?;
    let next = Rc::clone(&candidate);
    spawn_ticker(
        candidate.wake(),
        move || next.next_tick(),
        move || {
            candidate.step(jy_control::election::ElectionEvent::Tick);
        },
    );
    Ok(())
}

/// Spawns one ticker.
fn spawn_ticker(wake: TickerWake, next: impl Fn() -> Millis + 'static, tick: impl Fn() + 'static) {
    actix_rt::spawn(timer::run(wake, next, tick));
}

/// Waits for a signal of one kind, then makes the agent leave.
async fn leave_on_signal(kind: SignalKind, leave: LeaveSignal) {
    match signal(kind) {
        Ok(mut stream) => {
            stream.recv().await;
            leave.raise();
        }
        Err(error) => log::warn!("could not install the handler of a termination signal: {error}"),
    }
}
