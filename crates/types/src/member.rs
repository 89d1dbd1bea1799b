//! Store records of agents, with their locations, monitors and verdicts.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// One run of an agent, identified by the agent's name and a number that differs between its runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgentId {
    /// The agent's name from its settings.
    pub name: Name,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

impl AgentId {
    /// Creates the id of one run of an agent.
    #[must_use]
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation,
        }
    }
}

impl fmt::Display for AgentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}

/// Location of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Region name.
    pub region: Name,
    /// Availability zone name.
    pub zone: Name,
    /// Rack name.
    pub rack: Name,
}

impl Place {
    /// Creates a location.
    #[must_use]
    pub fn new(region: impl Into<Name>, zone: impl Into<Name>, rack: impl Into<Name>) -> Self {
        Self {
            region: region.into(),
            zone: zone.into(),
            rack: rack.into(),
        }
    }
}

/// Addresses on which an agent listens for other agents and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentAddrs {
    /// Address for JSON-RPC between agents.
    pub rpc: SocketAddr,
    /// Address for requests forwarded between agents.
    pub forward: SocketAddr,
    /// Address of the operator listener.
    pub operator: SocketAddr,
}

impl AgentAddrs {
    /// Uses one address for all purposes.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self {
            rpc: addr,
            forward: addr,
            operator: addr,
        }
    }
}

/// The backend server beside an agent, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Workspace it serves.
    pub workspace: Name,
    /// Service it serves.
    pub service: Name,
    /// Maximum number of requests that it handles at once.
    pub slots: u32,
    /// Whether it rejects a fence lower than one it has seen.
    pub checks_fence: bool,
}

/// The monitors of an agent. Each of them may support the agent's lease or vote to declare the agent dead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MonitorSet {
    /// Increases with every change of the set.
    pub epoch: u64,
    /// Incarnations of the monitors.
    pub monitors: Vec<AgentId>,
}

impl MonitorSet {
    /// Number of monitors whose unexpired support makes a lease valid: half of them, rounded up, so that one of
    /// two monitors may be lost.
    #[must_use]
    pub fn support_quorum(&self) -> usize {
        self.monitors.len().div_ceil(2).max(1)
    }

    /// Number of votes for a verdict. Any such set of voters shares a monitor with every support quorum.
    #[must_use]
    pub fn vote_quorum(&self) -> usize {
        self.monitors.len() / 2 + 1
    }
}

/// Lifecycle state of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It wrote its own record and waits for monitors.
    Joining,
    /// It has monitors and may own units.
    Live,
    /// It asked to leave and is handing over its units.
    Leaving,
    /// It left after handing over all its units.
    Left,
    /// A verdict declared it dead. This state is final.
    Dead,
}

impl MemberState {
    /// Whether the incarnation has ended. It does not become live again.
    #[must_use]
    pub const fn has_ended(self) -> bool {
        matches!(self, Self::Left | Self::Dead)
    }
}

/// The store's record of one incarnation of an agent, changed only by compare-and-swap.
///
/// A verdict and a change of monitors are both writes of this record. After a verdict it is never changed
/// again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation.
    pub id: AgentId,
    /// Lifecycle state of the incarnation.
    pub state: MemberState,
    /// Location of the agent's instance.
    pub place: Place,
    /// Address for JSON-RPC between agents.
    pub rpc_addr: SocketAddr,
    /// Address for requests forwarded between agents.
    pub forward_addr: SocketAddr,
    /// Address of the operator listener.
    pub operator_addr: SocketAddr,
    /// The backend server beside the agent, once it has announced itself.
    pub endpoint: Option<Endpoint>,
    /// The current monitors.
    pub monitors: MonitorSet,
    /// The next monitors, until the agent has acknowledged them. While they are set, a verdict requires the votes
    /// of both sets.
    pub next_monitors: Option<MonitorSet>,
    /// Term of the controller that last wrote this record; zero if the agent itself did.
    pub term: u64,
    /// Earlier incarnations with the same addresses. Their processes have ended, since this incarnation was able
    /// to listen on those addresses.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaces: Vec<AgentId>,
}

impl MemberRecord {
    /// Creates the record of a joining agent, without a backend server or monitors.
    #[must_use]
    pub fn new(id: AgentId, place: Place, addrs: AgentAddrs) -> Self {
        Self {
            id,
            state: MemberState::Joining,
            place,
            rpc_addr: addrs.rpc,
            forward_addr: addrs.forward,
            operator_addr: addrs.operator,
            endpoint: None,
            monitors: MonitorSet::default(),
            next_monitors: None,
            term: 0,
            replaces: Vec::new(),
        }
    }
}
