//! The controller's count of votes.
//!
//! A vote never loses its force, since the voter never supports that incarnation again. A monitor
//! that is dead counts as a vote against everybody once its last supports have surely run out. One
//! that left never does: its lease was live when its record said so, and it may not have read it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;

use crate::timing::LeaseTiming;

/// Votes that the controller has been told, and when it first read that monitors were dead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoteTally {
    timing: LeaseTiming,
    /// Voters by target.
    votes: BTreeMap<AgentId, BTreeSet<AgentId>>,
    /// When each incarnation was first known to be dead.
    over: BTreeMap<AgentId, Millis>,
}

impl VoteTally {
    /// Makes an empty tally.
    #[must_use]
    pub const fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            votes: BTreeMap::new(),
            over: BTreeMap::new(),
        }
    }

    /// Returns the tally with a vote counted.
    #[must_use]
    pub fn with_vote(mut self, from: &AgentId, target: &AgentId) -> Self {
        if !self.over.contains_key(target) {
            let voters = self.votes.entry(target.clone()).or_default();
            voters.insert(from.clone());
        }
        self
    }

    /// Returns the tally with an incarnation known to be dead since `now` at the latest.
    ///
    /// Not for one that left: no votes have ended its lease.
    #[must_use]
    pub fn with_ended(mut self, now: Millis, id: &AgentId) -> Self {
        self.over.entry(id.clone()).or_insert(now);
        self.votes.remove(id);
        self
    }

    /// Whether the votes suffice for a verdict on the member under its recorded sets.
    ///
    /// Never for a member without monitors, nor for one that is over. The verdict must replace the
    /// very revision of the record that was asked about.
    #[must_use]
    pub fn is_decided(&self, now: Millis, member: &MemberRecord) -> bool {
        let sets = std::iter::once(&member.monitors).chain(&member.next_monitors);
        let mut sets = sets.filter(|set| !set.monitors.is_empty()).peekable();
        let is_open = !member.state.has_ended() && sets.peek().is_some();
        is_open && sets.all(|set| self.is_against(now, &member.id, set))
    }

    /// Whether a vote quorum of the set is against the target.
    fn is_against(&self, now: Millis, target: &AgentId, set: &MonitorSet) -> bool {
        let voters = self.votes.get(target);
        let counts = |monitor: &&AgentId| {
            let voted = voters.is_some_and(|voters| voters.contains(*monitor));
            voted || self.is_void(now, monitor)
        };
        set.monitors.iter().filter(counts).count() >= set.vote_quorum()
    }

    /// Whether a monitor has been dead for so long that nobody counts on its supports.
    fn is_void(&self, now: Millis, monitor: &AgentId) -> bool {
        let wait_ms = self.timing.ended_wait_ms();
        let over = self.over.get(monitor);
        over.is_some_and(|since| now >= since.plus(wait_ms))
    }
}
