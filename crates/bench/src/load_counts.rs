//! Request counts of a load by outcome, and the latency of served requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use jy_types::request::RefusalKind;

use crate::call::CallOutcome;
use crate::call::RefusedRun;

/// Largest latency that the histogram distinguishes; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Request counts and latencies of a load.
#[derive(Clone, Debug)]
pub struct LoadCounts {
    /// Number of requests by outcome.
    pub by_outcome: BTreeMap<CallOutcome, u64>,
    /// Latency of served requests, in microseconds.
    served_us: Histogram<u64>,
}

impl LoadCounts {
    /// Creates counts without any request.
    ///
    /// # Panics
    ///
    /// Never: a range of one minute in microseconds, with three significant digits, is valid for a histogram.
    #[must_use]
    pub fn new() -> Self {
        let served_us = Histogram::new_with_max(MAX_LATENCY_US, 3)
            .expect("the range and the precision are valid for a histogram");
        Self {
            by_outcome: BTreeMap::new(),
            served_us,
        }
    }

    /// Counts one request.
    pub fn add(&mut self, outcome: CallOutcome, latency: Duration) {
        *self.by_outcome.entry(outcome).or_default() += 1;
        if outcome == CallOutcome::Served {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            self.served_us.saturating_record(micros);
        }
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.by_outcome.values().sum()
    }

    /// Returns the number of requests whose outcome satisfies `matches`.
    pub fn count(&self, matches: impl Fn(CallOutcome) -> bool) -> u64 {
        let outcomes = self.by_outcome.iter();
        outcomes
            .filter(|(outcome, _)| matches(**outcome))
            .map(|(_, n)| n)
            .sum()
    }

    /// Returns the number of served requests.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.count(|outcome| outcome == CallOutcome::Served)
    }

    /// Returns the number of requests without a complete answer: no connection came about, it ended early, or
    /// the request timed out.
    #[must_use]
    pub fn unanswered(&self) -> u64 {
        self.count(|outcome| {
            matches!(
                outcome,
                CallOutcome::Disconnected | CallOutcome::NoConnection | CallOutcome::TimedOut
            )
        })
    }

    /// Returns the number of answers that are [`CallOutcome::Mismatched`] or [`CallOutcome::Unexpected`].
    #[must_use]
    pub fn wrong_answers(&self) -> u64 {
        self.count(|outcome| {
            matches!(
                outcome,
                CallOutcome::Mismatched | CallOutcome::Unexpected(_)
            )
        })
    }

    /// Returns the number of refused requests that may have run.
    #[must_use]
    pub fn unknown(&self) -> u64 {
        self.count(|outcome| matches!(outcome, CallOutcome::Refused(_, RefusedRun::Unknown)))
    }

    /// Returns the number of refusals of a kind.
    #[must_use]
    pub fn refused(&self, wanted: RefusalKind) -> u64 {
        self.count(|outcome| matches!(outcome, CallOutcome::Refused(kind, _) if kind == wanted))
    }

    /// Returns a quantile of the latency of served requests, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        to_ms(self.served_us.value_at_quantile(quantile))
    }

    /// Prints the total, then the number of requests for each outcome.
    pub fn print(&self, title: &str) {
        println!("{title}: {} requests", self.total());
        for (outcome, count) in &self.by_outcome {
            println!("  {:<46} {count:>8}", outcome.label());
        }
    }
}

impl Default for LoadCounts {
    fn default() -> Self {
        Self::new()
    }
}

/// Converts microseconds to milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "latencies stay far below 2^52 microseconds"
)]
fn to_ms(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
