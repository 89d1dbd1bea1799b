//! Wait limit for requests whose key is moving from one backend server to another.
//!
//! A moving key is unavailable until its old owner has finished its running requests and its new owner has
//! announced itself. A request with enough time left waits for a large share of that time. Any other waits only
//! briefly, so that its caller can soon retry or, if the caller is itself a running request, release its slot.

use jy_types::time::Millis;

/// Typical time for which a moving key has no owner: the time to finish running requests, plus half an
/// announcement period (docs/measurements/platform.md).
pub const TYPICAL_MOVE_GAP_MS: u64 = 1_000;

/// A request waits for a moving key if its time left is at least this multiple of the typical gap. It needs
/// the time beyond the gap to queue and run at the new owner, where other requests wait too.
const MIN_GAPS_LEFT: u64 = 2;

/// Share of the time left until the deadline for which such a request waits.
const LONG_WAIT_SHARE: f64 = 0.6;

/// Share of the time left until the objective for which every other request waits: callers hardly notice it.
const SHORT_WAIT_SHARE: f64 = 0.125;

/// Returns the objective for [`max_wait_ms`] of a request on a route with an objective of `objective_ms` milliseconds.
/// The objective of a returning caller may be over, and such a request waits as a first attempt does.
#[must_use]
pub fn wait_objective(
    now: Millis,
    objective: Millis,
    objective_ms: u64,
    deadline: Millis,
) -> Millis {
    objective.max(now.plus(objective_ms)).min(deadline)
}

/// Returns the longest time that a request waits for a key without an owner, in milliseconds.
#[must_use]
pub fn max_wait_ms(now: Millis, objective: Millis, deadline: Millis) -> u64 {
    let left_ms = deadline.since(now);
    let (span_ms, share) = if left_ms >= MIN_GAPS_LEFT * TYPICAL_MOVE_GAP_MS {
        (left_ms, LONG_WAIT_SHARE)
    } else {
        (objective.since(now), SHORT_WAIT_SHARE)
    };
    (span_ms as f64 * share) as u64
}
