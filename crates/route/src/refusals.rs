//! Refusals by the gateway, each with a hint at what the caller should do next.

use jy_types::request::Refusal;
use jy_types::request::RefusalKind;

/// Refusal of a request whose workspace or service has not been accepted.
pub(crate) fn unknown_service() -> Refusal {
    Refusal::new(
        RefusalKind::UnknownService,
        "no accepted workspace has this service; check the names in the headers",
    )
}

/// Refusal of a request without a key to a service divided by key.
pub(crate) fn key_missing() -> Refusal {
    Refusal::new(
        RefusalKind::BadRequest,
        "the service is divided by key; send the key in its header",
    )
}

/// Refusal of a request that may have run.
pub(crate) fn outcome_unknown() -> Refusal {
    Refusal::with_unknown_outcome(
        "the request went out and no whole answer came back; look up the outcome",
    )
}

/// Refusal of a request that did not run.
pub(crate) fn not_run(kind: RefusalKind) -> Refusal {
    let detail = match kind {
        RefusalKind::Overloaded => "all endpoints have more to do than they can; repeat it later",
        RefusalKind::NoEndpoint => "no backend server takes requests; repeat it in a moment",
        RefusalKind::KeyUnavailable | RefusalKind::NotOwner | RefusalKind::Leaving => {
            "nobody served the key before the deadline; repeat the request in a moment"
        }
        RefusalKind::DeadlineExceeded => {
            "the deadline passed before the request could run; allow more time"
        }
        RefusalKind::IdReused => "this id belongs to another request; send a new id",
        _ => "the request was refused by the gate; see its kind",
    };
    Refusal::new(kind, detail)
}
