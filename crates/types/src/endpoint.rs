//! Announcements of backend servers, and the store records of the agents beside them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// One incarnation of a backend server. A restart under the same name is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendIncarnation {
    /// Id that the backend server announces.
    pub id: Name,
    /// Start of this incarnation, in milliseconds since the Unix epoch on its own clock.
    #[serde(rename = "born")]
    pub started_at: u64,
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendPhase {
    /// It accepts requests.
    Serving,
    /// It finishes the requests that are running and then stops.
    Draining,
}

/// A range of keys, bounds included, that a backend server announces that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence of the grant.
    pub fence: u64,
}

/// A range of keys, bounds included, that a backend server no longer holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// State with which the next holder starts warm.
    pub handover: Name,
}

/// One announcement of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The backend server.
    pub incarnation: BackendIncarnation,
    /// Address on which it listens for requests.
    pub address: SocketAddr,
    /// Service that it runs.
    pub service: Name,
    /// Availability zone in which it runs.
    pub zone: Name,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: BackendPhase,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Remaining duration of its cold start, in milliseconds.
    pub cold_ms: u64,
    /// Keys that it holds, or for which requests still run.
    pub held: Vec<HeldRange>,
    /// Keys that it has released since its last acknowledged announcement.
    pub released: Vec<ReleasedRange>,
}

/// A range of keys, bounds included, granted in reply to an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence of the grant.
    pub fence: u64,
    /// State that the last holder left for a warm start; empty if it left none.
    pub handover: Name,
}

/// The reply to an announcement: the keys granted to the backend server, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// All keys that the backend server holds from now on.
    pub ranges: Vec<GrantedRange>,
    /// Duration of the grant, in milliseconds from the sending of the announcement.
    pub grant_ms: u64,
}

/// The backend server beside an agent, as listed in the agent's store record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBackend {
    /// Its current incarnation.
    #[serde(rename = "life")]
    pub incarnation: BackendIncarnation,
    /// Service that it runs.
    pub service: Name,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: BackendPhase,
    /// Its service time relative to that of a usual one, in percent, once measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service_time_percent: Option<u32>,
}

/// An agent's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub node: Name,
    /// Identifies one run of the agent's process.
    pub run: Name,
    /// Address on which the agent's gate listens.
    pub gate: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether the agent is shutting down.
    pub leaving: bool,
    /// The backend server beside it, if one has announced itself.
    pub backend: Option<ListedBackend>,
}

impl InstanceRecord {
    /// Returns the backend server if it accepts new requests through this agent.
    #[must_use]
    pub fn serving(&self) -> Option<&ListedBackend> {
        let is_serving = |backend: &&ListedBackend| backend.phase == BackendPhase::Serving;
        self.backend
            .as_ref()
            .filter(is_serving)
            .filter(|_| !self.leaving)
    }
}
