//! The controller's count of votes.
//!
//! A vote never expires, since the voter never supports that incarnation again. A dead monitor counts as
//! a vote against every agent once all of its support must have expired. A monitor that left never counts
//! as one: its lease was live when its record was marked as left, and it may not have read that record.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;

use crate::timing::LeaseTiming;

/// Votes that the controller has received, and when it first read that each monitor was dead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoteTally {
    timing: LeaseTiming,
    /// Voters by the agent that they voted against.
    votes: BTreeMap<AgentId, BTreeSet<AgentId>>,
    /// When each dead incarnation was first read as dead.
    dead_since: BTreeMap<AgentId, Millis>,
}

impl VoteTally {
    /// Creates an empty tally.
    #[must_use]
    pub const fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            votes: BTreeMap::new(),
            dead_since: BTreeMap::new(),
        }
    }

    /// Returns the tally with a vote added, unless the target is already known to be dead.
    #[must_use]
    pub fn with_vote(mut self, from: &AgentId, target: &AgentId) -> Self {
        if !self.dead_since.contains_key(target) {
            let voters = self.votes.entry(target.clone()).or_default();
            voters.insert(from.clone());
        }
        self
    }

    /// Returns the tally with an incarnation recorded as dead since `now`, unless an earlier time is
    /// already recorded.
    ///
    /// Must not be called for an incarnation that left: no votes have ended its lease.
    #[must_use]
    pub fn with_ended(mut self, now: Millis, id: &AgentId) -> Self {
        self.dead_since.entry(id.clone()).or_insert(now);
        self.votes.remove(id);
        self
    }

    /// Whether the votes suffice for a verdict on the member under its recorded monitor sets.
    ///
    /// Always false for a member without monitors and for one whose incarnation has ended. The verdict
    /// must be written only over the same revision of the record that `member` was read from.
    #[must_use]
    pub fn is_decided(&self, now: Millis, member: &MemberRecord) -> bool {
        let sets = std::iter::once(&member.monitors).chain(&member.next_monitors);
        let mut sets = sets.filter(|set| !set.monitors.is_empty()).peekable();
        let can_be_decided = !member.state.has_ended() && sets.peek().is_some();
        can_be_decided && sets.all(|set| self.has_vote_quorum(now, &member.id, set))
    }

    /// Whether a vote quorum of the set counts against the target.
    fn has_vote_quorum(&self, now: Millis, target: &AgentId, set: &MonitorSet) -> bool {
        let voters = self.votes.get(target);
        let counts_against = |monitor: &&AgentId| {
            let voted = voters.is_some_and(|voters| voters.contains(*monitor));
            voted || self.has_support_expired(now, monitor)
        };
        set.monitors.iter().filter(counts_against).count() >= set.vote_quorum()
    }

    /// Whether a monitor has been dead for so long that all of its support has expired.
    fn has_support_expired(&self, now: Millis, monitor: &AgentId) -> bool {
        let wait_ms = self.timing.ended_wait_ms();
        let dead_since = self.dead_since.get(monitor);
        dead_since.is_some_and(|since| now >= since.plus(wait_ms))
    }
}
