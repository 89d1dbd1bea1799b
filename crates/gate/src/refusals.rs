//! Refusals of the gate, with what to do next.

use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;

/// Nobody may serve the unit here.
pub(crate) fn not_owner() -> Refusal {
    Refusal::new(
        RefusalKind::NotOwner,
        "this agent does not own the key; ask its owner",
    )
}

/// The lease of the agent has lapsed.
pub(crate) fn lease_lapsed() -> Refusal {
    Refusal::new(
        RefusalKind::KeyUnavailable,
        "the lease of the key's owner has lapsed; repeat the request in a moment",
    )
}

/// The unit or the agent is leaving.
pub(crate) fn leaving() -> Refusal {
    Refusal::new(
        RefusalKind::Leaving,
        "the key is moving to its next owner; repeat the request in a moment",
    )
}

/// The backend server takes no requests.
pub(crate) fn no_backend() -> Refusal {
    Refusal::new(
        RefusalKind::NoEndpoint,
        "the backend server takes no requests; repeat the request in a moment",
    )
}

/// The request could not be served in time.
pub(crate) fn overloaded() -> Refusal {
    Refusal::new(
        RefusalKind::Overloaded,
        "more requests wait than can be served in time; repeat the request later",
    )
}

/// The backend server shed the request.
pub(crate) fn shed() -> Refusal {
    Refusal::new(
        RefusalKind::Overloaded,
        "the backend server shed the request; repeat the request later",
    )
}

/// The deadline passed while the request waited.
pub(crate) fn late() -> Refusal {
    Refusal::new(
        RefusalKind::Late,
        "the deadline passed before the request could run; allow it more time",
    )
}

/// The request went out and no whole answer came back.
pub(crate) fn no_answer() -> Refusal {
    Refusal::with_unknown_outcome(
        "no whole answer came back; look up the outcome before sending a new request",
    )
}

/// A repeat of an id whose outcome is not known.
pub(crate) fn unknown_repeat() -> Refusal {
    Refusal::with_unknown_outcome(
        "the outcome of this id is not known; look it up before sending a new request",
    )
}

/// An id that may have been used before the gate's memory begins.
pub(crate) fn maybe_repeat() -> Refusal {
    Refusal::with_unknown_outcome(
        "this id may have been used before its owner's memory begins; look up the outcome",
    )
}

/// A repeat of an id that runs or waits right now.
pub(crate) fn still_running() -> Refusal {
    Refusal {
        kind: RefusalKind::StillRunning,
        ran: RunState::Unknown,
        detail: "a request with this id is running; repeat the request in a moment".into(),
    }
}

/// An id that belongs to another request.
pub(crate) fn id_reused() -> Refusal {
    Refusal::new(
        RefusalKind::IdReused,
        "this id belongs to another request; send a new id",
    )
}
