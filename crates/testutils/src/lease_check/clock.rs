//! A process's clock that runs fast or slow against real time.

use jy_types::time::Millis;

/// Parts of a rate.
const PARTS: u64 = 1_000_000;

/// A clock with a constant drift.
#[derive(Clone, Copy, Debug)]
pub struct DriftClock {
    offset: u64,
    rate_ppm: u64,
}

impl DriftClock {
    /// Makes a clock that shows `offset` at real time zero and gains `drift_ppm` parts per million.
    #[must_use]
    pub fn new(offset: u64, drift_ppm: i64) -> Self {
        Self {
            offset,
            rate_ppm: PARTS.saturating_add_signed(drift_ppm),
        }
    }

    /// What the clock shows at a real time.
    #[must_use]
    pub const fn local(&self, real: u64) -> Millis {
        Millis(self.offset + real * self.rate_ppm / PARTS)
    }

    /// The first real time at which the clock shows `local` or later.
    #[must_use]
    pub const fn real(&self, local: Millis) -> u64 {
        let run = local.0.saturating_sub(self.offset);
        run.saturating_mul(PARTS).div_ceil(self.rate_ppm)
    }
}
