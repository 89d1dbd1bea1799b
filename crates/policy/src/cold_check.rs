//! Decides when a busy backend server is asked whether it has turned cold.
//!
//! Load pattern: a warm backend server gets several times the rate that it bears while cold, and turns cold between
//! two announcements. Without a question it gets its full share until the next announcement.

use std::collections::VecDeque;

use jy_types::time::Millis;

/// Requests in one second that a cold backend server bears for a short time, relative to its rate, and in addition.
const SHORT_TERM_FACTOR: f64 = 1.5;
const SHORT_TERM_SLACK: f64 = 3.0;
/// Time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Counts the requests that are sent to a backend server while it is believed to be warm.
#[derive(Clone, Debug, Default)]
pub struct ColdCheckSchedule {
    /// When the requests of the last second were sent, since the last question.
    recent: VecDeque<Millis>,
    last_asked: Millis,
    is_asking: bool,
}

impl ColdCheckSchedule {
    /// Creates a schedule of a backend server that has been sent nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request is sent. Returns whether the backend server is to be asked now; [`Self::end`] must follow
    /// then. `cold_per_s` is the rate that it bears while cold, in requests per second.
    ///
    /// If it has been cold since the last question, it has got all requests since then, and the cold start limit admits
    /// no more than its rate for the rest of that second. It is asked before the sum exceeds what it bears.
    pub fn record_sent(&mut self, now: Millis, cold_per_s: f64) -> bool {
        let window_start = now.minus(WINDOW_MS);
        while self.recent.front().is_some_and(|at| *at < window_start) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        let left_ms = WINDOW_MS.saturating_sub(now.since(self.last_asked));
        let later = cold_per_s * left_ms as f64 / WINDOW_MS as f64;
        let limit = cold_per_s * SHORT_TERM_FACTOR + SHORT_TERM_SLACK;
        let is_due = self.recent.len() as f64 + later >= limit;
        if !cold_per_s.is_finite() || self.is_asking || !is_due {
            return false;
        }
        self.is_asking = true;
        self.last_asked = now;
        self.recent.clear();
        true
    }

    /// Records that the question was answered or has failed.
    pub fn end(&mut self) {
        self.is_asking = false;
    }
}
