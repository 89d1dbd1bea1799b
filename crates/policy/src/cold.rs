//! A backend server in cold start: it bears a rate of requests, and falls over well above it.

use jy_types::time::Millis;

/// Requests that may come at once in a cold start, as a share of a second's.
const BURST_SHARE: f64 = 0.25;

/// Limits the rate of requests until a cold start is over.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    per_s: f64,
    cold_until: Millis,
    credit: f64,
    counted: Millis,
}

impl ColdLimit {
    /// Makes a limit that does not bind.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            per_s: f64::INFINITY,
            cold_until: Millis(0),
            credit: 0.0,
            counted: Millis(0),
        }
    }

    /// Sets the rate, in requests a second.
    pub fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    /// Takes note that a cold start lasts until a point, or is over if that lies in the past.
    pub fn set_cold_until(&mut self, now: Millis, until: Millis) {
        if !self.is_cold(now) {
            self.credit = 0.0;
            self.counted = now;
        }
        self.cold_until = until;
    }

    /// Whether the rate is limited.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until && self.per_s.is_finite()
    }

    /// Takes leave for one request; false if it would be one too many.
    pub fn take(&mut self, now: Millis) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        self.refill(now);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Gives back the leave for a request that was not sent.
    pub fn give_back(&mut self) {
        self.credit += 1.0;
    }

    /// When the next request may go.
    #[must_use]
    pub fn next_leave(&self, now: Millis) -> Millis {
        if !self.is_cold(now) {
            return now;
        }
        let missing = (1.0 - self.credit).max(0.0);
        let wait_ms = (missing / self.per_s * 1_000.0).ceil() as u64;
        self.counted.plus(wait_ms).min(self.cold_until).max(now)
    }

    /// Earns leave for the time that passed.
    fn refill(&mut self, now: Millis) {
        let most = (self.per_s * BURST_SHARE).max(1.0);
        let earned = now.since(self.counted) as f64 * self.per_s / 1_000.0;
        self.credit = (self.credit + earned).min(most);
        self.counted = now;
    }
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self::new()
    }
}
