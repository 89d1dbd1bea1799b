//! Calls to a store that does not answer or rejects them.
//!
//! Load pattern: the store turns a third of a large fleet away for seconds, and serves the others. Each rejected
//! call costs as much as one that is served.

/// Delay after a first failed call, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 200;

/// Longest delay, in milliseconds: records must be back within 2 s of the store's return.
const MAX_RETRY_DELAY_MS: u64 = 800;

/// Returns the delay before the next call after `failures` failed ones in a row, in milliseconds.
#[must_use]
pub fn retry_delay_ms(failures: u32) -> u64 {
    let doublings = failures.saturating_sub(1).min(16);
    (MIN_RETRY_DELAY_MS << doublings).min(MAX_RETRY_DELAY_MS)
}
