//! Bound on the bytes of requests that a backend server holds, learned from its crashes.
//!
//! Load pattern: many large bodies are sent to a backend server at once. Each is within the limit on one body, but a
//! backend server whose requests together exceed its memory crashes, and takes all requests that it holds with it. Its
//! memory is not known, so nothing is bounded before the first crash. A crash shows first as exchanges that fail
//! without an answer, and then as a refused connection or a new incarnation.

use jy_types::time::Millis;

use crate::transfer::LARGE_BODY_BYTES;

/// A crash with fewer bytes in flight is not put down to them, in bytes. Chosen: backend servers that take bodies of
/// many megabytes hold a few of these, and most crashes have other causes.
pub const MIN_CRASH_BYTES: u64 = 8 * 1024 * 1024;
/// Bound after a crash, as a share of the bytes in flight then. These also include what had not arrived, so the memory
/// may be far smaller.
const BOUND_SHARE: f64 = 0.5;
/// How long a bound holds after a crash, in milliseconds. The crash may have had another cause, and a memory that is
/// too small shows again.
const BOUND_MS: u64 = 600_000;
/// Longest time between a failed exchange and the sign that the process has crashed, in milliseconds: a restart and an
/// announcement.
const SIGN_DELAY_MS: u64 = 10_000;
/// A connection may be refused before the failures of the other ones are noticed, by this time in milliseconds.
const FAILURE_DELAY_MS: u64 = 1_000;

/// Bytes in flight at a point in time.
#[derive(Clone, Copy, Debug)]
struct FailedBytes {
    at: Millis,
    bytes: u64,
}

/// A bound that holds until a point in time.
#[derive(Clone, Copy, Debug)]
struct BytesBound {
    bytes: u64,
    until: Millis,
}

/// Bytes of the requests in flight to one backend server, and their bound if it has crashed.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes {
    in_flight: u64,
    bound: Option<BytesBound>,
    /// Most bytes in flight when exchanges failed, until a crash explains it.
    failed: Option<FailedBytes>,
    /// When a connection was last refused.
    refused_at: Option<Millis>,
    /// When a crash last set the bound.
    learned_at: Option<Millis>,
}

impl HeldBytes {
    /// Creates a state without requests and without a bound.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of bytes in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the bound in force, in bytes.
    #[must_use]
    pub fn bound(&self, now: Millis) -> Option<u64> {
        let bound = self.bound.filter(|bound| now < bound.until)?;
        Some(bound.bytes)
    }

    /// Starts a request with a body of `bytes` bytes, or returns false if the backend server can't hold it. Small
    /// requests are always started.
    #[must_use]
    pub fn start(&mut self, now: Millis, bytes: u64) -> bool {
        let is_large = bytes >= LARGE_BODY_BYTES;
        let held_bytes = self.in_flight.saturating_add(bytes);
        if is_large && self.bound(now).is_some_and(|bound| held_bytes > bound) {
            return false;
        }
        self.in_flight = held_bytes;
        true
    }

    /// Ends a request with a body of `bytes` bytes.
    pub const fn end(&mut self, bytes: u64) {
        self.in_flight = self.in_flight.saturating_sub(bytes);
    }

    /// Forgets the failures that no crash explains yet: the backend server has announced that it leaves, so its end is
    /// no crash.
    pub const fn forget_failures(&mut self) {
        self.failed = None;
        self.refused_at = None;
    }

    /// Records that the backend server ended the connection of a request in flight without an answer, before that ends. Returns the new bound if that
    /// belongs to a crash that showed as a refused connection before. The other failures of a crash that set the bound are ignored: less is
    /// in flight with each.
    pub fn record_failure(&mut self, now: Millis) -> Option<u64> {
        let is_same_crash = |learned_at| now.since(learned_at) <= SIGN_DELAY_MS;
        if self.learned_at.is_some_and(is_same_crash) {
            return None;
        }
        let earlier = self.failed.filter(|failed| is_recent(now, *failed));
        let bytes = earlier.map_or(0, |failed| failed.bytes).max(self.in_flight);
        self.failed = Some(FailedBytes { at: now, bytes });
        let refused_at = self.refused_at?;
        (now.since(refused_at) <= FAILURE_DELAY_MS)
            .then(|| self.apply_crash(now))
            .flatten()
    }

    /// Records that a backend server that does not leave has refused a connection: its process has ended. Returns the
    /// new bound, if its requests may have been the cause.
    pub fn record_refusal(&mut self, now: Millis) -> Option<u64> {
        self.refused_at = Some(now);
        self.apply_crash(now)
    }

    /// Records that a new incarnation has taken the place of the backend server. Returns the new bound, if the requests
    /// of the earlier one may have been the cause.
    pub fn record_restart(&mut self, now: Millis) -> Option<u64> {
        self.refused_at = None;
        self.apply_crash(now)
    }

    /// Sets the bound after a crash.
    fn apply_crash(&mut self, now: Millis) -> Option<u64> {
        let failed = self.failed.take();
        let failed = failed.filter(|failed| is_recent(now, *failed))?;
        if failed.bytes < MIN_CRASH_BYTES {
            return None;
        }
        let learned = (failed.bytes as f64 * BOUND_SHARE) as u64;
        let bytes = self.bound(now).map_or(learned, |bound| bound.min(learned));
        let until = now.plus(BOUND_MS);
        self.bound = Some(BytesBound { bytes, until });
        self.learned_at = Some(now);
        Some(bytes)
    }
}

/// Whether failures may still belong to a crash that shows now.
fn is_recent(now: Millis, failed: FailedBytes) -> bool {
    now.since(failed.at) <= SIGN_DELAY_MS
}
