//! The controller's count of votes.

use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// Votes that the controller has been told, and when it first read that monitors were over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoteTally {
    timing: LeaseTiming,
}

impl VoteTally {
    /// Makes an empty tally.
    #[must_use]
    pub const fn new(timing: LeaseTiming) -> Self {
        Self { timing }
    }

    /// Returns the tally with a vote counted.
    #[must_use]
    pub fn with_vote(self, _from: &AgentId, _target: &AgentId) -> Self {
        self
    }

    /// Returns the tally with an incarnation known to be over since `now` at the latest.
    #[must_use]
    pub fn with_over(self, _now: Millis, _id: &AgentId) -> Self {
        self
    }

    /// Whether the votes suffice for a verdict on the member under its recorded sets.
    #[must_use]
    pub const fn is_decided(&self, _now: Millis, _member: &MemberRecord) -> bool {
        false
    }
}
