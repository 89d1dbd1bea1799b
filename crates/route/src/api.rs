//! Inputs and outputs of the gateway's request routing.

use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_types::key::KeyHash;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::name::Name;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Settings of request routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteSettings {
    /// Retry budget: retries after an overload or an unknown outcome, as a share of all requests.
    pub retry_share: f64,
    /// Hedging budget: hedged sends as a share of the requests that may be hedged.
    pub hedge_share: f64,
    /// Quantile of the recent latencies of a service beyond which a request is hedged.
    pub hedge_quantile: f64,
    /// Delay before a request that no agent can serve yet is tried again, in milliseconds.
    pub retry_wait_ms: u64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            retry_share: 0.2,
            hedge_share: 0.05,
            hedge_quantile: 0.95,
            retry_wait_ms: 50,
        }
    }
}

/// A request received by the gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRequest {
    /// Number that the I/O layer assigned to the request; never reused.
    pub ticket: u64,
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// Hash of the key whose owner must serve the request. Always present for a service divided by key;
    /// otherwise only for non-idempotent requests that carry an id.
    pub key: Option<KeyHash>,
    /// Whether running the request more than once is harmless.
    pub idempotent: bool,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Millis,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// A complete answer was received; the I/O layer holds it.
    Answered,
    /// The gate refused the request.
    Refused {
        /// Reason of the refusal.
        kind: RefusalKind,
        /// Whether the request ran.
        ran: RunState,
    },
    /// No byte of the request was sent.
    NotSent,
    /// At least one byte of the request was sent, but no complete answer was received.
    Unknown,
}

/// Input to [`RouteState::step`](crate::core::RouteState::step).
#[derive(Clone, Debug)]
pub enum RouteEvent {
    /// A request was received.
    Arrive(RouteRequest),
    /// An attempt ended.
    Ended {
        /// Number of the request.
        ticket: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Outcome of the attempt.
        end: AttemptOutcome,
        /// Number of requests in flight and waiting at the gate, if the gate reported it.
        load: Option<u32>,
    },
    /// The caller no longer waits for an answer.
    CallerGone {
        /// Number of the request.
        ticket: u64,
    },
    /// The fleet view changed.
    View(Arc<FleetView>),
    /// The time of [`RouteState::next_tick`](crate::core::RouteState::next_tick) has come.
    Tick,
}

/// Effect that the I/O layer must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// Send a request to the gate of an agent.
    Send {
        /// Number of the request.
        ticket: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Agent that receives the request.
        to: AgentId,
        /// Unit of the key that the agent owns according to the fleet view; none without a key.
        unit: Option<Unit>,
    },
    /// Stop an attempt: another attempt was answered first, the caller no longer waits, or the deadline has
    /// passed.
    Cancel {
        /// Number of the request.
        ticket: u64,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Return the answer of this attempt to the caller.
    Finish {
        /// Number of the request.
        ticket: u64,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Refuse the request.
    Refuse {
        /// Number of the request.
        ticket: u64,
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// Pull records from another agent now, since the local ones may be out of date.
    Pull,
}
