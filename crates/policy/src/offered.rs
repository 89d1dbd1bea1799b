//! How much work a backend server is offered, in all and by neighbouring keys.

use std::collections::BTreeMap;

use jy_types::time::Millis;

/// Offered work counts half after this time, in milliseconds: several requests' work.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Buckets of keys whose work is counted at most before those with little are dropped.
const MOST_BUCKETS: usize = 2_048;
/// Work of a bucket that is little, in milliseconds: a fraction of one request's.
const LEAST_BUCKET_MS: f64 = 1.0;

/// Share of its capacity that a backend server may be offered without being overloaded.
const FULL_SHARE: f64 = 1.1;

/// Work that was offered lately, fading with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Millis,
}

impl DecayingSum {
    /// The sum as it counts now.
    fn value(&self, now: Millis) -> f64 {
        let age = now.since(self.at) as f64;
        self.sum * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// Adds to the sum.
    fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.value(now) + amount;
        self.at = now;
    }

    /// The rate that the sum stands for, in units a millisecond.
    fn rate(&self, now: Millis) -> f64 {
        self.value(now) * std::f64::consts::LN_2 / HALF_LIFE_MS
    }
}

/// Work that a backend server was offered lately, taken or refused.
#[derive(Clone, Debug, Default)]
pub struct OfferedWork {
    total: DecayingSum,
    buckets: BTreeMap<u16, DecayingSum>,
}

impl OfferedWork {
    /// Makes a count without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts work in milliseconds, with the bucket of its key if it has one.
    pub fn add(&mut self, now: Millis, bucket: Option<u16>, work_ms: f64) {
        self.total.add(now, work_ms);
        let Some(bucket) = bucket else {
            return;
        };
        self.buckets.entry(bucket).or_default().add(now, work_ms);
        if self.buckets.len() > MOST_BUCKETS {
            self.buckets
                .retain(|_, sum| sum.value(now) >= LEAST_BUCKET_MS);
        }
    }

    /// Share of the capacity of `slots` that is asked for; above one, more than there is.
    #[must_use]
    pub fn share(&self, now: Millis, slots: u32) -> f64 {
        self.total.rate(now) / f64::from(slots.max(1))
    }

    /// Share of the capacity of `slots` that each bucket of keys asks for.
    #[must_use]
    pub fn by_bucket(&self, now: Millis, slots: u32) -> BTreeMap<u16, f64> {
        let slots = f64::from(slots.max(1));
        let share = |sum: &DecayingSum| sum.rate(now) / slots;
        let buckets = self.buckets.iter();
        buckets.map(|(bucket, sum)| (*bucket, share(sum))).collect()
    }
}

/// Work that a backend server was offered beyond its capacity and that it has not had time to make up for
/// since. An overload that lasts pays for a remedy that itself costs; a short one does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct SustainedOverload {
    overload_ms: f64,
    at: Millis,
}

impl SustainedOverload {
    /// Starts without any overload.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the share of the capacity that is asked for now, and returns the overload: the time in which
    /// the whole backend server could do it, in milliseconds.
    pub fn observe(&mut self, now: Millis, share: f64) -> f64 {
        let span_ms = if self.at == Millis::default() {
            0
        } else {
            now.since(self.at)
        };
        self.at = now;
        self.overload_ms = (self.overload_ms + (share - FULL_SHARE) * span_ms as f64).max(0.0);
        self.overload_ms
    }

    /// Forgets the overload, because a remedy was begun.
    pub fn clear(&mut self) {
        self.overload_ms = 0.0;
    }
}
