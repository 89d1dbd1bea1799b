//! Answers of the agent's own: refusals, and failures of which nobody knows the outcome.

use actix_http::StatusCode;
use jy_http::message::HttpAnswer;
use jy_types::time::Millis;

/// Share of the time left after which callers come back at the latest; later is not heeded.
const HEEDED_SHARE: f64 = 1.0 / 3.0;
/// Shortest time after which a caller is asked to come back, in milliseconds: several times the round
/// trip to callers.
const LEAST_RETRY_MS: u64 = 40;

/// Refuses a request that has not run and will not run.
#[must_use]
pub fn not_run(reason: &str, retry_ms: u64, now: Millis, deadline: Millis) -> HttpAnswer {
    let heeded = (deadline.since(now) as f64 * HEEDED_SHARE) as u64;
    let retry_ms = retry_ms.max(LEAST_RETRY_MS).min(heeded);
    let seconds = format!("{:.3}", retry_ms as f64 / 1_000.0);
    problem(StatusCode::SERVICE_UNAVAILABLE, reason, "no").with_header("retry-after", &seconds)
}

/// Tells that nobody knows whether the request ran.
#[must_use]
pub fn unknown(reason: &str) -> HttpAnswer {
    problem(StatusCode::BAD_GATEWAY, reason, "unknown")
}

/// Tells that the time is over while the request may run.
#[must_use]
pub fn timed_out(reason: &str) -> HttpAnswer {
    problem(StatusCode::GATEWAY_TIMEOUT, reason, "unknown")
}

/// Refuses what no configuration allows or understands.
#[must_use]
pub fn rejected(status: StatusCode, reason: &str) -> HttpAnswer {
    problem(status, reason, "no")
}

/// Writes problem details that say whether the request ran.
fn problem(status: StatusCode, reason: &str, ran: &str) -> HttpAnswer {
    let body = serde_json::json!({
        "title": reason,
        "status": status.as_u16(),
        "ran": ran,
    });
    HttpAnswer::new(status, &body.to_string())
        .with_header("content-type", "application/problem+json")
}
