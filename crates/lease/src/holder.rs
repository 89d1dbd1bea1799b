//! The holder's side of an agent's lease.
//!
//! The holder sends a renewal to every monitor of its sets at a fixed interval. It counts support from
//! when it sent the renewal, so its lease always ends before the monitor's promise does.
//!
//! While the record names a next set beside the current one, support from either set extends the lease,
//! since a verdict needs votes from both. Once the next set supports the lease at least as long as the
//! current one, the holder relies on the next set alone from then on and reports its epoch; only then may
//! the controller make that set the current one.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jy_types::member::AgentId;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// An input of a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderEvent {
    /// The agent's record names these monitor sets.
    Sets {
        /// The current set.
        current: MonitorSet,
        /// The set that is to replace the current one.
        next: Option<MonitorSet>,
    },
    /// A monitor replied to a renewal.
    Reply {
        /// The monitor.
        monitor: AgentId,
        /// Sequence number of the renewal.
        sequence: u64,
        /// Whether the monitor supports the holder.
        accepted: bool,
    },
    /// A verdict on this incarnation was read; its lease ends permanently.
    #[serde(rename = "condemned")]
    VerdictRead,
    /// A renewal may be due.
    Tick,
}

/// An action that a holder requests from its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderAction {
    /// Send a renewal.
    Renew {
        /// The monitor.
        to: AgentId,
        /// Sequence number of the renewal; the reply repeats it.
        sequence: u64,
    },
}

/// A round of renewals; all of them have the same sequence number and time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RenewalRound {
    sequence: u64,
    sent_at: Millis,
}

/// Renewals and replies exchanged with one monitor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SupportEntry {
    /// When the newest renewal that the monitor accepted was sent.
    accepted_sent_at: Option<Millis>,
    /// When the oldest renewal since the monitor's last reply was sent.
    unanswered_since: Option<Millis>,
}

/// State machine of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderState {
    id: AgentId,
    timing: LeaseTiming,
    current: MonitorSet,
    next: Option<MonitorSet>,
    /// Epoch of the next set, once the lease relies on that set alone.
    sole_epoch: Option<u64>,
    entries: BTreeMap<AgentId, SupportEntry>,
    rounds: VecDeque<RenewalRound>,
    sequence: u64,
    next_round_at: Millis,
    lease_until: Millis,
    has_ended: bool,
}

impl HolderState {
    /// Creates a holder without monitors and without a lease.
    #[must_use]
    pub fn new(id: AgentId, timing: LeaseTiming) -> Self {
        Self {
            id,
            timing,
            current: MonitorSet::default(),
            next: None,
            sole_epoch: None,
            entries: BTreeMap::new(),
            rounds: VecDeque::new(),
            sequence: 0,
            next_round_at: Millis::MAX,
            lease_until: Millis(0),
            has_ended: false,
        }
    }

    /// Applies an event and returns the next state and the requested actions.
    #[must_use]
    pub fn step(mut self, now: Millis, event: HolderEvent) -> (Self, Vec<HolderAction>) {
        if self.has_ended {
            return (self, Vec::new());
        }
        let mut actions = Vec::new();
        match event {
            HolderEvent::Sets { current, next } => self.update_sets(now, current, next),
            HolderEvent::Reply {
                monitor,
                sequence,
                accepted,
            } => self.record_reply(&monitor, sequence, accepted),
            HolderEvent::VerdictRead => self.end_permanently(),
            HolderEvent::Tick => actions = self.renew(now),
        }
        self.update_lease(now);
        (self, actions)
    }

    /// The agent that holds the lease.
    #[must_use]
    pub const fn id(&self) -> &AgentId {
        &self.id
    }

    /// End of the lease: the agent may admit requests strictly before it. Zero without a lease.
    #[must_use]
    pub const fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// Epoch of the newest set that the holder relies on alone; reported to the controller.
    #[must_use]
    pub fn sole_epoch(&self) -> u64 {
        self.sole_epoch.unwrap_or(self.current.epoch)
    }

