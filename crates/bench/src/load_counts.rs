//! Counts and durations of a load, by how requests ended.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use jy_types::request::RefusalKind;

use crate::call::CallOutcome;
use crate::call::RefusedRun;

/// Longest duration that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What a load brought.
#[derive(Clone, Debug)]
pub struct LoadCounts {
    /// Requests by how they ended.
    pub ends: BTreeMap<CallOutcome, u64>,
    served: Histogram<u64>,
}

impl LoadCounts {
    /// Starts with no requests counted.
    ///
    /// # Panics
    ///
    /// Never: the library takes a range of a minute in microseconds with three digits.
    #[must_use]
    pub fn new() -> Self {
        let served = Histogram::new_with_max(LONGEST_US, 3).expect("the range is valid");
        Self {
            ends: BTreeMap::new(),
            served,
        }
    }

    /// Counts one request.
    pub fn add(&mut self, end: CallOutcome, took: Duration) {
        *self.ends.entry(end).or_default() += 1;
        if end == CallOutcome::Served {
            let micros = u64::try_from(took.as_micros()).unwrap_or(LONGEST_US);
            self.served.saturating_record(micros);
        }
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.ends.values().sum()
    }

    /// Returns the number of requests of which `matches` holds.
    pub fn count(&self, matches: impl Fn(CallOutcome) -> bool) -> u64 {
        let ends = self.ends.iter();
        ends.filter(|(end, _)| matches(**end)).map(|(_, n)| n).sum()
    }

    /// Returns the number of served requests.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.count(|end| end == CallOutcome::Served)
    }

    /// Returns the number of requests whose connection was cut or that found none.
    #[must_use]
    pub fn cut(&self) -> u64 {
        self.count(|end| {
            matches!(
                end,
                CallOutcome::Cut | CallOutcome::NoConnection | CallOutcome::TimedOut
            )
        })
    }

    /// Returns the number of foreign, short or odd answers.
    #[must_use]
    pub fn wrong(&self) -> u64 {
        self.count(|end| matches!(end, CallOutcome::Foreign | CallOutcome::Odd(_)))
    }

    /// Returns the number of requests whose outcome nobody knows.
    #[must_use]
    pub fn unknown(&self) -> u64 {
        self.count(|end| matches!(end, CallOutcome::Refused(_, RefusedRun::Unknown)))
    }

    /// Returns the number of refusals of a kind.
    #[must_use]
    pub fn refused(&self, wanted: RefusalKind) -> u64 {
        self.count(|end| matches!(end, CallOutcome::Refused(kind, _) if kind == wanted))
    }

    /// Returns a quantile of the durations of served requests, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        to_ms(self.served.value_at_quantile(quantile))
    }

    /// Prints the ends, one a line.
    pub fn print(&self, title: &str) {
        println!("{title}: {} requests", self.total());
        for (end, count) in &self.ends {
            println!("  {:<46} {count:>8}", end.label());
        }
    }
}

impl Default for LoadCounts {
    fn default() -> Self {
        Self::new()
    }
}

/// Turns microseconds into milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "durations stay far below 2^52 microseconds"
)]
fn to_ms(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
