//! Creates the services of an agent, runs them and shuts them down.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use jy_config::agent::AgentSettings;
use jy_control::api::ControlSettings;
use jy_kernel::registry::ServiceRegistry;
use jy_lease::timing::LeaseTiming;
use jy_store::client::StoreClient;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use tokio::time::sleep;

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
use crate::listeners;
use crate::member;
use crate::member::MemberService;
use crate::metrics;
use crate::metrics::AgentMetrics;
use crate::peers;
use crate::peers::PeerService;
use crate::shutdown;
use crate::shutdown::LeaveSignal;
use crate::tasks;
use crate::tracing;
use crate::tracing::TraceWriters;
use crate::wiring;

/// Time between checks whether the records declare this agent dead, in milliseconds.
const DEAD_CHECK_INTERVAL_MS: u64 = 100;

const MAX_BACKEND_CONNECTIONS: usize = 100;

/// Outcome of running an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The agent was asked to leave and has shut down.
    Left,
    /// This incarnation was declared dead while its process was running. A new incarnation may join.
    DeclaredDead,
}

/// Runs an agent until it has left or was declared dead.
///
/// # Errors
///
/// Returns an error if an address can't be bound, or if a service is missing or registered twice.
pub async fn run(settings: AgentSettings) -> Result<RunOutcome> {
    let settings = Rc::new(settings);
    let registry = ServiceRegistry::new();
    let leave = LeaveSignal::new();
    register_services(&registry, &settings)?;
    wiring::connect_views(&registry)?;
    wiring::connect_leases(&registry)?;
    let listeners = listeners::start_listeners(&registry, &settings, &leave).await?;
    tasks::start_tasks(&registry, &settings, &leave)?;
    log::info!("agent {} started", settings.name);

    let id = registry
        .find::<AgentIdentity>(identity::SERVICE)?
        .id
        .clone();
    let feed = registry.find::<FeedService>(feed::SERVICE)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let outcome = tokio::select! {
        () = leave.wait() => {
            shutdown::hand_over(&id, &feed).await;
            RunOutcome::Left
        }
        () = wait_until_declared_dead(&feed, &id) => {
            log::warn!("agent {id} was declared dead; joining as a new incarnation");
            RunOutcome::DeclaredDead
        }
    };
    shutdown::close(&leave, &listeners, &gate, &gateway).await;
    Ok(outcome)
}

/// Waits until the records declare an incarnation dead.
async fn wait_until_declared_dead(feed: &FeedService, id: &AgentId) {
    let is_dead = || {
        let view = feed.view();
        view.member(id)
            .is_some_and(|member| member.state == MemberState::Dead)
    };
    while !is_dead() {
        sleep(Duration::from_millis(DEAD_CHECK_INTERVAL_MS)).await;
    }
}

/// Creates the services and registers them.
///
/// # Errors
///
/// Returns an error if a service of the same name is already registered.
fn register_services(registry: &ServiceRegistry, settings: &Rc<AgentSettings>) -> Result<()> {
    let identity = Rc::new(AgentIdentity::new(Rc::clone(settings)));
    let id = identity.id.clone();
    let store = StoreClient::new(&settings.store.to_string());
    let trace_dir = settings.trace_dir.as_deref().map(PathBuf::from);
    let traces = Rc::new(TraceWriters::new(trace_dir, settings.name.clone()));
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
    let agent_metrics = Rc::new(AgentMetrics::new(identity.started));
    let gate = Rc::new(GateService::new(
        id.clone(),
        MAX_BACKEND_CONNECTIONS,
        Rc::clone(&traces),
    ));
    let gateway = GatewayService::new(id.clone(), Rc::clone(&gate), Rc::clone(&agent_metrics));
    let leases = LeaseService::new(
        id.clone(),
        timing,
        Rc::clone(&feed),
        Rc::clone(&peers),
        Rc::clone(&traces),
    );
    let controller = ControlService::new(
        id.clone(),
        control_settings,
        Rc::clone(&feed),
        store.clone(),
        Rc::clone(&peers),
        Rc::clone(&traces),
    );
    let election_service = ElectionService::new(id.clone(), Rc::clone(&feed), store.clone());
    let member_service = Rc::new(MemberService::new(
        Rc::clone(&identity),
        Rc::clone(&feed),
        store.clone(),
    ));
    let backend_service = BackendService::new(Rc::clone(&gate), Rc::clone(&member_service));
    let gossip = GossipService::new(id, Rc::clone(&feed), Rc::clone(&peers));

    registry.register(identity::SERVICE, identity)?;
    registry.register(tracing::SERVICE, traces)?;
    registry.register(STORE_SERVICE, Rc::new(store))?;
    registry.register(feed::SERVICE, feed)?;
    registry.register(peers::SERVICE, peers)?;
    registry.register(metrics::SERVICE, agent_metrics)?;
    registry.register(gate::SERVICE, gate)?;
    registry.register(gateway::SERVICE, Rc::new(gateway))?;
    registry.register(lease::SERVICE, Rc::new(leases))?;
    registry.register(control::SERVICE, Rc::new(controller))?;
    registry.register(election::SERVICE, Rc::new(election_service))?;
    registry.register(member::SERVICE, member_service)?;
    registry.register(backend::SERVICE, Rc::new(backend_service))?;
    registry.register(gossip::SERVICE, Rc::new(gossip))?;
    Ok(())
}

/// Name of the store client in the registry.
pub const STORE_SERVICE: &str = "store";
