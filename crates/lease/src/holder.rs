//! The agent's side of its own lease.

use jy_types::member::AgentId;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// What happens to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderEvent {
    /// The agent's record names these monitors.
    Sets {
        /// The set in force.
        current: MonitorSet,
        /// The set to come.
        next: Option<MonitorSet>,
    },
    /// A monitor answered a renewal.
    Reply {
        /// The monitor.
        monitor: AgentId,
        /// The sequence of the renewal.
        sequence: u64,
        /// Whether it supports.
        accepted: bool,
    },
    /// A verdict on this incarnation was read: it stops for good.
    Condemned,
    /// Time passed.
    Tick,
}

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderAction {
    /// Send a renewal.
    Renew {
        /// The monitor.
        to: AgentId,
        /// Sequence to send; the reply carries it.
        sequence: u64,
    },
}

/// State of a holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HolderState {
    id: AgentId,
    timing: LeaseTiming,
}

impl HolderState {
    /// Makes a holder without monitors and without a lease.
    #[must_use]
    pub const fn new(id: AgentId, timing: LeaseTiming) -> Self {
        Self { id, timing }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(self, _now: Millis, _event: HolderEvent) -> (Self, Vec<HolderAction>) {
        (self, Vec::new())
    }

    /// The agent may admit requests strictly before this point. Zero without a lease.
    #[must_use]
    pub const fn lease_until(&self) -> Millis {
        Millis(0)
    }

    /// Epoch of the newest set that the holder counts on alone; told to the controller.
    #[must_use]
    pub const fn counted_epoch(&self) -> u64 {
        0
    }

    /// When [`HolderEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        Millis::MAX
    }
}
