//! A controller reduced to members: appoints and changes monitors, and writes verdicts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use jy_lease::rule::BrokenRule;
use jy_lease::tally::VoteTally;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;
use rand::Rng;
use rand::rngs::StdRng;

use super::clock::DriftClock;
use super::placement::fill_set;
use super::settings::CheckSettings;
use super::settings::EndedMonitorRule;
use super::store::StoreWrite;
use super::store::StoredRecord;

/// What reaches a controller.
#[derive(Clone, Debug)]
pub enum ControllerInput {
    /// Time passed.
    Tick,
    /// A record of the store.
    Record(StoredRecord),
    /// A monitor votes.
    Vote {
        /// The monitor.
        from: AgentId,
        /// The agent voted against.
        target: AgentId,
    },
    /// An agent reports.
    Report {
        /// The agent.
        from: AgentId,
        /// Epoch of the newest set that it counts on alone.
        epoch: u64,
    },
    /// Operators want some monitors of every agent changed.
    Change {
        /// How many of each set.
        count: usize,
    },
}

/// A write without an answer is given up after this time.
const WRITE_TIMEOUT_MS: u64 = 1_000;
/// An agent that reported within this time answers.
const ANSWERS_MS: u64 = 3_000;

/// A controller.
#[derive(Debug)]
pub struct ModelController {
    /// Its clock.
    pub clock: DriftClock,
    /// Real time until which the process is stopped.
    pub frozen_until: u64,
    appoints_at: Option<Millis>,
    tally: VoteTally,
    view: BTreeMap<AgentId, StoredRecord>,
    reports: BTreeMap<AgentId, (Millis, u64)>,
    pending: BTreeMap<AgentId, Millis>,
    to_change: BTreeSet<AgentId>,
    change_count: usize,
    monitors: usize,
    gather_ms: u64,
    ended_monitor_rule: EndedMonitorRule,
    broken: Option<BrokenRule>,
}

impl ModelController {
    /// Makes a controller that knows nothing.
    #[must_use]
    pub fn new(settings: &CheckSettings, clock: DriftClock) -> Self {
        let timing = BrokenRule::tally_timing(settings.broken, settings.timing);
        Self {
            clock,
            frozen_until: 0,
            appoints_at: None,
            tally: VoteTally::new(timing),
            view: BTreeMap::new(),
            reports: BTreeMap::new(),
            pending: BTreeMap::new(),
            to_change: BTreeSet::new(),
            change_count: 0,
            monitors: settings.monitors,
            gather_ms: settings.gather_ms,
            ended_monitor_rule: settings.ended_monitor_rule,
            broken: settings.broken,
        }
    }

    /// Takes an input at a real time and returns writes.
    pub fn take(&mut self, now: u64, input: ControllerInput, rng: &mut StdRng) -> Vec<StoreWrite> {
        let now = self.clock.local(now);
        match input {
            ControllerInput::Tick => return self.decide(now, rng),
            ControllerInput::Record(stored) => self.take_record(now, stored),
            ControllerInput::Vote { from, target } => {
                let tally = std::mem::replace(&mut self.tally, VoteTally::new(Default::default()));
                self.tally = tally.with_vote(&from, &target);
            }
            ControllerInput::Report { from, epoch } => {
                self.reports.insert(from, (now, epoch));
            }
            ControllerInput::Change { count } => {
                self.change_count = count;
                self.to_change = self.view.keys().cloned().collect();
            }
        }
        Vec::new()
    }

    /// Returns a record as the controller knows it, unless the agent is over.
    #[must_use]
    pub fn open_record(&self, id: &AgentId) -> Option<&StoredRecord> {
        let stored = self.view.get(id);
        stored.filter(|stored| !stored.record.state.has_ended())
    }

    fn take_record(&mut self, now: Millis, stored: StoredRecord) {
        let id = stored.record.id.clone();
        let known = self.view.get(&id).map_or(0, |known| known.revision);
        if stored.revision <= known {
            return;
        }
        let counts = match stored.record.state {
            MemberState::Dead => self.ended_monitor_rule == EndedMonitorRule::Counted,
            MemberState::Left => self.broken == Some(BrokenRule::LeftCounted),
            _ => false,
        };
        if counts {
            let tally = std::mem::replace(&mut self.tally, VoteTally::new(Default::default()));
            self.tally = tally.with_ended(now, &id);
        }
        self.pending.remove(&id);
        self.view.insert(id, stored);
    }

