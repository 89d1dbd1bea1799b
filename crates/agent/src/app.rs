//! Starts the services of an agent and stops them.

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

/// Time between looks for a verdict on this agent, in milliseconds.
const VERDICT_LOOK_MS: u64 = 100;

/// Connections to the backend server.
const BACKEND_CONNECTIONS: usize = 100;

/// How a run of an agent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
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
pub async fn run(settings: AgentSettings) -> Result<RunOutcome> {
    let settings = Rc::new(settings);
    let registry = ServiceRegistry::new();
    let leave = LeaveSignal::new();
    provide_all(&registry, &settings)?;
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
    let end = tokio::select! {
        () = leave.wait() => {
            shutdown::hand_over(&id, &feed).await;
            RunOutcome::Left
        }
        () = condemned(&feed, &id) => {
            log::warn!("agent {id} was declared dead; joining as a new incarnation");
            RunOutcome::Condemned
        }
    };
    shutdown::close(&leave, &listeners, &gate, &gateway).await;
    Ok(end)
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
    let tap = Rc::new(TraceWriters::new(folder, settings.name.clone()));
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
    let gossip = GossipService::new(id, Rc::clone(&feed), Rc::clone(&peers));

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
    registry.provide(gossip::SERVICE, Rc::new(gossip))?;
    Ok(())
}

/// Name of the store's client.
pub const STORE_SERVICE: &str = "store";
