//! When a request takes so long that a second send is worth it.

use hdrhistogram::Histogram;

/// Samples of one generation: the quantile comes from the last one or two.
const GENERATION_SAMPLES: u64 = 1_000;

/// Samples before the quantile counts.
const LEAST_SAMPLES: u64 = 100;

/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// Recent times of one service's requests.
#[derive(Clone, Debug)]
pub struct RecentTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl RecentTimes {
    /// Makes a record without samples.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it accepts.
    #[must_use]
    pub fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, LONGEST_MS, 2).expect("the bounds are valid");
        Self {
            current: empty.clone(),
            previous: empty,
        }
    }

    /// Takes the time of a request.
    pub fn record(&mut self, elapsed_ms: u64) {
        self.current.saturating_record(elapsed_ms);
        if self.current.len() >= GENERATION_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns the time that a share of recent requests stayed within, in milliseconds, or none
    /// while there are too few of them.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<u64> {
        let newest = if self.previous.is_empty() {
            &self.current
        } else {
            &self.previous
        };
        (newest.len() >= LEAST_SAMPLES).then(|| newest.value_at_quantile(share))
    }
}

impl Default for RecentTimes {
    fn default() -> Self {
        Self::new()
    }
}
