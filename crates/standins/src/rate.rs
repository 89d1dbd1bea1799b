//! A limit on the rate of calls.

use jy_types::time::Millis;

/// Lets calls through at a rate, and a second's worth of them at once.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    filled_at: Millis,
}

impl RateLimit {
    /// Makes a limit of `per_second` calls with a full store of tokens.
    #[must_use]
    pub fn new(now: Millis, per_second: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            filled_at: now,
        }
    }

    /// Takes one call, or returns false if it is past the limit.
    pub fn take(&mut self, now: Millis) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "milliseconds of one run are few"
        )]
        let elapsed = now.since(self.filled_at) as f64 / 1_000.0;
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