    /// When [`HolderEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        self.next_round_at
    }

    /// Stores the sets unless they are older than the known ones, and makes a round of renewals due at once
    /// if a monitor is new.
    fn update_sets(&mut self, now: Millis, current: MonitorSet, next: Option<MonitorSet>) {
        if current.epoch < self.current.epoch {
            return;
        }
        self.current = current;
        self.next = next;
        self.sole_epoch = self.sole_epoch.filter(|epoch| *epoch > self.current.epoch);
        let previous = std::mem::take(&mut self.entries);
        for monitor in self.monitors() {
            let entry = previous.get(&monitor).cloned().unwrap_or_default();
            self.entries.insert(monitor, entry);
        }
        let has_new_monitor = self.entries.keys().any(|id| !previous.contains_key(id));
        if self.entries.is_empty() {
            self.next_round_at = Millis::MAX;
        } else if has_new_monitor {
            self.next_round_at = now;
        }
    }

    /// Records a reply; support counts from when its renewal was sent.
    fn record_reply(&mut self, monitor: &AgentId, sequence: u64, accepted: bool) {
        let round = self.rounds.iter().find(|round| round.sequence == sequence);
        let (Some(round), Some(entry)) = (round, self.entries.get_mut(monitor)) else {
            return;
        };
        entry.unanswered_since = None;
        if accepted {
            entry.accepted_sent_at = entry.accepted_sent_at.max(Some(round.sent_at));
        }
    }

    /// Ends the lease permanently.
    fn end_permanently(&mut self) {
        self.has_ended = true;
        self.entries.clear();
        self.rounds.clear();
        self.next_round_at = Millis::MAX;
    }

    /// Sends a round of renewals if one is due.
    ///
    /// Once the lease has lapsed, monitors that have not replied for one TTL are skipped.
    fn renew(&mut self, now: Millis) -> Vec<HolderAction> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let round = RenewalRound {
            sequence,
            sent_at: now,
        };
        let ttl_ms = self.timing.ttl_ms;
        self.rounds.retain(|old| now < old.sent_at.plus(ttl_ms));
        self.rounds.push_back(round);
        self.next_round_at = now.plus(self.timing.renew_every_ms);
        let has_lapsed = self.lease_until > Millis(0) && self.lease_until <= now;
        let mut actions = Vec::new();
        for (monitor, entry) in &mut self.entries {
            let since = *entry.unanswered_since.get_or_insert(now);
            if has_lapsed && since.plus(ttl_ms) <= now {
                continue;
            }
            actions.push(HolderAction::Renew {
                to: monitor.clone(),
                sequence,
            });
        }
        actions
    }

    /// Recomputes the end of the lease, and whether the lease relies on the next set alone from now on.
    fn update_lease(&mut self, now: Millis) {
        if self.has_ended {
            self.lease_until = Millis(0);
            return;
        }
        let current_end = self.lease_end(&self.current);
        let Some(set) = &self.next else {
            self.lease_until = if self.sole_epoch.is_none() {
                current_end
            } else {
                Millis(0)
            };
            return;
        };
        let next_end = self.lease_end(set);
        if self.sole_epoch.is_none() && next_end > now && next_end >= current_end {
            self.sole_epoch = Some(set.epoch);
        }
        self.lease_until = match self.sole_epoch {
            None => current_end.max(next_end),
            Some(epoch) if epoch == set.epoch => next_end,
            Some(_) => Millis(0),
        };
    }

    /// Returns until when a support quorum of a set supports the lease.
    fn lease_end(&self, set: &MonitorSet) -> Millis {
        let support_end = |monitor| {
            let entry = self.entries.get(monitor)?;
            Some(entry.accepted_sent_at?.plus(self.timing.ttl_ms))
        };
        let mut ends: Vec<Millis> = set.monitors.iter().filter_map(support_end).collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let quorum_index = set.support_quorum() - 1;
        ends.get(quorum_index).copied().unwrap_or_default()
    }

    /// Returns the monitors of both sets.
    fn monitors(&self) -> Vec<AgentId> {
        let sets = std::iter::once(&self.current).chain(&self.next);
        sets.flat_map(|set| set.monitors.clone()).collect()
    }
}
