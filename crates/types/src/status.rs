//! What an agent tells operators about itself, and the names of its metrics.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::member::AgentId;
use crate::member::Endpoint;
use crate::member::MemberState;
use crate::member::Place;
use crate::name::Name;

/// Path of [`AgentStatus`] at the operators' listener, by GET.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the list of [`MemberStatus`] at the operators' listener, by GET.
pub const MEMBERS_PATH: &str = "/v1/members";
/// Path of [`OwnerStatus`] at the operators' listener, by GET with `workspace`, `service` and `key`.
pub const OWNER_PATH: &str = "/v1/owner";
/// Path of the list of [`ServiceStatus`] at the operators' listener, by GET.
pub const SERVICES_PATH: &str = "/v1/services";
/// Path that makes the agent leave gracefully, by POST.
pub const DRAIN_PATH: &str = "/v1/drain";
/// Path of the metrics at the operators' listener, by GET.
pub const METRICS_PATH: &str = "/metrics";

/// Counter of finished requests by `workspace`, `service` and `outcome`: `served` or a refusal's
/// name. Counted at the gateway, which the caller sees.
pub const REQUESTS_METRIC: &str = "jy_requests";
/// Histogram of the durations of answered requests in seconds by `workspace` and `service`.
pub const DURATION_METRIC: &str = "jy_request_duration_seconds";
/// Counter of seconds during which some keys that callers asked for could not be served, by
/// `workspace` and `service`, as one gateway saw it.
pub const UNAVAILABLE_METRIC: &str = "jy_key_unavailable_seconds";
/// Gauge of the process start, in seconds since the Unix epoch: a change tells a restart.
pub const START_METRIC: &str = "jy_process_start_time_seconds";

/// State of one agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The incarnation.
    pub id: AgentId,
    /// Where it stands.
    pub place: Place,
    /// Its state in the records, if they have it.
    pub state: Option<MemberState>,
    /// Its replica is complete up to this revision.
    pub revision: u64,
    /// Time left on its lease, in milliseconds; zero without a lease.
    pub lease_left_ms: u64,
    /// The controller as far as it knows.
    pub controller: Option<AgentId>,
    /// The controller's term.
    pub term: u64,
    /// Whether it reads the store itself.
    pub watches_store: bool,
    /// Whether its last call to the store succeeded; none if it made none.
    pub store_reachable: Option<bool>,
    /// Requests in flight at its backend server.
    pub in_flight: u32,
    /// Units it owns.
    pub units: u32,
}

/// One member as an agent's records have it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The incarnation.
    pub id: AgentId,
    /// How far it has come.
    pub state: MemberState,
    /// Where it stands.
    pub place: Place,
    /// Its operators' listener.
    pub operator_addr: SocketAddr,
    /// Its backend server.
    pub endpoint: Option<Endpoint>,
}

/// Owner of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerStatus {
    /// Slice number of the key.
    pub slice: u32,
    /// Whether the key is pinned apart from its slice.
    pub pinned: bool,
    /// The owner.
    pub owner: Option<AgentId>,
    /// The fence of the grant.
    pub fence: u64,
    /// The owner to come.
    pub next: Option<AgentId>,
}

/// Units by owner of one keyed service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// Units and share of the last reported load of each owner.
    pub owners: Vec<OwnerShare>,
    /// Units without an owner.
    pub unassigned: u32,
    /// Units in a planned move.
    pub moving: u32,
}

/// What one owner holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerShare {
    /// The owner.
    pub owner: AgentId,
    /// Units it owns.
    pub units: u32,
}
