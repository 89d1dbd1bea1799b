//! Decides when a busy backend server is asked whether it has turned cold.
//!
//! Load pattern: a warm backend server gets several times the rate that it bears while cold, and turns cold between
//! two announcements. Without a question it gets its full share until the next announcement.

use std::collections::VecDeque;

use jy_types::time::Millis;

/// Number of requests between two questions, as a share of the requests that a cold backend server bears in one
/// second. What it gets until an answer, and what the cold start limit admits in the rest of that second, then stay
/// within one and a half times the rate and a few more.
const CHECK_SHARE: f64 = 0.7;
/// Time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Counts the requests that are sent to a backend server while it is believed to be warm.
#[derive(Clone, Debug, Default)]
pub struct ColdCheckSchedule {
    /// When the requests of the last second were sent.
    recent: VecDeque<Millis>,
    sent_since_check: usize,
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
    pub fn record_sent(&mut self, now: Millis, cold_per_s: f64) -> bool {
        let window_start = now.minus(WINDOW_MS);
        while self.recent.front().is_some_and(|at| *at < window_start) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.sent_since_check += 1;
        let least = ((cold_per_s * CHECK_SHARE) as usize).max(1);
        let is_due = self.recent.len() >= least && self.sent_since_check >= least;
        if !cold_per_s.is_finite() || self.is_asking || !is_due {
            return false;
        }
        self.is_asking = true;
        self.sent_since_check = 0;
        true
    }

    /// Records that the question was answered or has failed.
    pub fn end(&mut self) {
        self.is_asking = false;
    }
}
