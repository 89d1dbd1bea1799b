//! Keys that are on their way from one backend server to another while requests for them come in.
//!
//! Nobody serves such a key until the old holder has ended what it runs and the new one has announced
//! itself. A request that has the time waits that long; one that has not is refused at once, so that its
//! caller can come back, or, for a call of a running request, give up its slot.

use jy_types::time::Millis;

/// Usual time without a holder, in milliseconds: the work that runs, and half a period of announcements
/// (docs/measurements/platform.md).
pub const USUAL_GAP_MS: u64 = 1_000;

/// A request waits if its time is at least this multiple of the usual gap: the rest is for its turn and its
/// work at the new holder, which others wait for too.
const LEAST_GAPS: u64 = 2;

/// Share of the time left for which it waits then.
const WAIT_SHARE: f64 = 0.6;

/// Share of the time to the objective for which any request waits: callers hardly notice it.
const SHORT_SHARE: f64 = 0.125;

/// Longest wait for a key without a holder, in milliseconds.
#[must_use]
pub fn longest_wait_ms(now: Millis, objective: Millis, deadline: Millis) -> u64 {
    let left_ms = deadline.since(now);
    let (span_ms, share) = if left_ms >= LEAST_GAPS * USUAL_GAP_MS {
        (left_ms, WAIT_SHARE)
    } else {
        (objective.since(now), SHORT_SHARE)
    };
    (span_ms as f64 * share) as u64
}
