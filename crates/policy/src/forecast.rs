//! Forecast of the capacity that work which can be on time leaves free.
//!
//! Load pattern: more requests than a backend server can answer in time, for seconds, from callers that still want
//! a late answer. A late request is served in the capacity that is left, so it may wait if there will be some.

use std::collections::BTreeMap;

use jy_types::time::Millis;

use crate::decay::DecayingSum;

/// Half-life of the measured work. A burst of a second, whose work waits in the queue anyway, changes the forecast
/// little; a crowd of several seconds ends it.
const HALF_LIFE_MS: u64 = 4_000;

/// Shortest time of measurement before a forecast is made, in milliseconds.
const MIN_MEASURED_MS: u64 = 1_000;

/// Time between two computations, in milliseconds: a small fraction of the half-life.
const REFRESH_MS: u64 = 20;

/// Work admitted lately that could be on time, by class. Refused work takes no capacity.
#[derive(Clone, Debug, Default)]
pub struct CapacityForecast {
    classes: BTreeMap<u32, ClassForecast>,
    measured_since: Option<Millis>,
    refreshed_at: Millis,
}

/// Work of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassForecast {
    admitted: DecayingSum<HALF_LIFE_MS>,
    /// Share of the capacity that this class and all more urgent ones leave free.
    free_share: f64,
}

impl CapacityForecast {
    /// Creates a forecast without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an offered request, with no work unless it is admitted and can be on time.
    pub fn record(&mut self, now: Millis, slots: u32, class: u32, work_ms: f64) {
        self.measured_since.get_or_insert(now);
        let is_new = !self.classes.contains_key(&class);
        let admitted = &mut self.classes.entry(class).or_default().admitted;
        admitted.add(now, work_ms);
        if is_new || now.since(self.refreshed_at) >= REFRESH_MS {
            self.refresh(now, slots);
        }
    }

    /// Returns the share of the capacity that is expected to be free for late requests of a class; `None` if it has
    /// not been measured for long enough.
    #[must_use]
    pub fn free_share(&self, now: Millis, class: u32) -> Option<f64> {
        let measured_ms = now.since(self.measured_since?);
        let forecast = self.classes.get(&class)?;
        (measured_ms >= MIN_MEASURED_MS).then_some(forecast.free_share)
    }

    /// Computes the free share of each class.
    fn refresh(&mut self, now: Millis, slots: u32) {
        self.refreshed_at = now;
        let measured_ms = self.measured_since.map_or(0, |since| now.since(since));
        // The sum has not reached its steady value yet if the measurement has just begun.
        let weight = 1.0 - 0.5_f64.powf(measured_ms as f64 / HALF_LIFE_MS as f64);
        let capacity = f64::from(slots) * weight.max(f64::MIN_POSITIVE);
        let mut used_share = 0.0;
        for forecast in self.classes.values_mut() {
            used_share += forecast.admitted.rate(now) / capacity;
            forecast.free_share = (1.0 - used_share).max(0.0);
        }
    }
}
