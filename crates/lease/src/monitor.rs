//! The monitor's side of other agents' leases.
//!
//! Supporting an agent is a promise not to vote against it for one TTL and the drift margin on the
//! monitor's own clock. The first news of being its monitor starts the same period, so an agent that
//! has just been given its monitors is not voted against at once. A vote is final: the monitor never
//! supports that incarnation again.
//!
//! A monitor that is dead counts as a vote some time later. So it must not support others for long
//! once there may be a verdict on it, and it supports only until one grace after the newest point
//! before which it knows that there was none.

use std::collections::BTreeMap;

use jy_types::member::AgentId;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// What happens to a monitor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MonitorEvent {
    /// The records name this incarnation as a monitor of exactly these agents, none of them over.
    Watched(Vec<AgentId>),
    /// An agent asks for support.
    Renewal {
        /// The agent.
        from: AgentId,
        /// Sequence to answer with.
        sequence: u64,
    },
    /// No verdict on the monitor itself is older than this point.
    ///
    /// That is the end of its own lease or, where later, the point at which it sent a read of its
    /// own record that found it not over.
    OwnLease {
        /// The point.
        until: Millis,
    },
    /// Time passed.
    Tick,
}

/// What a monitor wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MonitorAction {
    /// Answer a renewal.
    Reply {
        /// The agent.
        to: AgentId,
        /// Sequence of the renewal.
        sequence: u64,
        /// Whether the monitor supports.
        accepted: bool,
    },
    /// Tell the controller the vote against an agent; repeated until the agent is over.
    Vote {
        /// The agent.
        target: AgentId,
    },
}

/// State of a monitor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MonitorState {
    id: AgentId,
    timing: LeaseTiming,
    /// The first step; the agent's record is written after it.
    started: Option<Millis>,
    own_until: Millis,
    /// End of the promise to each watched agent.
    promises: BTreeMap<AgentId, Millis>,
    /// When each vote is sent next. Kept for as long as the monitor runs.
    votes: BTreeMap<AgentId, Millis>,
    tick_at: Millis,
}

impl MonitorState {
    /// Makes a monitor that watches nobody.
    ///
    /// Its first step must come before the agent's record is written to the store: until its first
    /// lease the monitor supports others for one grace from there.
    #[must_use]
    pub const fn new(id: AgentId, timing: LeaseTiming) -> Self {
        Self {
            id,
            timing,
            started: None,
            own_until: Millis(0),
            promises: BTreeMap::new(),
            votes: BTreeMap::new(),
            tick_at: Millis(0),
        }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(mut self, now: Millis, event: MonitorEvent) -> (Self, Vec<MonitorAction>) {
        self.started.get_or_insert(now);
        self.excuse_pause(now);
        let actions = match event {
            MonitorEvent::Watched(agents) => self.watch(now, agents),
            MonitorEvent::Renewal { from, sequence } => self.answer(now, from, sequence),
            MonitorEvent::OwnLease { until } => {
                self.own_until = until;
                Vec::new()
            }
            MonitorEvent::Tick => self.vote(now),
        };
        self.tick_at = now.plus(self.timing.renew_every_ms);
        (self, actions)
    }

    /// The agent whose monitor this is.
    #[must_use]
    pub const fn id(&self) -> &AgentId {
        &self.id
    }

    /// When [`MonitorEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        let due = |(id, promise): (&AgentId, &Millis)| {
            let vote = self.votes.get(id);
            vote.copied().unwrap_or(*promise)
        };
        let first = self.promises.iter().map(due).min();
        first.unwrap_or(Millis::MAX).min(self.tick_at)
    }

    /// Gives every watched agent one renewal period more if this process did not run for a while:
    /// renewals may be waiting to be read.
    fn excuse_pause(&mut self, now: Millis) {
        let pause_ms = self.timing.renew_every_ms;
        if self.tick_at == Millis(0) || now < self.tick_at.plus(pause_ms) {
            return;
        }
        for promise in self.promises.values_mut() {
            *promise = (*promise).max(now.plus(pause_ms));
        }
    }

    /// Watches exactly these agents, new ones for a full promise first.
    fn watch(&mut self, now: Millis, agents: Vec<AgentId>) -> Vec<MonitorAction> {
        let first = now.plus(self.timing.promise_ms());
        let known = std::mem::take(&mut self.promises);
        let promise_of = |id: AgentId| {
            let promise = known.get(&id).copied().unwrap_or(first);
            (id, promise)
        };
        self.promises = agents.into_iter().map(promise_of).collect();
        Vec::new()
    }

    /// Supports an agent unless there was a vote against it or the own lease is long over.
    ///
    /// An agent that asks is alive, so even a refusal for want of an own lease puts off the vote.
    fn answer(&mut self, now: Millis, from: AgentId, sequence: u64) -> Vec<MonitorAction> {
        let voted = self.votes.contains_key(&from);
        let until = now.plus(self.timing.promise_ms());
        if let Some(promise) = self.promises.get_mut(&from) {
            *promise = until.max(*promise);
        }
        vec![MonitorAction::Reply {
            to: from,
            sequence,
            accepted: !voted && now < self.supports_until(),
        }]
    }

    /// Votes against watched agents whose promise has run out, and repeats older votes.
    fn vote(&mut self, now: Millis) -> Vec<MonitorAction> {
        let mut actions = Vec::new();
        for (target, promise) in &self.promises {
            let due = self.votes.get(target).unwrap_or(promise);
            if now < *due {
                continue;
            }
            let again = now.plus(self.timing.renew_every_ms);
            self.votes.insert(target.clone(), again);
            actions.push(MonitorAction::Vote {
                target: target.clone(),
            });
        }
        actions
    }

    /// When this monitor stops supporting others.
    fn supports_until(&self) -> Millis {
        let known = self.started.max(Some(self.own_until));
        let known = known.unwrap_or_default();
        known.plus(self.timing.monitor_grace_ms)
    }
}
