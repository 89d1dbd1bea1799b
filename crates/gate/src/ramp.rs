//! How many requests the backend server bears at once.
//!
//! A backend server in cold start bears few requests at once, and more with every answer that it
//! completes. Every new process is taken for cold, whatever it says of itself.

/// Answers before a slow one counts as a sign of a cold start.
const SETTLED_ANSWERS: u64 = 100;

/// An answer this many times slower than the slowest before is a sign of a cold start.
const SLOWER_THAN_EVER: u64 = 2;

/// Shortest time of an answer that counts as slow, in milliseconds.
const SLOW_FLOOR_MS: u64 = 20;

/// Limit of concurrency at one backend server.
#[derive(Clone, Debug)]
pub struct ConcurrencyRamp {
    start: u32,
    step_answers: u32,
    /// Slots as configured.
    slots: u32,
    /// Slots as announced.
    announced_slots: u32,
    limit: u32,
    step_count: u32,
    epoch: u64,
    start_stamp: Option<u64>,
    said_cold: bool,
    answers: u64,
    slowest_ms: u64,
}

impl ConcurrencyRamp {
    /// Makes a limit that begins at `start` and grows by one with `step_answers` answers.
    #[must_use]
    pub const fn new(slots: u32, start: u32, step_answers: u32) -> Self {
        Self {
            start,
            step_answers,
            slots,
            announced_slots: u32::MAX,
            limit: start,
            step_count: 0,
            epoch: 0,
            start_stamp: None,
            said_cold: false,
            answers: 0,
            slowest_ms: 0,
        }
    }

    /// Requests that may be in flight at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.min(self.most()).max(1)
    }

    /// Sets other limits.
    pub const fn configure(&mut self, slots: u32, start: u32, step_answers: u32) {
        self.slots = slots;
        self.start = start;
        self.step_answers = step_answers;
    }

    /// Requests that may be in flight at once when warm.
    fn most(&self) -> u32 {
        self.slots.min(self.announced_slots)
    }

    /// Number of the current start: only answers to requests sent since it began count.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes an announcement: a new process is cold, and so is one that says so anew.
    pub fn announced(&mut self, start_stamp: u64, slots: u32, cold: bool) {
        self.announced_slots = slots;
        let is_new = self.start_stamp != Some(start_stamp);
        if is_new || (cold && !self.said_cold) {
            self.restart();
        }
        self.start_stamp = Some(start_stamp);
        self.said_cold = cold;
    }

    /// Begins a cold start.
    pub const fn restart(&mut self) {
        self.epoch += 1;
        self.limit = self.start;
        self.step_count = 0;
        self.answers = 0;
        self.slowest_ms = 0;
    }

    /// Takes a completed answer of a request that was sent in `epoch`.
    pub fn answered(&mut self, epoch: u64, service_ms: u64) {
        if epoch != self.epoch {
            return;
        }
        if self.is_slower_than_ever(service_ms) {
            self.restart();
            self.slowest_ms = service_ms;
            return;
        }
        self.answers += 1;
        self.slowest_ms = self.slowest_ms.max(service_ms);
        if self.limit >= self.most() {
            return;
        }
        self.step_count += 1;
        if self.step_count >= self.step_answers {
            self.step_count = 0;
            self.limit += 1;
        }
    }

    /// Takes a request that the backend server shed: it bears fewer.
    pub fn shed(&mut self) {
        self.limit = self.limit().saturating_sub(1).max(1);
        self.step_count = 0;
    }

    /// Whether an answer is so slow that the backend server must have lost its warmth.
    fn is_slower_than_ever(&self, service_ms: u64) -> bool {
        let bound = (self.slowest_ms * SLOWER_THAN_EVER).max(SLOW_FLOOR_MS);
        self.answers >= SETTLED_ANSWERS && service_ms > bound
    }
}
