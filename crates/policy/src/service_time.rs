//! Moving mean of service times.

/// Weight of a new observation. At about ten answers per second, the mean follows a change within a second.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// Exponentially weighted moving mean of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTimeMean {
    mean_ms: Option<f64>,
}

impl ServiceTimeMean {
    /// Creates a mean without observations.
    #[must_use]
    pub const fn new() -> Self {
        Self { mean_ms: None }
    }

    /// Adds an observation.
    pub fn observe(&mut self, elapsed_ms: f64) {
        let mean = self.mean_ms.unwrap_or(elapsed_ms);
        self.mean_ms = Some(mean + (elapsed_ms - mean) * OBSERVATION_WEIGHT);
    }

    /// Returns the mean, or `default_ms` before the first observation, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self, default_ms: f64) -> f64 {
        self.mean_ms.unwrap_or(default_ms)
    }
}
