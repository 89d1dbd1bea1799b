//! The agent's side of its own lease.
//!
//! The holder asks every monitor of its sets for support at a steady pace. It counts a support from
//! when it sent the renewal, so it always stops before the monitor's promise ends.
//!
//! While a set to come stands beside the one in force, either may carry the lease, since a verdict
//! needs both. Once the set to come carries the lease as far as the old one, the holder counts on it
//! alone for good and says so; only then may the controller put it in force.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jy_types::member::AgentId;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// What happens to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderEvent {
    /// The agent's record names these monitors.
    Sets {
        /// The set in force.
        current: MonitorSet,
        /// The set to come.
        next: Option<MonitorSet>,
    },
    /// A monitor answered a renewal.
    Reply {
        /// The monitor.
        monitor: AgentId,
        /// The sequence of the renewal.
        sequence: u64,
        /// Whether it supports.
        accepted: bool,
    },
    /// A verdict on this incarnation was read: it stops for good.
    Condemned,
    /// Time passed.
    Tick,
}

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderAction {
    /// Send a renewal.
    Renew {
        /// The monitor.
        to: AgentId,
        /// Sequence to send; the reply carries it.
        sequence: u64,
    },
}

/// A round of renewals, one to each monitor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentRound {
    sequence: u64,
    sent: Millis,
}

/// What a holder knows of one monitor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SupportEntry {
    /// When the newest supported renewal was sent.
    supported: Option<Millis>,
    /// When the oldest renewal since the last answer was sent.
    unheard_since: Option<Millis>,
}

/// State of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderState {
    id: AgentId,
    timing: LeaseTiming,
    current: MonitorSet,
    next: Option<MonitorSet>,
    counted_alone: Option<u64>,
    entries: BTreeMap<AgentId, SupportEntry>,
    rounds: VecDeque<SentRound>,
    sequence: u64,
    round_at: Millis,
    lease_until: Millis,
    condemned: bool,
}

impl HolderState {
    /// Makes a holder without monitors and without a lease.
    #[must_use]
    pub fn new(id: AgentId, timing: LeaseTiming) -> Self {
        Self {
            id,
            timing,
            current: MonitorSet::default(),
            next: None,
            counted_alone: None,
            entries: BTreeMap::new(),
            rounds: VecDeque::new(),
            sequence: 0,
            round_at: Millis::MAX,
            lease_until: Millis(0),
            condemned: false,
        }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(mut self, now: Millis, event: HolderEvent) -> (Self, Vec<HolderAction>) {
        if self.condemned {
            return (self, Vec::new());
        }
        let mut actions = Vec::new();
        match event {
            HolderEvent::Sets { current, next } => self.take_sets(now, current, next),
            HolderEvent::Reply {
                monitor,
                sequence,
                accepted,
            } => self.take_reply(&monitor, sequence, accepted),
            HolderEvent::Condemned => self.condemn(),
            HolderEvent::Tick => actions = self.renew(now),
        }
        self.settle(now);
        (self, actions)
    }

    /// The agent whose holder this is.
    #[must_use]
    pub const fn id(&self) -> &AgentId {
        &self.id
    }

    /// The agent may admit requests strictly before this point. Zero without a lease.
    #[must_use]
    pub const fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// Epoch of the newest set that the holder counts on alone; told to the controller.
    #[must_use]
    pub fn counted_epoch(&self) -> u64 {
        self.counted_alone.unwrap_or(self.current.epoch)
    }

    /// When [`HolderEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        self.round_at
    }

    /// Takes the sets in unless they are older than the known ones, and asks new monitors at once.
    fn take_sets(&mut self, now: Millis, current: MonitorSet, next: Option<MonitorSet>) {
        if current.epoch < self.current.epoch {
            return;
        }
        self.current = current;
        self.next = next;
        self.counted_alone = self
            .counted_alone
            .filter(|epoch| *epoch > self.current.epoch);
        let known = std::mem::take(&mut self.entries);
        for monitor in self.monitors() {
            let entry = known.get(&monitor).cloned().unwrap_or_default();
            self.entries.insert(monitor, entry);
        }
        let is_new = self.entries.keys().any(|id| !known.contains_key(id));
        if self.entries.is_empty() {
            self.round_at = Millis::MAX;
        } else if is_new {
            self.round_at = now;
        }
    }

    /// Counts a support from when its renewal was sent.
    fn take_reply(&mut self, monitor: &AgentId, sequence: u64, accepted: bool) {
        let round = self.rounds.iter().find(|round| round.sequence == sequence);
        let (Some(round), Some(entry)) = (round, self.entries.get_mut(monitor)) else {
            return;
        };
        entry.unheard_since = None;
        if accepted {
            entry.supported = entry.supported.max(Some(round.sent));
        }
    }

    /// Ends the lease for good.
    fn condemn(&mut self) {
        self.condemned = true;
        self.entries.clear();
        self.rounds.clear();
        self.round_at = Millis::MAX;
    }

    /// Sends a round of renewals if one is due.
    fn renew(&mut self, now: Millis) -> Vec<HolderAction> {
        if now < self.round_at {
            return Vec::new();
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let round = SentRound {
            sequence,
            sent: now,
        };
        let ttl_ms = self.timing.ttl_ms;
        self.rounds.retain(|old| now < old.sent.plus(ttl_ms));
        self.rounds.push_back(round);
        self.round_at = now.plus(self.timing.renew_every_ms);
        let had_lease = self.lease_until > Millis(0) && self.lease_until <= now;
        let mut actions = Vec::new();
        for (monitor, entry) in &mut self.entries {
            let unheard = *entry.unheard_since.get_or_insert(now);
            if had_lease && unheard.plus(ttl_ms) <= now {
                continue;
            }
            actions.push(HolderAction::Renew {
                to: monitor.clone(),
                sequence,
            });
        }
        actions
    }

    /// Works out the lease, and whether the set to come carries it alone from now on.
    fn settle(&mut self, now: Millis) {
        if self.condemned {
            self.lease_until = Millis(0);
            return;
        }
        let current = self.lease_of(&self.current);
        let Some(set) = &self.next else {
            self.lease_until = if self.counted_alone.is_none() {
                current
            } else {
                Millis(0)
            };
            return;
        };
        let next = self.lease_of(set);
        if self.counted_alone.is_none() && next > now && next >= current {
            self.counted_alone = Some(set.epoch);
        }
        self.lease_until = match self.counted_alone {
            None => current.max(next),
            Some(epoch) if epoch == set.epoch => next,
            Some(_) => Millis(0),
        };
    }

    /// Returns until when a support quorum of a set supports.
    fn lease_of(&self, set: &MonitorSet) -> Millis {
        let end_of = |monitor| {
            let entry = self.entries.get(monitor)?;
            Some(entry.supported?.plus(self.timing.ttl_ms))
        };
        let mut ends: Vec<Millis> = set.monitors.iter().filter_map(end_of).collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let last = set.support_quorum() - 1;
        ends.get(last).copied().unwrap_or_default()
    }

    /// Returns the monitors of both sets.
    fn monitors(&self) -> Vec<AgentId> {
        let sets = std::iter::once(&self.current).chain(&self.next);
        sets.flat_map(|set| set.monitors.clone()).collect()
    }
}
