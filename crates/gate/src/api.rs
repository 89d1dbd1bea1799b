//! Events and actions of the gate.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_types::assign::Fence;
use jy_types::key::Unit;
use jy_types::name::Name;
use jy_types::peer::StoredAnswer;
use jy_types::peer::WindowEntry;
use jy_types::request::Refusal;
use jy_types::time::Millis;
use jy_types::time::WallMillis;
use jy_types::workspace::Urgency;
use serde::Deserialize;
use serde::Serialize;

/// Limits of one gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateSettings {
    /// Whether requests belong to owned units.
    pub keyed: bool,
    /// Requests the backend server handles at once when warm.
    pub slots: u32,
    /// Longest queue, as a multiple of the slots.
    pub queue_per_slot: u32,
    /// Ids of non-idempotent requests are remembered this long, in milliseconds.
    pub window_ms: u64,
    /// Most ids remembered.
    pub window_entries: u32,
    /// Most bytes of answers remembered.
    pub window_bytes: u64,
    /// A new owner after a loss waits this long before it serves, in milliseconds.
    pub dispatch_margin_ms: u64,
    /// Largest difference between a caller's wall clock and an agent's, in milliseconds.
    pub clock_error_ms: u64,
    /// A caller repeats an id that carries no time within this time or never, in milliseconds.
    pub plain_id_ms: u64,
    /// Requests a backend server handles at once when its cold start begins.
    pub ramp_start: u32,
    /// Completed answers after which a backend server in cold start is given one more at once.
    pub ramp_answers: u32,
    /// Least time before a backend server in cold start is given one more at once, in milliseconds.
    pub ramp_step_ms: u64,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            keyed: true,
            slots: 6,
            queue_per_slot: 32,
            window_ms: 600_000,
            window_entries: 65_536,
            window_bytes: 8 * 1024 * 1024,
            dispatch_margin_ms: 250,
            clock_error_ms: 1_000,
            plain_id_ms: 30_000,
            ramp_start: 1,
            ramp_answers: 16,
            ramp_step_ms: 1_000,
        }
    }
}

/// A request that reached the gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The shell's number for the request, never used again.
    pub ticket: u64,
    /// The unit of its key; none for services not divided by key.
    pub unit: Option<Unit>,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// The caller's id of a non-idempotent request.
    pub idempotency_key: Option<Name>,
    /// Hash of method, path and body; looked at for non-idempotent requests with an id only.
    pub digest: u64,
    /// Class of urgency.
    pub urgency: Urgency,
    /// The caller waits no longer than this.
    pub deadline: Millis,
    /// The wall clock when the request reached its gateway first.
    pub received: WallMillis,
}

/// What this agent may serve of one unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedUnit {
    /// The fence of the grant.
    pub fence: Fence,
    /// Whether a planned move takes it away: admit nothing new, release when idle.
    pub leaving: bool,
    /// Whether it came by a planned move, with its window handed over. After a loss: false.
    pub handed_over: bool,
}

/// All units that this agent owns, replaced as a whole.
pub type GrantMap = BTreeMap<Unit, OwnedUnit>;

/// What the gate learns of its backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendEvent {
    /// It announced itself.
    Announced {
        /// Differs for every process of the backend server.
        start_stamp: u64,
        /// Requests it handles at once when warm.
        slots: u32,
        /// Whether it says that it is starting cold.
        cold: bool,
        /// Whether it says that it is draining.
        draining: bool,
    },
    /// No announcement came in time, or a connection was refused.
    Gone,
}

/// How a dispatched request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DispatchOutcome {
    /// A whole answer came back. The answer is kept for repeats of a non-idempotent request; an
    /// answer too large to keep is none.
    Answered {
        /// Whether the backend server shed the request without running it.
        shed: bool,
        /// The answer to keep.
        answer: Option<StoredAnswer>,
    },
    /// No byte of the request went out.
    NotSent,
    /// Bytes went out and no whole answer came back.
    Unknown,
}

/// What happens to a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateEvent {
    /// A request came.
    Arrive(Arrival),
    /// A dispatched request ended.
    Ended {
        /// The request.
        ticket: u64,
        /// How.
        end: DispatchOutcome,
    },
    /// The caller no longer waits.
    CallerGone {
        /// The request.
        ticket: u64,
    },
    /// The agent's lease ends at this point.
    Lease {
        /// End of the lease.
        until: Millis,
    },
    /// The units that the agent owns, in full.
    Grants(#[serde(with = "grant_list")] Arc<GrantMap>),
    /// Window entries of units to come, from their old owner.
    Handover {
        /// The units.
        units: Vec<Unit>,
        /// What is remembered of them.
        entries: Vec<WindowEntry>,
    },
    /// News of the backend server.
    Backend(BackendEvent),
    /// The limits of the service changed.
    Settings(GateSettings),
    /// The agent's wall clock, to be told at the start and every few seconds. Until the first one
    /// times inside ids of requests count for nothing.
    Clock {
        /// The wall clock at this point.
        wall: WallMillis,
    },
    /// The agent shuts down: admit nothing new.
    Drain,
    /// Time passed.
    Tick,
}

/// What a gate wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateAction {
    /// Send a request to the backend server.
    Dispatch {
        /// The request.
        ticket: u64,
        /// The fence of its unit's grant.
        fence: Option<Fence>,
        /// The backend server must stop it by this point, which no lease outlives.
        deadline: Millis,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        ticket: u64,
        /// Why.
        refusal: Refusal,
    },
    /// Answer a repeat from the window.
    Replay {
        /// The request.
        ticket: u64,
        /// The remembered answer.
        answer: StoredAnswer,
    },
    /// Cancel a dispatched request at the backend server.
    Cancel {
        /// The request.
        ticket: u64,
    },
    /// The units are idle: hand their window to the next owner, then tell the controller.
    Release {
        /// The units.
        units: Vec<Unit>,
        /// What is remembered of them.
        entries: Vec<WindowEntry>,
    },
}

/// Writes a [`GrantMap`] as a list of pairs, since JSON has no maps with such keys.
mod grant_list {
    use std::sync::Arc;

    use jy_types::key::Unit;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use super::GrantMap;
    use super::OwnedUnit;

    /// Writes the pairs.
    ///
    /// # Errors
    ///
    /// What the serializer says.
    pub(super) fn serialize<S: Serializer>(
        grants: &Arc<GrantMap>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(grants.iter())
    }

    /// Reads the pairs.
    ///
    /// # Errors
    ///
    /// What the deserializer says.
    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<GrantMap>, D::Error> {
        let pairs = Vec::<(Unit, OwnedUnit)>::deserialize(deserializer)?;
        Ok(Arc::new(pairs.into_iter().collect()))
    }
}
