//! Events and actions of the gateway's routing.

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

/// Limits of routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteSettings {
    /// Extra sends (retries after a failure) as a share of requests.
    pub retry_share: f64,
    /// Extra sends for hedging as a share of requests.
    pub hedge_share: f64,
    /// A request is hedged once it takes longer than this share of its service's requests.
    pub hedge_quantile: f64,
    /// Time between attempts while nobody owns a key, in milliseconds.
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

/// A request that reached the gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRequest {
    /// The shell's number for the request, never used again.
    pub ticket: u64,
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// Hash of the key whose owner must serve it: in a service divided by key always, elsewhere for
    /// non-idempotent requests that carry an id.
    pub key: Option<KeyHash>,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// The caller waits no longer than this.
    pub deadline: Millis,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// A whole answer came back; the shell holds it.
    Answered,
    /// The gate refused it.
    Refused {
        /// Why.
        kind: RefusalKind,
        /// Whether it ran.
        ran: RunState,
    },
    /// No byte of the request went out.
    NotSent,
    /// Bytes went out and no whole answer came back.
    Unknown,
}

/// What happens to routing.
#[derive(Clone, Debug)]
pub enum RouteEvent {
    /// A request came.
    Arrive(RouteRequest),
    /// An attempt ended.
    Ended {
        /// The request.
        ticket: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How.
        end: AttemptOutcome,
        /// Requests in flight and waiting at the gate, if it told.
        load: Option<u32>,
    },
    /// The caller no longer waits.
    CallerGone {
        /// The request.
        ticket: u64,
    },
    /// The records changed.
    View(Arc<FleetView>),
    /// Time passed.
    Tick,
}

/// What routing wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// Send a request to the gate of an agent.
    Send {
        /// The request.
        ticket: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The agent.
        to: AgentId,
        /// The unit that the gateway believes the agent owns.
        unit: Option<Unit>,
    },
    /// Stop an attempt: another one won.
    Cancel {
        /// The request.
        ticket: u64,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Give the caller the answer of this attempt.
    Finish {
        /// The request.
        ticket: u64,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        ticket: u64,
        /// Why.
        refusal: Refusal,
    },
    /// The records seem old: pull from another agent now.
    Pull,
}