    /// Decides on every member that has no write under way.
    fn decide(&mut self, now: Millis, rng: &mut StdRng) -> Vec<StoreWrite> {
        let mut writes = Vec::new();
        let appoints_at = *self.appoints_at.get_or_insert(now.plus(self.gather_ms));
        if now < appoints_at {
            return writes;
        }
        let ids: Vec<AgentId> = self.view.keys().cloned().collect();
        for id in ids {
            let stored = self.view[&id].clone();
            let is_pending = self.pending.get(&id).is_some_and(|until| now < *until);
            if stored.record.state.has_ended() || is_pending {
                continue;
            }
            let write = self.decide_member(now, &stored, rng);
            if write.is_some() {
                self.pending.insert(id, now.plus(WRITE_TIMEOUT_MS));
            }
            writes.extend(write);
        }
        writes
    }

    fn decide_member(
        &mut self,
        now: Millis,
        stored: &StoredRecord,
        rng: &mut StdRng,
    ) -> Option<StoreWrite> {
        let mut record = (*stored.record).clone();
        let is_verdict = self.tally.is_decided(now, &record);
        if is_verdict {
            record.state = MemberState::Dead;
        } else {
            record = self.change_sets(now, record, rng)?;
        }
        Some(StoreWrite {
            expect: stored.revision,
            record: Arc::new(record),
            blind: !is_verdict && self.broken == Some(BrokenRule::ChangeAfterVerdict),
        })
    }

    /// Puts an acknowledged set in force, appoints first monitors, or replaces some.
    fn change_sets(
        &mut self,
        now: Millis,
        mut record: MemberRecord,
        rng: &mut StdRng,
    ) -> Option<MemberRecord> {
        let report = self.reports.get(&record.id).copied();
        if let Some(next) = record.next_monitors.take() {
            let is_counted = report.is_some_and(|(_, epoch)| epoch >= next.epoch);
            record.monitors = next;
            return is_counted.then_some(record);
        }
        let answers = report.is_some_and(|(at, _)| now < at.plus(ANSWERS_MS));
        let is_new = record.monitors.monitors.is_empty();
        let kept = self.kept_monitors(&record, rng);
        let is_whole = kept.len() == record.monitors.monitors.len() && kept.len() >= self.monitors;
        if !is_new && (is_whole || !answers) {
            return None;
        }
        let set = self.fill(&record, kept, rng)?;
        self.to_change.remove(&record.id);
        record.state = MemberState::Live;
        if is_new || self.broken == Some(BrokenRule::NoJointSet) {
            record.monitors = set;
        } else {
            record.next_monitors = Some(set);
        }
        Some(record)
    }

    /// Returns the monitors that stay: those not over, less some if a change was asked for.
    fn kept_monitors(&self, record: &MemberRecord, rng: &mut StdRng) -> Vec<AgentId> {
        let mut kept = record.monitors.monitors.clone();
        kept.retain(|id| self.is_present(id));
        let is_asked = self.to_change.contains(&record.id);
        let is_whole = kept.len() == record.monitors.monitors.len();
        if is_asked && is_whole {
            for _ in 0..self.change_count.min(kept.len()) {
                kept.swap_remove(rng.random_range(0..kept.len()));
            }
        }
        kept
    }

    /// Makes the set to come out of what stays and new ones.
    fn fill(
        &self,
        record: &MemberRecord,
        kept: Vec<AgentId>,
        rng: &mut StdRng,
    ) -> Option<MonitorSet> {
        let present = self.view.values().map(|stored| &*stored.record);
        let others = present.filter(|other| !other.state.has_ended() && other.id != record.id);
        let (kept, mut free): (Vec<_>, Vec<_>) = others.partition(|other| kept.contains(&other.id));
        let old = &record.monitors.monitors;
        let has_spare = kept.len() + free.len() > old.len().max(self.monitors);
        if has_spare {
            free.retain(|other| !old.contains(&other.id));
        }
        let monitors = fill_set(record, kept, free, self.monitors, rng);
        let is_useful = !monitors.is_empty() && monitors != *old;
        is_useful.then_some(MonitorSet {
            epoch: record.monitors.epoch + 1,
            monitors,
        })
    }

    fn is_present(&self, id: &AgentId) -> bool {
        let stored = self.view.get(id);
        stored.is_some_and(|stored| !stored.record.state.has_ended())
    }
}
