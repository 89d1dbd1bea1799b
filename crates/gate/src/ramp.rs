//! How many requests the backend server bears at once.
//!
//! A backend server in cold start bears few requests at once, and more with every answer that it
//! completes. Every new process is taken for cold, whatever it says of itself.

use jy_types::time::Millis;

/// Answers before a slow one counts as a sign of a cold start.
const SETTLED_ANSWERS: u64 = 100;

/// An answer this many times slower than the slowest before is a sign of a cold start.
const SLOWER_THAN_EVER: u64 = 2;

/// Shortest time of an answer that counts as slow, in milliseconds.
const SLOW_FLOOR_MS: u64 = 20;

/// An announcement this much later than a sign of a restart tells whether there was one, in
/// milliseconds.
const ANNOUNCEMENT_LAG_MS: u64 = 200;

/// Pace of a cold start.
#[derive(Clone, Copy, Debug)]
pub struct RampPace {
    /// Requests at once when warm.
    pub slots: u32,
    /// Requests at once at first.
    pub start: u32,
    /// Answers before one request more.
    pub step_answers: u32,
    /// Least time before one request more, in milliseconds.
    pub step_ms: u64,
}

/// A sign of a restart that the next announcement will confirm or not.
#[derive(Clone, Copy, Debug)]
struct RestartSign {
    seen: Millis,
    limit: u32,
}

/// Limit of concurrency at one backend server.
#[derive(Clone, Debug)]
pub struct ConcurrencyRamp {
    pace: RampPace,
    /// Slots as announced.
    announced_slots: u32,
    limit: u32,
    step_count: u32,
    step_from: Millis,
    epoch: u64,
    start_stamp: Option<u64>,
    said_cold: bool,
    sign: Option<RestartSign>,
    answers: u64,
    slowest_ms: u64,
}

impl ConcurrencyRamp {
    /// Makes a limit at the beginning of a cold start.
    #[must_use]
    pub const fn new(pace: RampPace) -> Self {
        Self {
            pace,
            announced_slots: u32::MAX,
            limit: pace.start,
            step_count: 0,
            step_from: Millis(0),
            epoch: 0,
            start_stamp: None,
            said_cold: false,
            sign: None,
            answers: 0,
            slowest_ms: 0,
        }
    }

    /// Requests that may be in flight at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.min(self.most()).max(1)
    }

    /// Sets another pace.
    pub const fn configure(&mut self, pace: RampPace) {
        self.pace = pace;
    }

    /// Number of the current start: only answers to requests sent since it began count.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Requests that may be in flight at once when warm.
    fn most(&self) -> u32 {
        self.pace.slots.min(self.announced_slots)
    }

    /// Takes an announcement: a new process is cold, and so is one that says so anew. The same
    /// process as before a sign of a restart gets its old limit back.
    pub fn announced(&mut self, now: Millis, start_stamp: u64, slots: u32, cold: bool) {
        self.announced_slots = slots;
        let is_new = self.start_stamp != Some(start_stamp);
        if is_new || (cold && !self.said_cold) {
            self.sign = None;
            self.restart(now);
        } else if let Some(sign) = self.sign.filter(|_| !cold)
            && now.since(sign.seen) >= ANNOUNCEMENT_LAG_MS
        {
            self.sign = None;
            self.limit = self.limit.max(sign.limit);
        }
        self.start_stamp = Some(start_stamp);
        self.said_cold = cold;
    }

    /// Takes a sign of a restart, such as a connection that broke.
    pub fn suspect_restart(&mut self, now: Millis) {
        let before = self.sign.map_or(self.limit(), |sign| sign.limit);
        self.sign = Some(RestartSign {
            seen: now,
            limit: before,
        });
        self.restart(now);
    }

    /// Begins a cold start.
    const fn restart(&mut self, now: Millis) {
        self.epoch += 1;
        self.limit = self.pace.start;
        self.step_count = 0;
        self.step_from = now;
        self.answers = 0;
        self.slowest_ms = 0;
    }

    /// Takes a completed answer of a request that was sent in `epoch`.
    pub fn answered(&mut self, now: Millis, epoch: u64, service_ms: u64) {
        if epoch != self.epoch {
            return;
        }
        if self.is_slower_than_ever(service_ms) {
            self.restart(now);
            self.slowest_ms = service_ms;
            return;
        }
        self.answers += 1;
        self.slowest_ms = self.slowest_ms.max(service_ms);
        self.step_count += 1;
        let is_due = now.since(self.step_from) >= self.pace.step_ms;
        if self.limit < self.most() && self.step_count >= self.pace.step_answers && is_due {
            self.step_count = 0;
            self.step_from = now;
            self.limit += 1;
        }
    }

    /// Takes a request that the backend server shed: it bears fewer.
    pub fn shed(&mut self, now: Millis) {
        self.limit = self.limit().saturating_sub(1).max(1);
        self.step_count = 0;
        self.step_from = now;
    }

    /// Whether an answer is so slow that the backend server must have lost its warmth.
    fn is_slower_than_ever(&self, service_ms: u64) -> bool {
        let bound = (self.slowest_ms * SLOWER_THAN_EVER).max(SLOW_FLOOR_MS);
        self.answers >= SETTLED_ANSWERS && service_ms > bound
    }
}
