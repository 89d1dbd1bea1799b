//! Work that a backend server is offered, in total and by bucket of neighbouring keys.

use std::collections::BTreeMap;

use jy_types::time::Millis;

use crate::decay::DecayingSum;

/// Half-life of offered work: the service time of several requests.
const HALF_LIFE_MS: u64 = 1_000;

/// Number of key buckets above which those with little work are dropped.
const MAX_BUCKETS: usize = 2_048;

/// Work below which a bucket may be dropped: a fraction of one request's.
const MIN_BUCKET_WORK_MS: f64 = 1.0;

/// Share of its capacity that a backend server may be offered without counting as overloaded.
const OVERLOAD_SHARE: f64 = 1.1;

/// Work that a backend server was recently offered, whether admitted or refused.
#[derive(Clone, Debug, Default)]
pub struct OfferedWork {
    total: DecayingSum<HALF_LIFE_MS>,
    buckets: BTreeMap<u16, DecayingSum<HALF_LIFE_MS>>,
}

impl OfferedWork {
    /// Creates a count without any work.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts offered work, also for the bucket of its key if it has one.
    pub fn add(&mut self, now: Millis, bucket: Option<u16>, work_ms: f64) {
        self.total.add(now, work_ms);
        let Some(bucket) = bucket else {
            return;
        };
        self.buckets.entry(bucket).or_default().add(now, work_ms);
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets
                .retain(|_, sum| sum.value(now) >= MIN_BUCKET_WORK_MS);
        }
    }

    /// Returns the share of the capacity of `slots` that the offered work needs. It is above one if the work
    /// exceeds the capacity.
    #[must_use]
    pub fn share(&self, now: Millis, slots: u32) -> f64 {
        self.total.rate(now) / f64::from(slots.max(1))
    }

    /// Returns the share of the capacity of `slots` that the offered work of each bucket needs.
    #[must_use]
    pub fn by_bucket(&self, now: Millis, slots: u32) -> BTreeMap<u16, f64> {
        let slots = f64::from(slots.max(1));
        let share = |sum: &DecayingSum<HALF_LIFE_MS>| sum.rate(now) / slots;
        let buckets = self.buckets.iter();
        buckets.map(|(bucket, sum)| (*bucket, share(sum))).collect()
    }
}

/// Work that a backend server was offered beyond its capacity and has not had time to catch up on since.
/// A sustained overload justifies a countermeasure that has a cost of its own; a short one does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct SustainedOverload {
    overload_ms: f64,
    at: Millis,
}

impl SustainedOverload {
    /// Creates a measure without any overload.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the share of the capacity that the offered work needs now, and returns the overload: the time
    /// that the whole backend server would need to work it off, in milliseconds.
    pub fn observe(&mut self, now: Millis, share: f64) -> f64 {
        let span_ms = if self.at == Millis::default() {
            0
        } else {
            now.since(self.at)
        };
        self.at = now;
        self.overload_ms = (self.overload_ms + (share - OVERLOAD_SHARE) * span_ms as f64).max(0.0);
        self.overload_ms
    }

    /// Resets the overload after a countermeasure has started.
    pub fn clear(&mut self) {
        self.overload_ms = 0.0;
    }
}
