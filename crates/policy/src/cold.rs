//! Rate limit for a backend server in cold start, which sustains a limited rate of requests and fails well
//! above it.

use jy_types::time::Millis;

/// Largest burst during a cold start, as a share of the requests that the rate allows in one second.
const BURST_SHARE: f64 = 0.25;

/// Token bucket that limits the rate of requests until a cold start ends.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartLimiter {
    rate_per_s: f64,
    cold_until: Millis,
    tokens: f64,
    refilled_at: Millis,
}

impl ColdStartLimiter {
    /// Creates a limiter that admits every request.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            rate_per_s: f64::INFINITY,
            cold_until: Millis(0),
            tokens: 0.0,
            refilled_at: Millis(0),
        }
    }

    /// Sets the rate, in requests per second.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    /// Sets the end of the cold start; an end in the past means that the backend server is warm.
    ///
    /// A new cold start begins without tokens.
    pub fn set_cold_until(&mut self, now: Millis, until: Millis) {
        if !self.is_cold(now) {
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        self.cold_until = until;
    }

    /// Returns whether the rate is limited.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until && self.rate_per_s.is_finite()
    }

    /// Takes a token for one request, or returns false if none is available.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Puts back the token of a request that was not sent.
    pub fn release(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns the time at which the next request may be sent.
    #[must_use]
    pub fn next_available_at(&self, now: Millis) -> Millis {
        if !self.is_cold(now) {
            return now;
        }
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        let wait_ms = (missing_tokens / self.rate_per_s * 1_000.0).ceil() as u64;
        self.refilled_at.plus(wait_ms).min(self.cold_until).max(now)
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Millis) {
        let max_tokens = (self.rate_per_s * BURST_SHARE).max(1.0);
        let new_tokens = now.since(self.refilled_at) as f64 * self.rate_per_s / 1_000.0;
        self.tokens = (self.tokens + new_tokens).min(max_tokens);
        self.refilled_at = now;
    }
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        Self::new()
    }
}
