//! Headers of requests and responses, and the refusals that callers receive.

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
/// Header with the id of the request, echoed in its response.
pub const REQUEST_ID_HEADER: &str = "jy-request-id";
/// Header with the id that the caller gives a non-idempotent request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the fence of the grant under which a dispatched request runs.
pub const FENCE_HEADER: &str = "jy-fence";
/// Header with the unit (slice or key hash) to which the fence belongs.
pub const UNIT_HEADER: &str = "jy-unit";
/// Response header that states whether the request ran: see [`RunState`].
pub const RAN_HEADER: &str = "jy-ran";
/// Header between agents with the number of requests in flight at the gate, by which a gateway chooses the less
/// loaded of two gates.
pub const IN_FLIGHT_HEADER: &str = "jy-in-flight";

/// Response header with the name of the [`RefusalKind`] of a refusal.
pub const REFUSAL_HEADER: &str = "jy-refusal";
/// Header between agents with the wall-clock time at which the request reached its gateway, in milliseconds.
pub const RECEIVED_HEADER: &str = "jy-received";
/// Header of a dispatched request with the time on `CLOCK_BOOTTIME`, in milliseconds, by which the backend
/// server must have stopped it. Agent and backend server run on one instance and share that clock, so a request
/// that was delayed in transit does not run past this time either.
pub const DEADLINE_HEADER: &str = "jy-deadline";

/// Whether a refused request ran at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run and will not run.
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
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The gate does not own the key.
    NotOwner,
    /// No agent owns the key at the moment.
    KeyUnavailable,
    /// No backend server can take the request.
    NoEndpoint,
    /// The queue contains more requests than can be served in time.
    Overloaded,
    /// The deadline passed before the request could run.
    #[serde(rename = "late")]
    DeadlineExceeded,
    /// The agent is shutting down.
    Leaving,
    /// The request was sent and no complete response was received.
    OutcomeUnknown,
    /// A request with the same id is still running.
    StillRunning,
    /// The id was already used for a different request.
    IdReused,
}

impl RefusalKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 12] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::BodyTooLarge,
        Self::NotOwner,
        Self::KeyUnavailable,
        Self::NoEndpoint,
        Self::Overloaded,
        Self::DeadlineExceeded,
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
            Self::OutcomeUnknown | Self::DeadlineExceeded => 504,
        }
    }

    /// Returns the name used in headers, metrics and problem details.
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
            Self::DeadlineExceeded => "late",
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
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub ran: RunState,
    /// One sentence for people, with a hint on what to do next.
    pub detail: Name,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    #[must_use]
    pub fn new(kind: RefusalKind, detail: impl Into<Name>) -> Self {
        Self {
            kind,
            ran: RunState::No,
            detail: detail.into(),
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn with_unknown_outcome(detail: impl Into<Name>) -> Self {
        Self {
            kind: RefusalKind::OutcomeUnknown,
            ran: RunState::Unknown,
            detail: detail.into(),
        }
    }
}

/// Problem details as defined by RFC 9457, with extension members for refusals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// `urn:jasmineyoke:` followed by the name of the kind.
    #[serde(rename = "type")]
    pub kind: Name,
    /// The kind of the refusal.
    pub title: RefusalKind,
    /// HTTP status.
    pub status: u16,
    /// One sentence for people.
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
