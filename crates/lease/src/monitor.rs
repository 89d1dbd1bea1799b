//! The monitor's side of other agents' leases.

use jy_types::member::AgentId;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// What happens to a monitor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MonitorEvent {
    /// The records name this incarnation as a monitor of exactly these agents, none of them over.
    Watched(Vec<AgentId>),
    /// An agent asks for support.
    Renewal {
        /// The agent.
        from: AgentId,
        /// Sequence to answer with.
        sequence: u64,
    },
    /// The monitor's own lease ends at this point.
    OwnLease {
        /// End of the lease.
        until: Millis,
    },
    /// Time passed.
    Tick,
}

/// What a monitor wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MonitorAction {
    /// Answer a renewal.
    Reply {
        /// The agent.
        to: AgentId,
        /// Sequence of the renewal.
        sequence: u64,
        /// Whether the monitor supports.
        accepted: bool,
    },
    /// Tell the controller the vote against an agent; repeated until the agent is over.
    Vote {
        /// The agent.
        target: AgentId,
    },
}

/// State of a monitor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MonitorState {
    id: AgentId,
    timing: LeaseTiming,
}

impl MonitorState {
    /// Makes a monitor that watches nobody.
    #[must_use]
    pub const fn new(id: AgentId, timing: LeaseTiming) -> Self {
        Self { id, timing }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(self, _now: Millis, _event: MonitorEvent) -> (Self, Vec<MonitorAction>) {
        (self, Vec::new())
    }

    /// When [`MonitorEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        Millis::MAX
    }
}
