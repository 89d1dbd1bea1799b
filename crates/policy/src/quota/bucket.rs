//! The credit of one part of one tenant's quota.

use jy_types::time::Millis;

use super::MAX_VALID_MS;
use super::QuotaTerms;

/// Longest time until which a borrower is told to wait beyond the next credit, in milliseconds. Later waits would
/// leave credit unused if the callers do not come back.
const MAX_WAIT_AHEAD_MS: f64 = 1_000.0;
/// Length of a period in which returned credit is checked, in milliseconds.
const PERIOD_MS: u64 = 250;
/// Number of periods for which credit can be returned: as long as it may be valid.
const PERIODS: usize = (MAX_VALID_MS / PERIOD_MS) as usize + 2;

/// What a bucket lends to one credit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketLoan {
    /// Number of requests for which credit is lent.
    pub lent: u32,
    /// Period in which it was lent.
    pub period: u64,
    /// Time until there is credit for the requests that still wait, in milliseconds; zero if none does.
    pub wait_ms: u64,
}

/// Credit that accrues at a constant rate up to a limit, starting from nothing.
///
/// Returned credit counts as if it had never been lent. Since the bucket might have been full in between, it is
/// accepted only as far as the bucket would not have overflowed since the start of the period of the loan.
#[derive(Clone, Copy, Debug)]
pub struct CreditBucket {
    rate_per_ms: f64,
    depth: f64,
    level: f64,
    refilled_at: Millis,
    /// Time up to which accruing credit is expected to be used by borrowers that were told to wait, in
    /// milliseconds.
    expected_until: f64,
    period: u64,
    period_start: Millis,
    /// Highest level in each of the last periods, by the period modulo their number.
    peaks: [f64; PERIODS],
}

impl CreditBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub fn new(now: Millis, terms: &QuotaTerms) -> Self {
        Self {
            rate_per_ms: terms.rate_per_ms,
            depth: terms.depth,
            level: 0.0,
            refilled_at: now,
            expected_until: 0.0,
            period: 0,
            period_start: now,
            peaks: [0.0; PERIODS],
        }
    }

    /// Applies new terms. Credit beyond the new limit is lost, and earlier loans can't be returned.
    pub fn set_terms(&mut self, now: Millis, terms: &QuotaTerms) {
        if self.rate_per_ms.to_bits() == terms.rate_per_ms.to_bits()
            && self.depth.to_bits() == terms.depth.to_bits()
        {
            return;
        }
        self.refill(now);
        self.rate_per_ms = terms.rate_per_ms;
        self.depth = terms.depth;
        self.level = self.level.min(terms.depth);
        self.expected_until = 0.0;
        self.advance(now, PERIODS as u64);
    }

    /// Lends credit: to `needed` waiting requests as far as there is any, and beyond that at most half of what is
    /// left, so that other borrowers find some.
    pub fn lend(&mut self, now: Millis, needed: u32, wanted: u32) -> BucketLoan {
        self.refill(now);
        let available = self.level.floor().min(f64::from(u32::MAX)) as u32;
        let lent_to_waiting = needed.min(available);
        let left = available - lent_to_waiting;
        let lent = lent_to_waiting + wanted.saturating_sub(needed).min(left / 2);
        self.level -= f64::from(lent);
        BucketLoan {
            lent,
            period: self.period,
            wait_ms: self.wait_ms(now, needed - lent_to_waiting),
        }
    }

    /// Takes back credit that was lent in `period` and not used.
    pub fn take_back(&mut self, now: Millis, period: u64, amount: u32) {
        self.refill(now);
        let age = self.period.wrapping_sub(period);
        if age >= PERIODS as u64 {
            return;
        }
        let indices = || (period..=self.period).map(|period| period as usize % PERIODS);
        let peak = indices().map(|index| self.peaks[index]).fold(0.0, f64::max);
        let accepted = f64::from(amount).min(self.depth - peak).max(0.0);
        self.level += accepted;
        for index in indices() {
            self.peaks[index] += accepted;
        }
    }

    /// Returns the time until there is credit for a borrower with `missing` waiting requests, in milliseconds.
    /// Borrowers are told different times in the order in which they ask, spaced by the time in which their credit
    /// accrues.
    fn wait_ms(&mut self, now: Millis, missing: u32) -> u64 {
        if missing == 0 {
            return 0;
        }
        let now = now.0 as f64;
        let next = now + (1.0 - self.level).max(0.0) / self.rate_per_ms;
        let start = next.max(self.expected_until);
        let end = start + f64::from(missing) / self.rate_per_ms;
        self.expected_until = end.min(next + MAX_WAIT_AHEAD_MS);
        ((start - now).ceil() as u64).max(1)
    }

    /// Adds the credit that has accrued since the last call.
    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.refilled_at) as f64;
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + elapsed_ms * self.rate_per_ms).min(self.depth);
        let peak = &mut self.peaks[self.period as usize % PERIODS];
        *peak = peak.max(self.level);
        let periods = now.since(self.period_start) / PERIOD_MS;
        if periods > 0 {
            self.advance(now, periods);
        }
    }

    /// Starts the period that is `count` periods after the present one.
    fn advance(&mut self, now: Millis, count: u64) {
        for _ in 0..count.min(PERIODS as u64) {
            self.period += 1;
            // The level did not fall since the last loan.
            self.peaks[self.period as usize % PERIODS] = self.level;
        }
        self.period_start = now;
    }
}
