//! Headers of requests and the refusals that callers get.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Header with the workspace's name.
pub const WORKSPACE_HEADER: &str = "jy-workspace";
/// Header with the service's name.
pub const SERVICE_HEADER: &str = "jy-service";
/// Header with the key of a request to a keyed service.
pub const KEY_HEADER: &str = "jy-key";
/// Header with the time left for the request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "jy-timeout-ms";
/// Header with the id of the request, echoed on its answer.
pub const REQUEST_ID_HEADER: &str = "jy-request-id";
/// Header with the caller's id of a non-idempotent request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the fence of the grant that a dispatch runs under.
pub const FENCE_HEADER: &str = "jy-fence";
/// Header with the unit (slice or key hash) that the fence belongs to.
pub const UNIT_HEADER: &str = "jy-unit";
/// Header of an answer that tells whether the request ran: see [`RunState`].
pub const RAN_HEADER: &str = "jy-ran";
/// Header between agents with the requests in flight at the gate, for choosing between two.
pub const IN_FLIGHT_HEADER: &str = "jy-in-flight";

/// Header of a refusal with the name of its [`RefusalKind`].
pub const REFUSAL_HEADER: &str = "jy-refusal";
/// Header between agents with the wall clock when the request reached its gateway, in milliseconds.
pub const RECEIVED_HEADER: &str = "jy-received";
/// Header of a dispatch with the point of `CLOCK_BOOTTIME`, in milliseconds, by which the backend
/// server must have stopped it. Agent and backend server are on one instance and share that clock,
/// so a dispatch that was held up on its way runs no longer.
pub const DEADLINE_HEADER: &str = "jy-deadline";

/// Whether a refused request ran at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed or lacks a header.
    BadRequest,
    /// The workspace or service is unknown.
    UnknownService,
    /// The body is past the limit.
    BodyTooLarge,
    /// The gate does not own the key.
    NotOwner,
    /// Nobody owns the key at the moment.
    KeyUnavailable,
    /// No backend server can take the request.
    NoEndpoint,
    /// The queue holds more than can be served in time.
    Overloaded,
    /// The deadline passed before the request could run.
    Late,
    /// The agent is shutting down.
    Leaving,
    /// The request went out and no whole answer came back.
    OutcomeUnknown,
    /// A repeat of an id that is running right now.
    StillRunning,
    /// A repeat of an id with another request.
    IdReused,
}

impl RefusalKind {
    /// All kinds, in order.
    pub const ALL: [Self; 12] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::BodyTooLarge,
        Self::NotOwner,
        Self::KeyUnavailable,
        Self::NoEndpoint,
        Self::Overloaded,
        Self::Late,
        Self::Leaving,
        Self::OutcomeUnknown,
        Self::StillRunning,
        Self::IdReused,
    ];

    /// Returns the HTTP status of the refusal.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownService => 404,
            Self::StillRunning => 409,
            Self::BodyTooLarge => 413,
            Self::NotOwner => 421,
            Self::IdReused => 422,
            Self::Overloaded | Self::KeyUnavailable | Self::NoEndpoint | Self::Leaving => 503,
            Self::OutcomeUnknown | Self::Late => 504,
        }
    }

    /// Returns the name used in metrics and problem details.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownService => "unknown_service",
            Self::BodyTooLarge => "body_too_large",
            Self::NotOwner => "not_owner",
            Self::KeyUnavailable => "key_unavailable",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::Late => "late",
            Self::Leaving => "leaving",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::StillRunning => "still_running",
            Self::IdReused => "id_reused",
        }
    }
}

/// A refusal, sent as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub ran: RunState,
    /// One sentence for a person, with a hint on what to do next.
    pub detail: Name,
}

impl Refusal {
    /// Refuses a request that did not run.
    #[must_use]
    pub fn new(kind: RefusalKind, detail: impl Into<Name>) -> Self {
        Self {
            kind,
            ran: RunState::No,
            detail: detail.into(),
        }
    }

    /// Refuses a request of which nobody can tell whether it ran.
    #[must_use]
    pub fn with_unknown_outcome(detail: impl Into<Name>) -> Self {
        Self {
            kind: RefusalKind::OutcomeUnknown,
            ran: RunState::Unknown,
            detail: detail.into(),
        }
    }
}

/// Problem details as RFC 9457 has them, with the members of this product.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// `urn:jasmineyoke:` and the kind.
    #[serde(rename = "type")]
    pub kind: Name,
    /// The kind.
    pub title: RefusalKind,
    /// HTTP status.
    pub status: u16,
    /// One sentence for a person.
    pub detail: Name,
    /// Whether the request ran.
    pub ran: RunState,
    /// The id of the request.
    pub request_id: Name,
}

impl ProblemDetails {
    /// Describes a refusal of the request `request_id`.
    #[must_use]
    pub fn new(refusal: &Refusal, request_id: &str) -> Self {
        Self {
            kind: format!("urn:jasmineyoke:{}", refusal.kind.name()).into(),
            title: refusal.kind,
            status: refusal.kind.status(),
            detail: refusal.detail.clone(),
            ran: refusal.ran,
            request_id: request_id.into(),
        }
    }
}
