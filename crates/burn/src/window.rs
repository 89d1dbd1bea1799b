//! Time windows and the requests within them.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::request::RefusalKind;
use jy_types::time::WallMillis;

use crate::delta::CounterDelta;

/// Name of the outcome of a served request.
pub const SERVED: &str = "served";

/// Refusals caused by the caller, which count towards no objective.
const CALLER_ERRORS: [RefusalKind; 5] = [
    RefusalKind::BadRequest,
    RefusalKind::UnknownService,
    RefusalKind::BodyTooLarge,
    RefusalKind::StillRunning,
    RefusalKind::IdReused,
];

/// A time window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeWindow {
    /// Start of the window.
    pub from: WallMillis,
    /// End of the window.
    pub to: WallMillis,
}

impl TimeWindow {
    /// Returns the share of a delta that lies within the window, assuming that its requests are spread evenly
    /// over its interval. A delta of zero length counts in full if it is after the start of the window and not
    /// after its end.
    #[must_use]
    pub fn share(self, delta: &CounterDelta) -> f64 {
        let length_ms = delta.to.0.saturating_sub(delta.from.0);
        if length_ms == 0 {
            let is_inside = delta.to > self.from && delta.to <= self.to;
            return if is_inside { 1.0 } else { 0.0 };
        }
        let from = delta.from.max(self.from);
        let to = delta.to.min(self.to);
        ratio(to.0.saturating_sub(from.0), length_ms)
    }
}

/// Divides two durations in milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "months in milliseconds are exact in 53 bits"
)]
fn ratio(part_ms: u64, total_ms: u64) -> f64 {
    part_ms as f64 / total_ms as f64
}

/// Requests of one service within a window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// Number of served requests.
    pub served: f64,
    /// Number of refused requests by the name of the refusal, without those caused by the caller.
    pub bad: BTreeMap<Name, f64>,
    /// Number of answers within the latency bound.
    pub within_bound: f64,
    /// Number of answers with a measured duration.
    pub timed: f64,
    /// Latency bound used, in milliseconds. `None` if no bucket bound is within the target.
    pub latency_bound_ms: Option<f64>,
}

impl RequestCounts {
    /// Sums the deltas within a window.
    ///
    /// How durations are distributed between two bucket bounds is not known. The highest bound that is not
    /// above `latency_ms` is used, which never counts an answer slower than `latency_ms` as within the bound.
    #[must_use]
    pub fn new(deltas: &[&CounterDelta], window: TimeWindow, latency_ms: u64) -> Self {
        let mut counts = Self::default();
        for delta in deltas {
            let share = window.share(delta);
            if share > 0.0 {
                counts.add(delta, share, latency_ms);
            }
        }
        counts
    }

    /// Adds the given share of one delta.
    fn add(&mut self, delta: &CounterDelta, share: f64, latency_ms: u64) {
        for (outcome, count) in &delta.counters.outcomes {
            let count = count * share;
            if &**outcome == SERVED {
                self.served += count;
            } else if !CALLER_ERRORS.iter().any(|kind| kind.name() == &**outcome) {
                *self.bad.entry(outcome.clone()).or_default() += count;
            }
        }
        let limit_s = std::time::Duration::from_millis(latency_ms).as_secs_f64();
        let bound_bucket = delta
            .counters
            .durations
            .iter()
            .rfind(|bucket| bucket.bound.is_some_and(|bound| bound <= limit_s));
        if let Some(bucket) = bound_bucket {
            self.within_bound += bucket.count * share;
            self.latency_bound_ms = bucket.bound.map(|bound| bound * 1_000.0);
        }
        let total_bucket = delta
            .counters
            .durations
            .iter()
            .find(|bucket| bucket.bound.is_none());
        self.timed += total_bucket.map_or(0.0, |bucket| bucket.count) * share;
    }

    /// Returns the number of served requests, and of all requests that count towards availability.
    #[must_use]
    pub fn availability(&self) -> (f64, f64) {
        (self.served, self.served + self.bad.values().sum::<f64>())
    }

    /// Returns the number of answers within the latency bound, and of all timed answers.
    #[must_use]
    pub const fn latency(&self) -> (f64, f64) {
        (self.within_bound, self.timed)
    }
}

/// Returns the longest unavailable period, in seconds: the maximum sum of the increases of the counter over
/// consecutive deltas of one agent, in each of which the counter increased.
#[must_use]
pub fn longest_unavailable_s(deltas: &[&CounterDelta], window: TimeWindow) -> f64 {
    let mut current_s: BTreeMap<&Name, f64> = BTreeMap::new();
    let mut longest_s: f64 = 0.0;
    for delta in deltas.iter().filter(|delta| window.share(delta) > 0.0) {
        let period_s = current_s.entry(&delta.agent).or_default();
        let increase_s = delta.counters.unavailable_s;
        *period_s = if increase_s > 0.0 {
            *period_s + increase_s
        } else {
            0.0
        };
        longest_s = longest_s.max(*period_s);
    }
    longest_s
}
