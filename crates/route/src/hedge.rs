//! Recent latencies of a service, which determine when a request is hedged.

use hdrhistogram::Histogram;

/// Samples in one histogram. The quantile is taken from the last full histogram, or from the current one
/// until the first histogram is full.
const HISTOGRAM_SAMPLES: u64 = 1_000;

/// Samples required before a quantile is returned.
const MIN_SAMPLES: u64 = 100;

/// Longer latencies are recorded as this one.
const MAX_LATENCY_MS: u64 = 60_000;

/// Recent latencies of the requests of one service.
#[derive(Clone, Debug)]
pub struct RecentLatencies {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl RecentLatencies {
    /// Creates a record without samples.
    ///
    /// # Panics
    ///
    /// Never: the histogram accepts the bounds, which are constants.
    #[must_use]
    pub fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2)
            .expect("the histogram bounds are valid");
        Self {
            current: empty.clone(),
            previous: empty,
        }
    }

    /// Adds the latency of a request.
    pub fn record(&mut self, elapsed_ms: u64) {
        self.current.saturating_record(elapsed_ms);
        if self.current.len() >= HISTOGRAM_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns the latency that a fraction of the recent requests did not exceed, in milliseconds, or none if
    /// there are too few samples.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Option<u64> {
        let histogram = if self.previous.is_empty() {
            &self.current
        } else {
            &self.previous
        };
        (histogram.len() >= MIN_SAMPLES).then(|| histogram.value_at_quantile(fraction))
    }
}

impl Default for RecentLatencies {
    fn default() -> Self {
        Self::new()
    }
}
