//! How long work takes, as a moving mean.

/// Weight of a new observation. With some ten answers a second it follows a change within a second.
const NEW_WEIGHT: f64 = 0.1;

/// Moving mean of durations in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTimeMean {
    mean_ms: Option<f64>,
}

impl ServiceTimeMean {
    /// Makes a mean without observations.
    #[must_use]
    pub const fn new() -> Self {
        Self { mean_ms: None }
    }

    /// Takes an observation.
    pub fn observe(&mut self, elapsed_ms: f64) {
        let mean = self.mean_ms.unwrap_or(elapsed_ms);
        self.mean_ms = Some(mean + (elapsed_ms - mean) * NEW_WEIGHT);
    }

    /// Returns the mean, or `otherwise` before the first observation, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self, otherwise: f64) -> f64 {
        self.mean_ms.unwrap_or(otherwise)
    }
}
