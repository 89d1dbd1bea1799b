//! Model of a backend server for the policy trials: slots, queue, restarts and cold start.

use std::collections::VecDeque;

use jy_types::time::Millis;

/// How the concurrency limit of a backend server grows after a cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupModel {
    /// The limit grows by one after this many answers.
    ByAnswers(u32),
    /// The limit grows linearly to all slots over this many milliseconds.
    ByTime(u64),
}

/// What a backend server does with a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The request runs.
    Runs,
    /// The request waits for a slot.
    Waits,
    /// The request exceeds the limit of a cold start; the backend server does not run it.
    Overrun,
}

/// State of one backend server.
#[derive(Debug)]
pub struct BackendModel {
    /// Concurrent requests when warm.
    pub slots: u32,
    /// Growth of the concurrency limit after a cold start.
    pub warmup: WarmupModel,
    /// Start stamp, which differs for every process.
    pub start_stamp: u64,
    /// Whether the process accepts connections.
    pub accepts_connections: bool,
    /// Jobs that are running.
    pub running: Vec<u64>,
    /// Number of requests beyond the limit of a cold start.
    pub overruns: u64,
    waiting: VecDeque<u64>,
    /// Time of the last cold start, if any.
    cold_since: Option<Millis>,
    /// Answers since the last cold start.
    answers: u32,
}

impl BackendModel {
    /// Makes a warm backend server.
    #[must_use]
    pub const fn new(slots: u32, warmup: WarmupModel) -> Self {
        Self {
            slots,
            warmup,
            start_stamp: 1,
            accepts_connections: true,
            running: Vec::new(),
            overruns: 0,
            waiting: VecDeque::new(),
            cold_since: None,
            answers: 0,
        }
    }

    /// Returns the number of requests that the backend server can run concurrently.
    #[must_use]
    pub fn concurrency_limit(&self, now: Millis) -> u32 {
        let Some(cold_since) = self.cold_since else {
            return self.slots;
        };
        let limit = match self.warmup {
            WarmupModel::ByAnswers(answers_per_slot) => 1 + self.answers / answers_per_slot,
            WarmupModel::ByTime(warmup_ms) => {
                let slots = u64::from(self.slots) * now.since(cold_since) / warmup_ms;
                u32::try_from(slots).unwrap_or(u32::MAX).max(1)
            }
        };
        limit.min(self.slots)
    }

    /// Accepts, queues or rejects a request.
    pub fn start(&mut self, now: Millis, job: u64) -> StartOutcome {
        let concurrency_limit = self.concurrency_limit(now);
        if (self.running.len() as u32) < concurrency_limit {
            self.running.push(job);
            return StartOutcome::Runs;
        }
        if concurrency_limit < self.slots {
            self.overruns += 1;
            return StartOutcome::Overrun;
        }
        self.waiting.push_back(job);
        StartOutcome::Waits
    }

    /// Ends a running request and returns the queued request that takes its slot.
    pub fn end(&mut self, job: u64) -> Option<u64> {
        let index = self.running.iter().position(|running| *running == job)?;
        self.running.swap_remove(index);
        self.answers += 1;
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Stops a running request.
    pub fn cancel(&mut self, job: u64) {
        self.running.retain(|running| *running != job);
    }

    /// Replaces the process by a cold one and returns the requests lost with the old process.
    pub fn restart(&mut self, now: Millis) -> Vec<u64> {
        self.cool_down(now);
        self.start_stamp += 1;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        lost
    }

    /// Begins a cold start without a new process.
    pub fn cool_down(&mut self, now: Millis) {
        self.cold_since = Some(now);
        self.answers = 0;
    }

    /// Returns whether the concurrency limit is below the number of slots.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        self.concurrency_limit(now) < self.slots
    }
}
