//! Backend servers as they announce themselves, and the instances beside which they run.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// One incarnation of a backend server: a restart under the same name is another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendIncarnation {
    /// Name that the backend server gave itself.
    pub id: Name,
    /// Start of this incarnation, in milliseconds since the Unix epoch on its own clock.
    #[serde(rename = "born")]
    pub started_at: u64,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendPhase {
    /// It takes requests.
    Serving,
    /// It ends what runs and then leaves.
    Draining,
}

/// A range of keys, both ends included, that a backend server says it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence of the grant.
    pub fence: u64,
}

/// A range of keys that a backend server no longer holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// What the next holder needs to start warm.
    pub handover: Name,
}

/// One announcement of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Who announces itself.
    pub incarnation: BackendIncarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its service.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: BackendPhase,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// How long it stays in cold start, in milliseconds.
    pub cold_ms: u64,
    /// Keys that it holds or still works on.
    pub held: Vec<HeldRange>,
    /// Keys that it has released since its last acknowledged announcement.
    pub freed: Vec<ReleasedRange>,
}

/// A range of keys granted in answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence of the grant.
    pub fence: u64,
    /// What the last holder left for a warm start; empty if it left nothing.
    pub handover: Name,
}

/// Keys granted to a backend server until a point counted from its announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// All keys that it is to hold.
    pub ranges: Vec<GrantedRange>,
    /// How long it holds them, in milliseconds from the sending of its announcement.
    pub grant_ms: u64,
}

/// What an agent's record in the store says of the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBackend {
    /// Its present incarnation.
    #[serde(rename = "life")]
    pub incarnation: BackendIncarnation,
    /// Its service.
    pub service: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: BackendPhase,
}

/// An agent's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub node: Name,
    /// One run of the agent's process.
    pub run: Name,
    /// Where the agent's gate listens.
    pub gate: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether the agent is shutting down.
    pub leaving: bool,
    /// The backend server beside it, if one has announced itself.
    pub backend: Option<ListedBackend>,
}

impl InstanceRecord {
    /// Returns the backend server if it takes new work through this agent.
    #[must_use]
    pub fn serving(&self) -> Option<&ListedBackend> {
        let is_serving = |backend: &&ListedBackend| backend.phase == BackendPhase::Serving;
        self.backend
            .as_ref()
            .filter(is_serving)
            .filter(|_| !self.leaving)
    }
}
