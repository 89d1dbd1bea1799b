//! The status that an agent reports to operators, and the names of its metrics.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::member::AgentId;
use crate::member::Endpoint;
use crate::member::MemberState;
use crate::member::Place;
use crate::name::Name;

/// Path of [`AgentStatus`] at the operator listener, by GET.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the list of [`MemberStatus`] at the operator listener, by GET.
pub const MEMBERS_PATH: &str = "/v1/members";
/// Path of [`OwnerStatus`] at the operator listener, by GET with `workspace`, `service` and `key`.
pub const OWNER_PATH: &str = "/v1/owner";
/// Path of the list of [`ServiceStatus`] at the operator listener, by GET.
pub const SERVICES_PATH: &str = "/v1/services";
/// Path at the operator listener that makes the agent leave gracefully, by POST.
pub const DRAIN_PATH: &str = "/v1/drain";
/// Path of the metrics at the operator listener, by GET.
pub const METRICS_PATH: &str = "/metrics";

/// Counter of finished requests by `workspace`, `service` and `outcome`: `served` or a refusal's
/// name. Counted at the gateway, as callers see the outcome.
pub const REQUESTS_METRIC: &str = "jy_requests";
/// Histogram of the durations of answered requests in seconds by `workspace` and `service`.
pub const DURATION_METRIC: &str = "jy_request_duration_seconds";
/// Counter of seconds during which some requested keys could not be served, by `workspace` and `service`, as
/// observed by one gateway.
pub const UNAVAILABLE_METRIC: &str = "jy_key_unavailable_seconds";
/// Gauge of the process start, in seconds since the Unix epoch. A change indicates a restart.
pub const START_METRIC: &str = "jy_process_start_time_seconds";

/// State of one agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent's incarnation.
    pub id: AgentId,
    /// Location of its instance.
    pub place: Place,
    /// Its state in the records, or none if they do not contain it.
    pub state: Option<MemberState>,
    /// Its replica is complete up to this revision.
    pub revision: u64,
    /// Time left on its lease, in milliseconds; zero without a lease.
    pub lease_left_ms: u64,
    /// The controller, or none if the agent knows of none.
    pub controller: Option<AgentId>,
    /// The controller's term.
    pub term: u64,
    /// Whether it watches the store directly.
    pub watches_store: bool,
    /// Whether its last call to the store succeeded, or none if it has made no call.
    pub store_reachable: Option<bool>,
    /// Number of requests in flight at its backend server.
    pub in_flight: u32,
    /// Number of units that it owns.
    pub units: u32,
}

/// One member, as listed in an agent's records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The agent's incarnation.
    pub id: AgentId,
    /// Lifecycle state of the incarnation.
    pub state: MemberState,
    /// Location of its instance.
    pub place: Place,
    /// Address of its operator listener.
    pub operator_addr: SocketAddr,
    /// The backend server beside it, if one has announced itself.
    pub endpoint: Option<Endpoint>,
}

/// The owner of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerStatus {
    /// Slice number of the key.
    pub slice: u32,
    /// Whether the key is pinned outside its slice.
    pub pinned: bool,
    /// The owner, or none while the unit is unassigned.
    pub owner: Option<AgentId>,
    /// The fence of the grant.
    pub fence: u64,
    /// The next owner during a planned move.
    #[serde(rename = "next")]
    pub next_owner: Option<AgentId>,
}

/// Distribution of the units of one keyed service over their owners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// Number of units of each owner.
    pub owners: Vec<OwnerShare>,
    /// Number of units without an owner.
    pub unassigned: u32,
    /// Number of units in a planned move.
    pub moving: u32,
}

/// The units of one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerShare {
    /// The owner.
    pub owner: AgentId,
    /// Number of units that it owns.
    pub units: u32,
}
