//! A backend server of the policy trials: slots, cold start, bursts of slowness.

use std::collections::VecDeque;

use jy_types::time::Millis;

/// How a backend server in cold start grows warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupModel {
    /// It bears one request more after so many answers.
    ByAnswers(u32),
    /// It bears a share of its slots that grows over so many milliseconds.
    ByTime(u64),
}

/// What a backend server makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Runs,
    /// It waits for a slot.
    Waits,
    /// It is more than the backend server bears in its cold start: it is shed.
    Overrun,
}

/// One backend server.
#[derive(Debug)]
pub struct BackendModel {
    /// Requests at once when warm.
    pub slots: u32,
    /// How it grows warm.
    pub warmup: WarmupModel,
    /// Differs for every process.
    pub stamp: u64,
    /// Whether it takes connections.
    pub up: bool,
    /// Requests that run, by job.
    pub running: Vec<u64>,
    /// Requests more than it bore in a cold start.
    pub overruns: u64,
    waiting: VecDeque<u64>,
    cold_from: Option<Millis>,
    answers: u32,
}

impl BackendModel {
    /// Makes a warm backend server.
    #[must_use]
    pub const fn new(slots: u32, warmup: WarmupModel) -> Self {
        Self {
            slots,
            warmup,
            stamp: 1,
            up: true,
            running: Vec::new(),
            overruns: 0,
            waiting: VecDeque::new(),
            cold_from: None,
            answers: 0,
        }
    }

    /// Requests that it bears at once.
    #[must_use]
    pub fn concurrency_limit(&self, now: Millis) -> u32 {
        let Some(from) = self.cold_from else {
            return self.slots;
        };
        let grown = match self.warmup {
            WarmupModel::ByAnswers(step) => 1 + self.answers / step,
            WarmupModel::ByTime(whole_ms) => {
                let share = u64::from(self.slots) * now.since(from) / whole_ms;
                u32::try_from(share).unwrap_or(u32::MAX).max(1)
            }
        };
        grown.min(self.slots)
    }

    /// Takes a request.
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

    /// Ends a request, and returns the next that runs.
    pub fn end(&mut self, job: u64) -> Option<u64> {
        let index = self.running.iter().position(|running| *running == job)?;
        self.running.swap_remove(index);
        self.answers += 1;
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Stops a request that runs.
    pub fn cancel(&mut self, job: u64) {
        self.running.retain(|running| *running != job);
    }

    /// Loses its warmth, and returns all requests that are lost with its process.
    pub fn restart(&mut self, now: Millis) -> Vec<u64> {
        self.cool_down(now);
        self.stamp += 1;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        lost
    }

    /// Loses its warmth in silence.
    pub fn cool_down(&mut self, now: Millis) {
        self.cold_from = Some(now);
        self.answers = 0;
    }

    /// Whether it knows itself to be cold.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        self.concurrency_limit(now) < self.slots
    }
}
