//! What the agent knows of a backend server that has announced itself, and what follows from it.

use jy_ranges::table::KeyRange;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::HeldRange;
use jy_types::endpoint::ReleasedRange;
use jy_types::time::Millis;

use crate::sent_requests::SentRequests;

/// The state of a backend server that has announced itself.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// The newest announcement.
    pub announced: Announcement,
    /// When the newest announcement arrived.
    pub last_heard: Millis,
    /// Whether it has refused a connection since then.
    pub refuses: bool,
    /// Whether it has announced itself after its process was considered to have exited, and was granted nothing by the
    /// table of a settled era since.
    pub has_returned: bool,
    /// Whether it reported its own end.
    pub ended: bool,
    /// Its service time relative to that of a usual one, in percent, once measured.
    pub service_time_percent: Option<u32>,
    /// Whether its service time is being measured or has been.
    pub is_measured: bool,
    /// When it first reported that it leaves.
    pub leaving_since: Option<Millis>,
    /// Whether it has rejected a request as meant for another backend server since then.
    pub disowned: bool,
    /// The ranges of the newest grant by this run of the agent, or `None` before the first.
    pub granted: Option<Vec<HeldRange>>,
    /// The ranges of that grant with what their last holders handed over.
    pub last_reply: Vec<GrantedRange>,
    /// The latest time until which it may hold them.
    pub held_until: Millis,
    /// Ranges that it has released, each with the handover text for the next holder.
    pub released: Vec<ReleasedRange>,
    /// Requests that may still run there or at an earlier incarnation.
    pub sent: SentRequests,
}

impl BackendState {
    /// Whether the process is considered alive.
    #[must_use]
    pub const fn is_alive(&self) -> bool {
        !self.refuses && !self.ended
    }

    /// Whether the process is considered to be running. One that reports its end without having announced that
    /// it leaves serves for some more time.
    #[must_use]
    pub fn is_running(&self) -> bool {
        let is_drained = self.ended && self.announced.phase == BackendPhase::Draining;
        !self.refuses && !is_drained
    }

    /// Whether it accepts all new requests.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_alive()
            && !self.disowned
            && self.leaving_since.is_none()
            && self.announced.phase == BackendPhase::Serving
    }

    /// Whether it is considered to hold a key: by the newest grant until that expires or, if this run of the
    /// agent has granted nothing yet, by the ranges that it announced as held.
    #[must_use]
    pub fn holds(&self, now: Millis, key: u16) -> bool {
        let contains = |range: &HeldRange| range.first <= key && key <= range.last;
        match &self.granted {
            Some(granted) => now < self.held_until && granted.iter().any(contains),
            None => self.announced.held.iter().any(contains),
        }
    }

    /// Returns what this run of the agent granted to it and it still holds.
    pub(super) fn held_grants(&self, now: Millis) -> Vec<GrantedRange> {
        let is_released = |grant: &GrantedRange| {
            let mut released = self.released.iter();
            released.any(|range| range.first <= grant.last && grant.first <= range.last)
        };
        if now >= self.held_until {
            return Vec::new();
        }
        let held = self.last_reply.iter().filter(|grant| !is_released(grant));
        held.cloned().collect()
    }

    /// Whether it is considered to hold a range under the range's fence, like [`Self::holds`].
    pub(super) fn holds_range(&self, now: Millis, range: &KeyRange) -> bool {
        let covers = |held: &HeldRange| {
            held.first <= range.first && range.last <= held.last && held.fence == range.fence
        };
        let held = self.granted.as_ref().unwrap_or(&self.announced.held);
        now < self.held_until && held.iter().any(covers)
    }

    /// Whether its process has ended. One that exits refuses connections while it finishes its requests: after
    /// it has begun to leave, a refused connection says nothing about them, and before that it may have begun to
    /// leave without the agent's knowledge.
    #[must_use]
    pub fn has_exited(&self, now: Millis) -> bool {
        let incarnation = &self.announced.incarnation;
        self.refuses && self.leaving_since.is_none() && !self.sent.may_run(now, incarnation)
    }

    /// Whether it has released a range, or can't hold the range any longer.
    #[must_use]
    pub fn is_free(&self, now: Millis, range: &KeyRange) -> bool {
        if self.has_exited(now) || now >= self.held_until {
            return true;
        }
        let overlaps = |held: &HeldRange| held.first <= range.last && range.first <= held.last;
        let mut granted = self.granted.iter().flatten();
        !granted.any(overlaps) && !self.announced.held.iter().any(overlaps)
    }

    /// Whether the newest known announcement supersedes `announced`.
    pub(super) fn supersedes(&self, announced: &Announcement) -> bool {
        let known = &self.announced;
        if known.incarnation.started_at != announced.incarnation.started_at {
            return known.incarnation.started_at > announced.incarnation.started_at;
        }
        known.incarnation.id == announced.incarnation.id
            && (self.ended || known.sequence >= announced.sequence)
    }

    /// Whether an announcement differs from the last one in the data of the agent's record, or comes from a
    /// backend server that was not considered alive.
    pub(super) fn is_changed_by(&self, announced: &Announcement) -> bool {
        self.announced.incarnation != announced.incarnation
            || self.announced.phase != announced.phase
            || self.announced.slots != announced.slots
            || self.announced.service != announced.service
            || !self.is_alive()
    }
}
