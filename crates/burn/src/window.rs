//! Windows of time and the requests that fall into them.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::request::RefusalKind;
use jy_types::time::WallMillis;

use crate::delta::CounterDelta;

/// Outcome of a request that was served.
pub const SERVED: &str = "served";

/// Refusals that the caller brought about: they count for no objective.
const CALLER_FAULTS: [RefusalKind; 5] = [
    RefusalKind::BadRequest,
    RefusalKind::UnknownService,
    RefusalKind::BodyTooLarge,
    RefusalKind::StillRunning,
    RefusalKind::IdReused,
];

/// A stretch of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeWindow {
    /// Begin.
    pub from: WallMillis,
    /// End.
    pub to: WallMillis,
}

impl TimeWindow {
    /// Returns the part of a delta that falls into the window, its requests taken as spread evenly.
    /// A delta without length belongs to the window that its point lies in.
    #[must_use]
    pub fn share(self, delta: &CounterDelta) -> f64 {
        let length = delta.to.0.saturating_sub(delta.from.0);
        if length == 0 {
            let inside = delta.to > self.from && delta.to <= self.to;
            return if inside { 1.0 } else { 0.0 };
        }
        let from = delta.from.max(self.from);
        let to = delta.to.min(self.to);
        ratio(to.0.saturating_sub(from.0), length)
    }
}

/// Divides two lengths of time.
#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds of months are exact in 53 bits"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

/// Requests of one service within a window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// Served requests.
    pub served: f64,
    /// Requests refused through no fault of the caller, by the refusal's name.
    pub bad: BTreeMap<Name, f64>,
    /// Answers within the latency bound.
    pub fast: f64,
    /// All answers timed.
    pub timed: f64,
    /// The bound that was used, in milliseconds.
    pub latency_bound_ms: Option<f64>,
}

impl RequestCounts {
    /// Adds up the deltas within a window.
    ///
    /// Between two buckets nothing is known: the highest bound within `latency_ms` is used, which
    /// never counts a slow answer as fast.
    #[must_use]
    pub fn new(deltas: &[&CounterDelta], window: TimeWindow, latency_ms: u64) -> Self {
        let mut tally = Self::default();
        for delta in deltas {
            let share = window.share(delta);
            if share > 0.0 {
                tally.add(delta, share, latency_ms);
            }
        }
        tally
    }

    /// Adds a share of one delta.
    fn add(&mut self, delta: &CounterDelta, share: f64, latency_ms: u64) {
        for (outcome, count) in &delta.counters.outcomes {
            let count = count * share;
            if &**outcome == SERVED {
                self.served += count;
            } else if !CALLER_FAULTS.iter().any(|kind| kind.name() == &**outcome) {
                *self.bad.entry(outcome.clone()).or_default() += count;
            }
        }
        let limit_s = std::time::Duration::from_millis(latency_ms).as_secs_f64();
        let within = delta
            .counters
            .durations
            .iter()
            .rfind(|bucket| bucket.bound.is_some_and(|bound| bound <= limit_s));
        if let Some(bucket) = within {
            self.fast += bucket.count * share;
            self.latency_bound_ms = bucket.bound.map(|bound| bound * 1_000.0);
        }
        let all = delta
            .counters
            .durations
            .iter()
            .find(|bucket| bucket.bound.is_none());
        self.timed += all.map_or(0.0, |bucket| bucket.count) * share;
    }

    /// Returns served requests and all that count.
    #[must_use]
    pub fn availability(&self) -> (f64, f64) {
        (self.served, self.served + self.bad.values().sum::<f64>())
    }

    /// Returns answers within the bound and all answers.
    #[must_use]
    pub const fn latency(&self) -> (f64, f64) {
        (self.fast, self.timed)
    }
}

/// Returns the longest unavailable stretch: the sum over looks in a row at one agent, each of which
/// saw the counter grow.
#[must_use]
pub fn longest_stretch_s(deltas: &[&CounterDelta], window: TimeWindow) -> f64 {
    let mut running: BTreeMap<&Name, f64> = BTreeMap::new();
    let mut longest: f64 = 0.0;
    for delta in deltas.iter().filter(|delta| window.share(delta) > 0.0) {
        let stretch = running.entry(&delta.agent).or_default();
        let grown = delta.counters.unavailable_s;
        *stretch = if grown > 0.0 { *stretch + grown } else { 0.0 };
        longest = longest.max(*stretch);
    }
    longest
}
