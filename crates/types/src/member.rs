//! Agents, their places, monitors and verdicts, as the store records them.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// One run of an agent: its name and a number that no other run of it has.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgentId {
    /// The agent's name from its settings.
    pub name: Name,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
}

impl AgentId {
    /// Names one run of an agent.
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

/// Where an instance stands.
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
    /// Names a place.
    #[must_use]
    pub fn new(region: impl Into<Name>, zone: impl Into<Name>, rack: impl Into<Name>) -> Self {
        Self {
            region: region.into(),
            zone: zone.into(),
            rack: rack.into(),
        }
    }
}

/// Addresses at which others call an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentAddrs {
    /// JSON-RPC between agents.
    pub rpc: SocketAddr,
    /// Requests forwarded between agents.
    pub forward: SocketAddr,
    /// The operators' listener.
    pub operator: SocketAddr,
}

impl AgentAddrs {
    /// Names one address for everything.
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
    /// Requests it handles at once.
    pub slots: u32,
    /// Whether it refuses a fence lower than one it has seen.
    pub checks_fence: bool,
}

/// The monitors of an agent: every one of them may support its lease or vote against it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MonitorSet {
    /// Grows with every change of the set.
    pub epoch: u64,
    /// The monitors, by incarnation.
    pub monitors: Vec<AgentId>,
}

impl MonitorSet {
    /// Number of unexpired supports that make a lease live: half of the monitors, rounded up, so
    /// that one of two monitors may be lost.
    #[must_use]
    pub fn support_quorum(&self) -> usize {
        self.monitors.len().div_ceil(2).max(1)
    }

    /// Number of votes that, with any support quorum, have a monitor in common.
    #[must_use]
    pub fn vote_quorum(&self) -> usize {
        self.monitors.len() / 2 + 1
    }
}

/// How far an incarnation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It wrote its own record and waits for monitors.
    Joining,
    /// It has monitors and may own units.
    Live,
    /// It asked to leave and hands its units over.
    Leaving,
    /// It left after it handed over everything.
    Left,
    /// A verdict declared it dead. Final.
    Dead,
}

impl MemberState {
    /// Whether this incarnation has ended and never comes back.
    #[must_use]
    pub const fn has_ended(self) -> bool {
        matches!(self, Self::Left | Self::Dead)
    }
}

/// The store's record of one incarnation of an agent, changed only by compare-and-swap.
///
/// A verdict and a change of monitors are writes of this one record; after a verdict it never
/// changes again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation.
    pub id: AgentId,
    /// How far it has come.
    pub state: MemberState,
    /// Where its instance stands.
    pub place: Place,
    /// Address for JSON-RPC between agents.
    pub rpc_addr: SocketAddr,
    /// Address for requests forwarded between agents.
    pub forward_addr: SocketAddr,
    /// Address of the operators' listener.
    pub operator_addr: SocketAddr,
    /// The backend server beside it, once announced.
    pub endpoint: Option<Endpoint>,
    /// The monitors in force.
    pub monitors: MonitorSet,
    /// The monitors to come, until the agent has acknowledged them. While they stand, a verdict
    /// needs the votes of both sets.
    pub next_monitors: Option<MonitorSet>,
    /// The controller's term that wrote this record last; zero if the agent itself did.
    pub term: u64,
    /// Earlier incarnations at the same addresses. This one could listen there, so their processes
    /// have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaces: Vec<AgentId>,
}

impl MemberRecord {
    /// Makes the record of an agent that joins, without a backend server and monitors.
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
