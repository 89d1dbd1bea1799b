//! A process's clock that runs fast or slow against real time.

use jy_types::time::Millis;
use rand::Rng;
use rand::rngs::StdRng;

use super::settings::CheckSettings;

/// Parts of a rate.
const PARTS: u64 = 1_000_000;

/// What clocks show at real time zero.
const OFFSETS_MS: std::ops::Range<u64> = 10_000..1_000_000;

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

    /// Draws a clock; `is_slow` decides where drifts are opposed.
    #[must_use]
    pub fn draw(settings: &CheckSettings, is_slow: bool, rng: &mut StdRng) -> Self {
        let most = settings.drift_ppm;
        let drift = match rng.random_range(0..3) {
            _ if settings.opposed_drift && is_slow => -most,
            _ if settings.opposed_drift => most,
            0 => -most,
            1 => most,
            _ => rng.random_range(-most..=most),
        };
        Self::new(rng.random_range(OFFSETS_MS), drift)
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
