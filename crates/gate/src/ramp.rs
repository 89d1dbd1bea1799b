//! Concurrency limit of a backend server, raised step by step after a cold start.
//!
//! A backend server in cold start can handle few requests at once, and more as it completes answers. Every
//! new process is treated as cold, whatever it announces.

use jy_types::time::Millis;

/// Number of answers after which a slow one is treated as a sign of a cold start.
const SLOW_DETECTION_MIN_ANSWERS: u64 = 100;

/// An answer that takes more than this many times the slowest earlier one is a sign of a cold start.
const SLOW_FACTOR: u64 = 2;

/// Service times up to this one are never treated as slow, in milliseconds.
const SLOW_MIN_MS: u64 = 20;

/// Delay after a suspected restart from which an announcement can rule the restart out, in milliseconds.
/// An earlier announcement may have been sent before the restart.
const ANNOUNCEMENT_LAG_MS: u64 = 200;

/// How the limit grows during a cold start.
#[derive(Clone, Copy, Debug)]
pub struct RampPace {
    /// Limit when warm.
    pub slots: u32,
    /// Limit at the beginning of a cold start.
    pub start_limit: u32,
    /// Number of answers before the limit grows by one.
    pub step_answers: u32,
    /// Minimum time before the limit grows by one, in milliseconds.
    pub step_ms: u64,
}

/// A possible restart, which a later announcement confirms or rules out.
#[derive(Clone, Copy, Debug)]
struct SuspectedRestart {
    at: Millis,
    /// Limit to restore if there was no restart.
    limit: u32,
}

/// Concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct ConcurrencyRamp {
    pace: RampPace,
    announced_slots: u32,
    limit: u32,
    step_answers_done: u32,
    step_started_at: Millis,
    epoch: u64,
    start_stamp: Option<u64>,
    announced_cold: bool,
    suspected: Option<SuspectedRestart>,
    answers: u64,
    slowest_ms: u64,
}

impl ConcurrencyRamp {
    /// Creates a limit at the beginning of a cold start.
    #[must_use]
    pub const fn new(pace: RampPace) -> Self {
        Self {
            pace,
            announced_slots: u32::MAX,
            limit: pace.start_limit,
            step_answers_done: 0,
            step_started_at: Millis(0),
            epoch: 0,
            start_stamp: None,
            announced_cold: false,
            suspected: None,
            answers: 0,
            slowest_ms: 0,
        }
    }

    /// Returns how many requests may be in flight at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.min(self.warm_limit()).max(1)
    }

    /// Replaces the pace.
    pub const fn configure(&mut self, pace: RampPace) {
        self.pace = pace;
    }

    /// Number of the current cold start.
    ///
    /// Answers to requests that were sent in an earlier epoch are ignored.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns how many requests may be in flight at once when warm.
    fn warm_limit(&self) -> u32 {
        self.pace.slots.min(self.announced_slots)
    }

    /// Handles an announcement.
    ///
    /// A new process begins a cold start, and so does one that newly announces itself as cold. If the
    /// process is the same as before a suspected restart, its previous limit is restored, unless it announces
    /// itself as cold or the announcement may have been sent before the restart.
    pub fn announced(&mut self, now: Millis, start_stamp: u64, slots: u32, cold: bool) {
        self.announced_slots = slots;
        let is_new = self.start_stamp != Some(start_stamp);
        if is_new || (cold && !self.announced_cold) {
            self.suspected = None;
            self.restart(now);
        } else if let Some(suspected) = self.suspected.filter(|_| !cold)
            && now.since(suspected.at) >= ANNOUNCEMENT_LAG_MS
        {
            self.suspected = None;
            self.limit = self.limit.max(suspected.limit);
        }
        self.start_stamp = Some(start_stamp);
        self.announced_cold = cold;
    }

    /// Begins a cold start because the backend server may have restarted, such as after a broken connection.
    pub fn suspect_restart(&mut self, now: Millis) {
        let limit_before = self
            .suspected
            .map_or(self.limit(), |suspected| suspected.limit);
        self.suspected = Some(SuspectedRestart {
            at: now,
            limit: limit_before,
        });
        self.restart(now);
    }

    /// Begins a cold start.
    const fn restart(&mut self, now: Millis) {
        self.epoch += 1;
        self.limit = self.pace.start_limit;
        self.step_answers_done = 0;
        self.step_started_at = now;
        self.answers = 0;
        self.slowest_ms = 0;
    }

    /// Records a completed answer to a request that was sent in `epoch`.
    ///
    /// Raises the limit when a step is due; an unusually slow answer begins a cold start instead.
    pub fn answered(&mut self, now: Millis, epoch: u64, service_ms: u64) {
        if epoch != self.epoch {
            return;
        }
        if self.indicates_cold_start(service_ms) {
            self.restart(now);
            self.slowest_ms = service_ms;
            return;
        }
        self.answers += 1;
        self.slowest_ms = self.slowest_ms.max(service_ms);
        self.step_answers_done += 1;
        let is_due = now.since(self.step_started_at) >= self.pace.step_ms;
        if self.limit < self.warm_limit()
            && self.step_answers_done >= self.pace.step_answers
            && is_due
        {
            self.step_answers_done = 0;
            self.step_started_at = now;
            self.limit += 1;
        }
    }

    /// Lowers the limit because the backend server shed a request.
    pub fn shed(&mut self, now: Millis) {
        self.limit = self.limit().saturating_sub(1).max(1);
        self.step_answers_done = 0;
        self.step_started_at = now;
    }

    /// Whether an answer is slow enough to show that the backend server is cold again.
    fn indicates_cold_start(&self, service_ms: u64) -> bool {
        let threshold_ms = (self.slowest_ms * SLOW_FACTOR).max(SLOW_MIN_MS);
        self.answers >= SLOW_DETECTION_MIN_ANSWERS && service_ms > threshold_ms
    }
}
