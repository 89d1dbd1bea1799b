//! Plans of test fleets, among them the two reference deployments at their sizes.

use std::sync::Arc;

use jy_types::member::Place;
use jy_types::name::Name;
use jy_types::workspace::RouteRule;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::ServiceTarget;
use jy_types::workspace::Urgency;
use jy_types::workspace::WorkspaceRecord;

/// Workspace of the Seal Registry of the Association.
pub const SEAL_REGISTRY_WORKSPACE: &str = "seal-registry";
/// Workspace of Chalkline, the system of the Chalk Division.
pub const CHALKLINE_WORKSPACE: &str = "chalkline";
/// The keyed service of the Seal Registry.
pub const VERIFIER_SERVICE: &str = "verifier";
/// The keyed service of Chalkline.
pub const STOCKDESK_SERVICE: &str = "stockdesk";
/// Path prefix of non-idempotent POST requests.
pub const REGISTER_PATH: &str = "/register";

const SEAL_REGISTRY_SLOTS: u32 = 6;
const CHALKLINE_SLOTS: u32 = 9;
/// Connections that each backend server accepts.
const MAX_BACKEND_CONNECTIONS: u32 = 110;
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// An agent and its local backend server.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// The agent's name.
    pub name: Name,
    /// Region, availability zone and rack of the instance.
    pub place: Place,
    /// The backend server; none if only an agent runs.
    pub backend: Option<BackendPlan>,
}

/// Service and settings of one backend server.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    /// Workspace that it serves.
    pub workspace: Name,
    /// Service that it serves.
    pub service: Name,
    /// Number of requests that it handles concurrently when warm.
    pub slots: u32,
    /// Whether it refuses requests with a lower fence than one seen for the same unit.
    pub checks_fence: bool,
    /// Processing time of a request, in milliseconds.
    pub work_ms: u64,
    /// Time from start until it is warm, in milliseconds.
    pub cold_ms: u64,
}

/// All nodes and workspaces of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetPlan {
    /// Agents with their backend servers.
    pub nodes: Vec<NodePlan>,
    /// Workspaces to write to the store.
    pub workspaces: Vec<WorkspaceRecord>,
}

impl FleetPlan {
    /// Creates an empty plan.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a workspace, and one node for each backend server of its services. `counts` gives the number of
    /// backend servers by service. The nodes are assigned to the workspace's availability zones in turn.
    #[must_use]
    pub fn with_workspace(
        mut self,
        region: &str,
        workspace: WorkspaceRecord,
        counts: &[(&str, usize)],
    ) -> Self {
        let mut index = 0;
        for (service, count) in counts {
            for number in 0..*count {
                let zone = &workspace.zones[index % workspace.zones.len()];
                let spec = workspace.service(service);
                let backend = BackendPlan {
                    workspace: Name::clone(&workspace.name),
                    service: (*service).into(),
                    slots: spec.map_or(1, |spec| spec.slots),
                    checks_fence: false,
                    work_ms: 2,
                    cold_ms: 0,
                };
                self.nodes.push(NodePlan {
                    name: format!("{service}-{number}").into(),
                    place: place(region, zone, index),
                    backend: Some(backend),
                });
                index += 1;
            }
        }
        self.workspaces.push(workspace);
        self
    }

    /// Adds `count` agents without a backend server, assigned to the availability zones in turn.
    #[must_use]
    pub fn with_agents(mut self, region: &str, zones: &[Name], count: usize) -> Self {
        for index in 0..count {
            let zone = &zones[index % zones.len()];
            self.nodes.push(NodePlan {
                name: format!("agent-{index}").into(),
                place: place(region, zone, index),
                backend: None,
            });
        }
        self
    }
}

/// Returns the place of the `index`-th instance. Each availability zone has four racks.
fn place(region: &str, zone: &Name, index: usize) -> Place {
    Place {
        region: region.into(),
        zone: Name::clone(zone),
        rack: format!("{zone}-rack-{}", index % 4).into(),
    }
}

/// Returns both reference deployments: ten agents in Kingston and nine in Khomas.
#[must_use]
pub fn both_deployments() -> FleetPlan {
    with_seal_registry(FleetPlan::new()).with_workspace(
        "khomas",
        chalkline_record(),
        &CHALKLINE_BACKENDS,
    )
}

/// Number of backend servers of Chalkline, by service.
const CHALKLINE_BACKENDS: [(&str, usize); 3] =
    [(STOCKDESK_SERVICE, 3), ("orderbook", 3), ("cataloguer", 3)];

/// Number of backend servers of the Seal Registry, by service.
const SEAL_REGISTRY_BACKENDS: [(&str, usize); 3] =
    [(VERIFIER_SERVICE, 4), ("registry", 3), ("catalogue", 3)];

/// Adds the Seal Registry to a plan.
#[must_use]
pub fn with_seal_registry(plan: FleetPlan) -> FleetPlan {
    plan.with_workspace("kingston", seal_registry_record(), &SEAL_REGISTRY_BACKENDS)
}

/// Returns the configuration of the Seal Registry.
#[must_use]
pub fn seal_registry_record() -> WorkspaceRecord {
    let service = |name, keyed| service(name, keyed, SEAL_REGISTRY_SLOTS, 0);
    WorkspaceRecord {
        name: SEAL_REGISTRY_WORKSPACE.into(),
        zones: zones("kingston"),
        zones_out: Vec::new(),
        services: vec![
            service(VERIFIER_SERVICE, true),
            service("registry", false),
            service("catalogue", false),
        ],
        token: 1,
        accepted: None,
    }
}

/// Returns the configuration of Chalkline.
#[must_use]
pub fn chalkline_record() -> WorkspaceRecord {
    let service = |name, keyed| service(name, keyed, CHALKLINE_SLOTS, 6);
    WorkspaceRecord {
        name: CHALKLINE_WORKSPACE.into(),
        zones: zones("khomas"),
        zones_out: Vec::new(),
        services: vec![
            service(STOCKDESK_SERVICE, true),
            service("orderbook", false),
            service("cataloguer", false),
        ],
        token: 2,
        accepted: None,
    }
}

/// Returns the names of a region's three availability zones.
fn zones(region: &str) -> Vec<Name> {
    ["a", "b", "c"]
        .iter()
        .map(|zone| format!("{region}-{zone}").into())
        .collect()
}

/// Returns a service with the routes and the target that all services share.
fn service(name: &str, keyed: bool, slots: u32, probe_cost_ms: u64) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        keyed,
        slots,
        connections: MAX_BACKEND_CONNECTIONS,
        probe_cost_ms,
        timeout_ms: REQUEST_TIMEOUT_MS,
        routes: vec![
            route_rule("POST", REGISTER_PATH, false, Urgency::Urgent),
            route_rule("GET", "/archive", true, Urgency::Deferrable),
            route_rule("GET", "/", true, Urgency::Normal),
            route_rule("POST", "/verify", true, Urgency::Urgent),
        ],
        target: ServiceTarget {
            availability_percent: 99.9,
            latency_percent: 99.0,
            latency_ms: 18,
            key_unavailable_ms: 5_000,
        },
    }
}

fn route_rule(method: &str, path: &str, idempotent: bool, urgency: Urgency) -> RouteRule {
    RouteRule {
        method: Arc::from(method),
        path: Arc::from(path),
        idempotent,
        urgency,
    }
}
