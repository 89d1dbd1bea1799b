//! Settings, events and actions of the gate.

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

/// Settings of one gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateSettings {
    /// Whether the service is divided by key, so that requests belong to owned units.
    pub keyed: bool,
    /// Number of requests that the backend server handles at once when warm.
    pub slots: u32,
    /// Maximum queue length, as a multiple of the slots.
    pub queue_per_slot: u32,
    /// How long ids of non-idempotent requests are kept, in milliseconds.
    pub window_ms: u64,
    /// Maximum number of ids kept.
    pub window_entries: u32,
    /// Maximum total size of answers kept, in bytes.
    pub window_bytes: u64,
    /// How long a new owner waits before it dispatches requests for a unit whose previous owner was lost,
    /// in milliseconds.
    pub dispatch_margin_ms: u64,
    /// Maximum difference between a caller's wall clock and an agent's, in milliseconds.
    pub clock_error_ms: u64,
    /// Time within which a caller repeats an id without a creation time, if at all, in milliseconds.
    pub plain_id_ms: u64,
    /// Concurrency limit of a backend server at the beginning of its cold start.
    pub ramp_start: u32,
    /// Number of completed answers after which the limit grows by one during a cold start.
    pub ramp_answers: u32,
    /// Minimum time before the limit grows by one during a cold start, in milliseconds.
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
    /// Number that the agent assigns to the request; it is never reused.
    pub ticket: u64,
    /// Unit of the request's key; `None` for services that are not divided by key.
    pub unit: Option<Unit>,
    /// Whether running the request twice is safe.
    pub idempotent: bool,
    /// The caller's id of a non-idempotent request.
    pub idempotency_key: Option<Name>,
    /// Hash of method, path and body; used only for non-idempotent requests with an id.
    pub digest: u64,
    /// Urgency class, the first sort key of the queue.
    pub urgency: Urgency,
    /// Time until which the caller waits.
    pub deadline: Millis,
    /// Wall-clock time at which the request first reached a gateway.
    pub received: WallMillis,
}

/// Grant of one unit to this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedUnit {
    /// The fence of the grant.
    pub fence: Fence,
    /// Whether a planned move takes the unit away: the gate admits no new requests and releases it when idle.
    pub leaving: bool,
    /// Whether the unit came by a planned move, with its window handed over; false after the loss of its
    /// previous owner.
    pub handed_over: bool,
}

/// All units that this agent owns, always replaced in full.
pub type GrantMap = BTreeMap<Unit, OwnedUnit>;

/// Change of the backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendEvent {
    /// The backend server announced itself.
    Announced {
        /// Identifies the process of the backend server; it differs for every process.
        start_stamp: u64,
        /// Number of requests that it handles at once when warm.
        slots: u32,
        /// Whether it announces a cold start.
        cold: bool,
        /// Whether it announces that it is draining.
        draining: bool,
    },
    /// No announcement arrived in time, or a connection was refused.
    Gone,
}

/// Outcome of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DispatchOutcome {
    /// A complete answer came back. It is kept for repeats of a non-idempotent request, unless it is too
    /// large.
    Answered {
        /// Whether the backend server shed the request without running it.
        shed: bool,
        /// Answer to keep, if any.
        answer: Option<StoredAnswer>,
    },
    /// No byte of the request was sent.
    NotSent,
    /// Some bytes of the request were sent and no complete answer came back.
    Unknown,
}

/// Input to the state machine of a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateEvent {
    /// A request arrived.
    Arrive(Arrival),
    /// A dispatched request ended.
    Ended {
        /// Ticket of the request.
        ticket: u64,
        /// Outcome of the request.
        end: DispatchOutcome,
    },
    /// The caller no longer waits.
    CallerGone {
        /// Ticket of the request.
        ticket: u64,
    },
    /// The end of the agent's lease changed.
    Lease {
        /// End of the lease.
        until: Millis,
    },
    /// The units that the agent owns, in full.
    Grants(#[serde(with = "grant_list")] Arc<GrantMap>),
    /// Window entries of units that the agent is about to acquire, from their previous owner.
    Handover {
        /// The units.
        units: Vec<Unit>,
        /// Their window entries.
        entries: Vec<WindowEntry>,
    },
    /// The backend server changed.
    Backend(BackendEvent),
    /// The settings of the service changed.
    Settings(GateSettings),
    /// Reading of the agent's wall clock, sent at the start and every few seconds. Creation times in request
    /// ids are ignored until the first reading.
    Clock {
        /// Wall-clock time at the time of the event.
        wall: WallMillis,
    },
    /// The agent is shutting down: no new requests are admitted.
    Drain,
    /// A time returned by [`GateState::next_tick`](crate::core::GateState::next_tick) has come.
    Tick,
}

/// Output of the state machine of a gate, carried out by the agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateAction {
    /// Send a request to the backend server.
    Dispatch {
        /// Ticket of the request.
        ticket: u64,
        /// Fence of the grant of the request's unit; `None` for a request without a unit.
        fence: Option<Fence>,
        /// Time by which the backend server must stop the request; for a request with a unit, not later than
        /// the end of the lease.
        deadline: Millis,
    },
    /// Refuse a request.
    Refuse {
        /// Ticket of the request.
        ticket: u64,
        /// Reason for the caller.
        refusal: Refusal,
    },
    /// Answer a repeat from the window.
    Replay {
        /// Ticket of the request.
        ticket: u64,
        /// The stored answer.
        answer: StoredAnswer,
    },
    /// Cancel a dispatched request at the backend server.
    Cancel {
        /// Ticket of the request.
        ticket: u64,
    },
    /// Release idle units: hand their window entries to the next owner, then notify the controller.
    Release {
        /// The units.
        units: Vec<Unit>,
        /// Their window entries.
        entries: Vec<WindowEntry>,
    },
}

/// Serializes a [`GrantMap`] as a list of pairs, because JSON map keys must be strings.
mod grant_list {
    use std::sync::Arc;

    use jy_types::key::Unit;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use super::GrantMap;
    use super::OwnedUnit;

    /// Serializes the pairs.
    ///
    /// # Errors
    ///
    /// Returns the error of the serializer.
    pub(super) fn serialize<S: Serializer>(
        grants: &Arc<GrantMap>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(grants.iter())
    }

    /// Deserializes the pairs.
    ///
    /// # Errors
    ///
    /// Returns the error of the deserializer if the input is not a list of pairs.
    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<GrantMap>, D::Error> {
        let pairs = Vec::<(Unit, OwnedUnit)>::deserialize(deserializer)?;
        Ok(Arc::new(pairs.into_iter().collect()))
    }
}
