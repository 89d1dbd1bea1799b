//! The two deployments at their sizes: agents, backend servers and workspaces.

use std::sync::Arc;

use jy_types::member::Place;
use jy_types::name::Name;
use jy_types::workspace::RouteRule;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::ServiceTarget;
use jy_types::workspace::Urgency;
use jy_types::workspace::WorkspaceRecord;

/// Workspace of the Association's Seal Registry.
pub const SEALS: &str = "seal-registry";
/// Workspace of the Chalk Division's Chalkline.
pub const CHALK: &str = "chalkline";
/// The keyed service of the Seal Registry.
pub const VERIFIER: &str = "verifier";
/// The keyed service of Chalkline.
pub const STOCKDESK: &str = "stockdesk";
/// Path prefix of non-idempotent requests, by POST.
pub const REGISTER_PATH: &str = "/register";

/// Slots of each backend server of the Seal Registry.
const SEAL_SLOTS: u32 = 6;
/// Slots of each backend server of Chalkline.
const CHALK_SLOTS: u32 = 9;
/// Connections that one backend server bears.
const CONNECTIONS: u32 = 110;
/// Longest time of a request, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

/// One agent and the backend server beside it.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// The agent's name.
    pub name: Name,
    /// Where the instance stands.
    pub place: Place,
    /// The backend server; none for an agent alone.
    pub backend: Option<BackendPlan>,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    /// Workspace it serves.
    pub workspace: Name,
    /// Service it serves.
    pub service: Name,
    /// Requests handled at once when warm.
    pub slots: u32,
    /// Whether it refuses a lower fence.
    pub checks_fence: bool,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Time until it is warm, in milliseconds.
    pub cold_ms: u64,
}

/// All nodes and workspaces of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetPlan {
    /// Agents with their backend servers.
    pub nodes: Vec<NodePlan>,
    /// Workspaces to accept.
    pub workspaces: Vec<WorkspaceRecord>,
}

impl FleetPlan {
    /// Makes a plan with nothing in it.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a workspace whose services have as many backend servers each, spread over its
    /// availability zones.
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

    /// Adds agents without a backend server, spread over the first workspace's availability zones.
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

/// Places the `index`-th instance: a rack of its own for every few.
fn place(region: &str, zone: &Name, index: usize) -> Place {
    Place {
        region: region.into(),
        zone: Name::clone(zone),
        rack: format!("{zone}-rack-{}", index % 4).into(),
    }
}

/// Both deployments: ten agents in Kingston and nine in Khomas.
#[must_use]
pub fn both() -> FleetPlan {
    seals(FleetPlan::new()).with_workspace("khomas", chalk_record(), &CHALK_COUNTS)
}

/// Backend servers of Chalkline by service.
const CHALK_COUNTS: [(&str, usize); 3] = [(STOCKDESK, 3), ("orderbook", 3), ("cataloguer", 3)];

/// Backend servers of the Seal Registry by service.
const SEAL_COUNTS: [(&str, usize); 3] = [(VERIFIER, 4), ("registry", 3), ("catalogue", 3)];

/// Adds the Seal Registry.
#[must_use]
pub fn seals(plan: FleetPlan) -> FleetPlan {
    plan.with_workspace("kingston", seal_record(), &SEAL_COUNTS)
}

/// Configuration of the Seal Registry.
#[must_use]
pub fn seal_record() -> WorkspaceRecord {
    let service = |name, keyed| service(name, keyed, SEAL_SLOTS, 0);
    WorkspaceRecord {
        name: SEALS.into(),
        zones: zones("kingston"),
        zones_out: Vec::new(),
        services: vec![
            service(VERIFIER, true),
            service("registry", false),
            service("catalogue", false),
        ],
        token: 1,
        accepted: None,
    }
}

/// Configuration of Chalkline.
#[must_use]
pub fn chalk_record() -> WorkspaceRecord {
    let service = |name, keyed| service(name, keyed, CHALK_SLOTS, 6);
    WorkspaceRecord {
        name: CHALK.into(),
        zones: zones("khomas"),
        zones_out: Vec::new(),
        services: vec![
            service(STOCKDESK, true),
            service("orderbook", false),
            service("cataloguer", false),
        ],
        token: 2,
        accepted: None,
    }
}

/// Names of a region's three availability zones.
fn zones(region: &str) -> Vec<Name> {
    ["a", "b", "c"]
        .iter()
        .map(|zone| format!("{region}-{zone}").into())
        .collect()
}

/// One service with the usual rules and target.
fn service(name: &str, keyed: bool, slots: u32, probe_cost_ms: u64) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        keyed,
        slots,
        connections: CONNECTIONS,
        probe_cost_ms,
        timeout_ms: TIMEOUT_MS,
        routes: vec![
            rule("POST", REGISTER_PATH, false, Urgency::Urgent),
            rule("GET", "/archive", true, Urgency::Deferrable),
            rule("GET", "/", true, Urgency::Normal),
            rule("POST", "/verify", true, Urgency::Urgent),
        ],
        target: ServiceTarget {
            availability_percent: 99.9,
            latency_percent: 99.0,
            latency_ms: 18,
            key_unavailable_ms: 5_000,
        },
    }
}

/// One rule.
fn rule(method: &str, path: &str, idempotent: bool, urgency: Urgency) -> RouteRule {
    RouteRule {
        method: Arc::from(method),
        path: Arc::from(path),
        idempotent,
        urgency,
    }
}
