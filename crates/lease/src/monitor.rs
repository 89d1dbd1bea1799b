//! The monitor's side of other agents' leases.
//!
//! A monitor that supports an agent promises not to vote against it for one TTL plus the drift margin on
//! the monitor's own clock. The same period starts when the monitor learns that it watches an agent, so
//! an agent that has just been given its monitors is not voted against at once. A vote is final: the
//! monitor never supports that incarnation again.
//!
//! A dead monitor counts as a vote once [`LeaseTiming::ended_wait_ms`] has passed. A monitor must therefore
//! stop supporting other agents soon after there may be a verdict on itself: it supports them only until one
//! grace period after the latest time before which it knows that there was no such verdict.

use std::collections::BTreeMap;

use jy_types::member::AgentId;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// An input of a monitor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MonitorEvent {
    /// The records name this incarnation as a monitor of exactly these agents, none of which has ended.
    Watched(Vec<AgentId>),
    /// An agent asks for support.
    Renewal {
        /// The agent.
        from: AgentId,
        /// Sequence number to repeat in the reply.
        sequence: u64,
    },
    /// There is no verdict on the monitor itself from before this time.
    ///
    /// The time is the end of the monitor's own lease or, if later, the time at which it sent a read of its
    /// own record that showed that the incarnation has not ended.
    OwnLease {
        /// The time.
        until: Millis,
    },
    /// A vote may be due.
    Tick,
}

/// An action that a monitor requests from its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MonitorAction {
    /// Reply to a renewal.
    Reply {
        /// The agent.
        to: AgentId,
        /// Sequence number of the renewal.
        sequence: u64,
        /// Whether the monitor supports the agent.
        accepted: bool,
    },
    /// Send the controller a vote against an agent; repeated until the agent has ended.
    Vote {
        /// The agent.
        target: AgentId,
    },
}

/// State machine of a monitor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MonitorState {
    id: AgentId,
    timing: LeaseTiming,
    /// Time of the first step; the agent's record is written after it.
    started_at: Option<Millis>,
    /// There is no verdict on the monitor itself from before this time.
    no_verdict_before: Millis,
    /// End of the promise to each watched agent.
    promises: BTreeMap<AgentId, Millis>,
    /// When the vote against each agent is sent next. Entries are kept for as long as the monitor runs, since
    /// a vote is final.
    next_vote_times: BTreeMap<AgentId, Millis>,
    next_tick_at: Millis,
}

impl MonitorState {
    /// Creates a monitor that watches no agents.
    ///
    /// The first step must come before the agent's record is written to the store: until it has a lease of
    /// its own, the monitor supports other agents for one grace period from that step.
    #[must_use]
    pub const fn new(id: AgentId, timing: LeaseTiming) -> Self {
        Self {
            id,
            timing,
            started_at: None,
            no_verdict_before: Millis(0),
            promises: BTreeMap::new(),
            next_vote_times: BTreeMap::new(),
            next_tick_at: Millis(0),
        }
    }

    /// Applies an event and returns the next state and the requested actions.
    #[must_use]
    pub fn step(mut self, now: Millis, event: MonitorEvent) -> (Self, Vec<MonitorAction>) {
        self.started_at.get_or_insert(now);
        self.extend_after_pause(now);
        let actions = match event {
            MonitorEvent::Watched(agents) => self.set_watched(now, agents),
            MonitorEvent::Renewal { from, sequence } => self.reply(now, from, sequence),
            MonitorEvent::OwnLease { until } => {
                self.no_verdict_before = until;
                Vec::new()
            }
            MonitorEvent::Tick => self.vote(now),
        };
        self.next_tick_at = now.plus(self.timing.renew_every_ms);
        (self, actions)
    }

    /// The agent that this monitor is part of.
    #[must_use]
    pub const fn id(&self) -> &AgentId {
        &self.id
    }

    /// When [`MonitorEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        let due = |(id, promise): (&AgentId, &Millis)| {
            let next_vote = self.next_vote_times.get(id);
            next_vote.copied().unwrap_or(*promise)
        };
        let earliest = self.promises.iter().map(due).min();
        earliest.unwrap_or(Millis::MAX).min(self.next_tick_at)
    }

    /// Extends the promise to every watched agent to at least one renewal interval from now if this process
    /// did not run for a while: their renewals may have been received but not yet read.
    fn extend_after_pause(&mut self, now: Millis) {
        let renew_ms = self.timing.renew_every_ms;
        if self.next_tick_at == Millis(0) || now < self.next_tick_at.plus(renew_ms) {
            return;
        }
        for promise in self.promises.values_mut() {
            *promise = (*promise).max(now.plus(renew_ms));
        }
    }

    /// Watches exactly these agents, and gives each new one a full promise.
    fn set_watched(&mut self, now: Millis, agents: Vec<AgentId>) -> Vec<MonitorAction> {
        let initial = now.plus(self.timing.promise_ms());
        let previous = std::mem::take(&mut self.promises);
        let promise_of = |id: AgentId| {
            let promise = previous.get(&id).copied().unwrap_or(initial);
            (id, promise)
        };
        self.promises = agents.into_iter().map(promise_of).collect();
        Vec::new()
    }

    /// Supports an agent unless the monitor voted against it or the grace period of the monitor's own lease
    /// has ended.
    ///
    /// An agent that sends a renewal is alive, so the promise is extended even if the renewal is refused.
    fn reply(&mut self, now: Millis, from: AgentId, sequence: u64) -> Vec<MonitorAction> {
        let has_voted = self.next_vote_times.contains_key(&from);
        let until = now.plus(self.timing.promise_ms());
        if let Some(promise) = self.promises.get_mut(&from) {
            *promise = until.max(*promise);
        }
        vec![MonitorAction::Reply {
            to: from,
            sequence,
            accepted: !has_voted && now < self.supports_until(),
        }]
    }

    /// Votes against watched agents whose promise has expired, and repeats earlier votes.
    fn vote(&mut self, now: Millis) -> Vec<MonitorAction> {
        let mut actions = Vec::new();
        for (target, promise) in &self.promises {
            let due = self.next_vote_times.get(target).unwrap_or(promise);
            if now < *due {
                continue;
            }
            let next_vote_at = now.plus(self.timing.renew_every_ms);
            self.next_vote_times.insert(target.clone(), next_vote_at);
            actions.push(MonitorAction::Vote {
                target: target.clone(),
            });
        }
        actions
    }

    /// When this monitor stops supporting other agents.
    fn supports_until(&self) -> Millis {
        let latest = self.started_at.max(Some(self.no_verdict_before));
        let latest = latest.unwrap_or_default();
        latest.plus(self.timing.monitor_grace_ms)
    }
}
