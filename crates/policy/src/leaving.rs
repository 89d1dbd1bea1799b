//! How long a backend server that leaves still runs requests for the keys that it holds.
//!
//! Load pattern: many owners of keys are replaced one after the other under load. A key is unavailable from the
//! time at which its owner takes no more requests until the next owner has it. An owner that leaves therefore
//! runs requests for its keys until it has released them, within the time for which the platform lets it serve.

use jy_types::time::Millis;

/// Time before the end of the drain at which the last request is sent to a leaving backend server, in
/// milliseconds: it must arrive before the end.
const DRAIN_MARGIN_MS: u64 = 300;

/// Returns until when requests for held keys are sent to a backend server that leaves since `leaving_since` and
/// serves for `drain_ms` milliseconds.
#[must_use]
pub fn serve_until(leaving_since: Millis, drain_ms: u64) -> Millis {
    leaving_since.plus(drain_ms.saturating_sub(DRAIN_MARGIN_MS))
}

/// Whether an owner asks its witnesses for support. One that leaves while its agent can't reach the store can't
/// name a next owner, so it lets its authority end: other agents then take the keys.
#[must_use]
pub const fn needs_support(is_leaving: bool, is_store_lost: bool) -> bool {
    !(is_leaving && is_store_lost)
}
