//! Budget for extra sends, which limits them to a share of a service's requests. An extra send is a
//! retry after a failure, or a hedge of a slow request.
//!
//! The limit holds for all agents together. Each agent spends only its own part, so agents need not
//! coordinate. A restarted agent begins with an empty counter.

use std::collections::VecDeque;

use jy_types::time::Millis;

/// Share of the allowed extra sends that the agents use. The remainder covers restarted agents, which
/// start counting from zero, and the calls that a repeated run makes.
const USED_BUDGET_SHARE: f64 = 0.7;

/// Share of an agent's part up to which slow requests are hedged. A hedge only makes an answer earlier, so most
/// of the budget is left for requests that would otherwise fail.
const HEDGE_SHARE: f64 = 0.4;

/// Share of an agent's part up to which failed requests are sent again that are not of the most urgent class.
/// Requests of that class are mostly calls of running requests, whose failure wastes the run that made them.
const RETRY_SHARE: f64 = 0.7;

/// What an extra send is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPurpose {
    /// A second send of a request that has no answer yet.
    Hedge,
    /// Another send of a failed request.
    Retry,
    /// Another send of a failed request of the most urgent class.
    UrgentRetry,
}

impl SendPurpose {
    /// Returns the purpose of sending a failed request of a priority class again; zero is the most urgent class.
    #[must_use]
    pub const fn retry_of(priority: u32) -> Self {
        if priority == 0 {
            Self::UrgentRetry
        } else {
            Self::Retry
        }
    }

    /// Returns the share of an agent's part that such sends may use.
    const fn share(self) -> f64 {
        match self {
            Self::Hedge => HEDGE_SHARE,
            Self::Retry => RETRY_SHARE,
            Self::UrgentRetry => 1.0,
        }
    }
}

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
    pub fn spend(
        &mut self,
        now: Millis,
        limits: BudgetLimits,
        agents: usize,
        purpose: SendPurpose,
    ) -> bool {
        remove_expired(&mut self.requests, now, limits.window_ms);
        remove_expired(&mut self.extras, now, limits.window_ms);
        let agent_slack = limits.slack / agents.max(1) as f64;
        let allowed = (self.requests.len() as f64 * limits.ratio + agent_slack) * USED_BUDGET_SHARE;
        if (self.extras.len() + 1) as f64 > allowed * purpose.share() {
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
