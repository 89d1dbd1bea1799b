//! Builds the error answers that the agent itself gives to callers, as problem details.

use actix_http::StatusCode;
use jy_http::message::HttpResponse;
use jy_types::time::Millis;

/// Longest retry delay, as a share of the time left. Callers ignore a longer one.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Shortest retry delay, in milliseconds: several times the round trip to callers.
const MIN_RETRY_MS: u64 = 40;

/// Builds the response to a request that has not run and will not run, with a `Retry-After` header.
#[must_use]
pub fn not_run(reason: &str, retry_ms: u64, now: Millis, deadline: Millis) -> HttpResponse {
    let max_retry_ms = (deadline.since(now) as f64 * MAX_RETRY_SHARE) as u64;
    let retry_ms = retry_ms.max(MIN_RETRY_MS).min(max_retry_ms);
    with_retry(StatusCode::SERVICE_UNAVAILABLE, reason, retry_ms)
}

/// Builds the response to a request that exceeds the quota of its tenant and has not run, with a `Retry-After`
/// header. The delay is not limited to a share of the time left: there is no credit before, and requests refused
/// together would all come back at once.
#[must_use]
pub fn over_quota(reason: &str, retry_ms: u64) -> HttpResponse {
    let retry_ms = retry_ms.max(MIN_RETRY_MS);
    with_retry(StatusCode::TOO_MANY_REQUESTS, reason, retry_ms)
}

/// Builds the response to a request that was not run, with a `Retry-After` header.
fn with_retry(status: StatusCode, reason: &str, retry_ms: u64) -> HttpResponse {
    let seconds = format!("{:.3}", retry_ms as f64 / 1_000.0);
    problem(status, reason, "no").with_header("retry-after", &seconds)
}

/// Builds the response to a request that may have run.
#[must_use]
pub fn unknown(reason: &str) -> HttpResponse {
    problem(StatusCode::BAD_GATEWAY, reason, "unknown")
}

/// Builds the response to a request whose deadline has passed and that may have run or may still run.
#[must_use]
pub fn timed_out(reason: &str) -> HttpResponse {
    problem(StatusCode::GATEWAY_TIMEOUT, reason, "unknown")
}

/// Builds a response with the given status to a request that was not run, without a `Retry-After` header.
#[must_use]
pub fn rejected(status: StatusCode, reason: &str) -> HttpResponse {
    problem(status, reason, "no")
}

/// Builds a response whose problem details say in `ran` whether the request ran.
fn problem(status: StatusCode, reason: &str, ran: &str) -> HttpResponse {
    let body = serde_json::json!({
        "title": reason,
        "status": status.as_u16(),
        "ran": ran,
    });
    HttpResponse::new(status, &body.to_string())
        .with_header("content-type", "application/problem+json")
}
