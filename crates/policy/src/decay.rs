//! Sums over the recent past.

use jy_types::time::Millis;

/// Sum that decays exponentially with a half-life in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum<const HALF_LIFE_MS: u64> {
    sum: f64,
    at: Millis,
}

impl<const HALF_LIFE_MS: u64> DecayingSum<HALF_LIFE_MS> {
    /// Returns the sum, decayed up to `now`.
    pub(crate) fn value(&self, now: Millis) -> f64 {
        if self.sum <= 0.0 {
            return 0.0;
        }
        let age = now.since(self.at) as f64;
        self.sum * 0.5_f64.powf(age / HALF_LIFE_MS as f64)
    }

    /// Decays the sum up to `now` and adds an amount.
    pub(crate) fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.value(now) + amount;
        self.at = now;
    }

    /// Returns the constant rate at which the sum would keep its present value, in units per millisecond.
    pub(crate) fn rate(&self, now: Millis) -> f64 {
        self.value(now) * std::f64::consts::LN_2 / HALF_LIFE_MS as f64
    }
}
