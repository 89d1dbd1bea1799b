//! Budget for extra sends, which limits them to a share of a service's requests. An extra send is a
//! retry after a failure, or a hedge of a slow request.
//!
//! The limit holds for all agents together. Each agent spends only its own part, so agents need not
//! coordinate. A restarted agent begins with an empty counter.

use std::collections::VecDeque;

use jy_types::time::Millis;

/// Share of the allowed extra sends that the agents use. The remainder covers restarted agents, which
/// start counting from zero, and the calls that a repeated run makes.
const USED_BUDGET_SHARE: f64 = 0.5;

/// Limits that the platform sets on extra sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Extra sends as a share of a service's requests.
    pub ratio: f64,
    /// Extra sends that are allowed in addition, for all agents together.
    pub slack: f64,
    /// Length of the sliding window in which requests and extra sends are counted, in milliseconds.
    pub window_ms: u64,
}

/// Requests and extra sends of one agent for one service.
#[derive(Clone, Debug, Default)]
pub struct SendCounter {
    requests: VecDeque<Millis>,
    extras: VecDeque<Millis>,
}

impl SendCounter {
    /// Creates an empty counter.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request.
    pub fn request(&mut self, now: Millis, limits: BudgetLimits) {
        remove_expired(&mut self.requests, now, limits.window_ms);
        self.requests.push_back(now);
    }

    /// Records an extra send and returns true if this agent's part of the budget allows it.
    pub fn spend(&mut self, now: Millis, limits: BudgetLimits, agents: usize) -> bool {
        remove_expired(&mut self.requests, now, limits.window_ms);
        remove_expired(&mut self.extras, now, limits.window_ms);
        let agent_slack = limits.slack / agents.max(1) as f64;
        let allowed = (self.requests.len() as f64 * limits.ratio + agent_slack) * USED_BUDGET_SHARE;
        if (self.extras.len() + 1) as f64 > allowed {
            return false;
        }
        self.extras.push_back(now);
        true
    }
}

/// Removes entries older than the window.
fn remove_expired(entries: &mut VecDeque<Millis>, now: Millis, window_ms: u64) {
    while entries
        .front()
        .is_some_and(|entry| now.since(*entry) >= window_ms)
    {
        entries.pop_front();
    }
}
