//! Refusals of the gate, each with advice for the caller.

use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;

/// The agent does not own the unit.
pub(crate) fn not_owner() -> Refusal {
    Refusal::new(
        RefusalKind::NotOwner,
        "this agent does not own the key; ask its owner",
    )
}

/// The agent's lease has lapsed.
pub(crate) fn lease_lapsed() -> Refusal {
    Refusal::new(
        RefusalKind::KeyUnavailable,
        "the lease of the key's owner has lapsed; repeat the request in a moment",
    )
}

/// The unit is moving to another owner, or the agent is shutting down.
pub(crate) fn leaving() -> Refusal {
    Refusal::new(
        RefusalKind::Leaving,
        "the key is moving to its next owner; repeat the request in a moment",
    )
}

/// The backend server is absent or draining, or could not be reached.
pub(crate) fn no_backend() -> Refusal {
    Refusal::new(
        RefusalKind::NoEndpoint,
        "the backend server takes no requests; repeat the request in a moment",
    )
}

/// The queue is full, or the request would end after its deadline.
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

/// The deadline has passed, or is too close for the request to finish.
pub(crate) fn late() -> Refusal {
    Refusal::new(
        RefusalKind::DeadlineExceeded,
        "the deadline passed before the request could run; allow it more time",
    )
}

/// The request was sent and no complete answer came back.
pub(crate) fn no_answer() -> Refusal {
    Refusal::with_unknown_outcome(
        "no whole answer came back; look up the outcome before sending a new request",
    )
}

/// A repeat of an id whose outcome is unknown.
pub(crate) fn unknown_repeat() -> Refusal {
    Refusal::with_unknown_outcome(
        "the outcome of this id is not known; look it up before sending a new request",
    )
}

/// An id that may have been used before the unit's request history begins.
pub(crate) fn possible_repeat() -> Refusal {
    Refusal::with_unknown_outcome(
        "this id may have been used before its owner's memory begins; look up the outcome",
    )
}

/// A repeat of an id whose request is queued or running.
pub(crate) fn still_running() -> Refusal {
    Refusal {
        kind: RefusalKind::StillRunning,
        ran: RunState::Unknown,
        detail: "a request with this id is running; repeat the request in a moment".into(),
    }
}

/// An id that was used for a different request.
pub(crate) fn id_reused() -> Refusal {
    Refusal::new(
        RefusalKind::IdReused,
        "this id belongs to another request; send a new id",
    )
}
