//! Extra sends of all agents together, as a share of a service's requests.
//!
//! Each agent spends out of its own part, so that no agent need ask another, and a restarted one
//! begins with an empty account.

use std::collections::VecDeque;

use jy_types::time::Millis;

/// Share of the allowed extra sends that the agents use. The rest covers restarts, whose agents begin
/// to count anew, and calls that a repeated run makes.
const USED_SHARE: f64 = 0.5;

/// What the platform allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Extra sends as a share of a service's requests.
    pub ratio: f64,
    /// Extra sends that are allowed besides, all agents together.
    pub slack: f64,
    /// Length of the window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

/// One agent's account of one service.
#[derive(Clone, Debug, Default)]
pub struct SendCounter {
    requests: VecDeque<Millis>,
    extras: VecDeque<Millis>,
}

impl SendCounter {
    /// Makes an account without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of a request.
    pub fn request(&mut self, now: Millis, terms: BudgetLimits) {
        drop_old(&mut self.requests, now, terms.window_ms);
        self.requests.push_back(now);
    }

    /// Spends an extra send if this agent's part allows it.
    pub fn spend(&mut self, now: Millis, terms: BudgetLimits, agents: usize) -> bool {
        drop_old(&mut self.requests, now, terms.window_ms);
        drop_old(&mut self.extras, now, terms.window_ms);
        let own_slack = terms.slack / agents.max(1) as f64;
        let allowed = (self.requests.len() as f64 * terms.ratio + own_slack) * USED_SHARE;
        if (self.extras.len() + 1) as f64 > allowed {
            return false;
        }
        self.extras.push_back(now);
        true
    }
}

/// Drops entries that left the window.
fn drop_old(entries: &mut VecDeque<Millis>, now: Millis, window_ms: u64) {
    while entries
        .front()
        .is_some_and(|entry| now.since(*entry) >= window_ms)
    {
        entries.pop_front();
    }
}
