//! The local clock of a process, which runs faster or slower than real time.

use jy_types::time::Millis;
use rand::Rng;
use rand::rngs::StdRng;

use super::settings::CheckSettings;

/// The rate of a clock without drift, in parts per million.
const NOMINAL_RATE_PPM: u64 = 1_000_000;

/// Local times that clocks may show at real time zero.
const INITIAL_OFFSETS_MS: std::ops::Range<u64> = 10_000..1_000_000;

/// A clock with a constant drift.
#[derive(Clone, Copy, Debug)]
pub struct DriftClock {
    offset_ms: u64,
    rate_ppm: u64,
}

impl DriftClock {
    /// Creates a clock that shows `offset_ms` at real time zero and gains `drift_ppm` parts per million.
    #[must_use]
    pub fn new(offset_ms: u64, drift_ppm: i64) -> Self {
        Self {
            offset_ms,
            rate_ppm: NOMINAL_RATE_PPM.saturating_add_signed(drift_ppm),
        }
    }

    /// Draws a clock. `is_slow` selects the direction of the drift if the settings ask for opposed drifts.
    #[must_use]
    pub fn draw(settings: &CheckSettings, is_slow: bool, rng: &mut StdRng) -> Self {
        let max_drift_ppm = settings.drift_ppm;
        let drift = match rng.random_range(0..3) {
            _ if settings.opposed_drift && is_slow => -max_drift_ppm,
            _ if settings.opposed_drift => max_drift_ppm,
            0 => -max_drift_ppm,
            1 => max_drift_ppm,
            _ => rng.random_range(-max_drift_ppm..=max_drift_ppm),
        };
        Self::new(rng.random_range(INITIAL_OFFSETS_MS), drift)
    }

    /// Returns the local time at a real time.
    #[must_use]
    pub const fn local(&self, real: u64) -> Millis {
        Millis(self.offset_ms + real * self.rate_ppm / NOMINAL_RATE_PPM)
    }

    /// Returns the first real time at which the clock shows `local` or later.
    #[must_use]
    pub const fn real_time_of(&self, local: Millis) -> u64 {
        let elapsed = local.0.saturating_sub(self.offset_ms);
        elapsed
            .saturating_mul(NOMINAL_RATE_PPM)
            .div_ceil(self.rate_ppm)
    }
}
