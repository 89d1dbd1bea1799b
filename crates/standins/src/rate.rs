//! Token-bucket limit on the rate of calls.

use jy_types::time::Millis;

/// A token bucket that admits calls at a rate and holds the tokens of one second.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl RateLimit {
    /// Makes a full bucket that admits `per_second` calls a second.
    #[must_use]
    pub fn new(now: Millis, per_second: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            refilled_at: now,
        }
    }

    /// Takes a token for one call; returns false if none is left.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the milliseconds of a process's lifetime are far below 2^52"
        )]
        let elapsed_s = now.since(self.refilled_at) as f64 / 1_000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.per_second).min(self.per_second);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
