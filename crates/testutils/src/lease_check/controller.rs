//! Model of a controller that manages members only: it assigns and replaces monitors, and writes verdicts.

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
use super::placement::select_monitors;
use super::settings::CheckSettings;
use super::settings::EndedMonitorRule;
use super::store::StoreWrite;
use super::store::StoredRecord;

/// An input of a controller.
#[derive(Clone, Debug)]
pub enum ControllerInput {
    /// The controller makes its next decisions.
    Tick,
    /// A record reaches the controller from the store.
    Record(StoredRecord),
    /// A monitor votes against an agent.
    Vote {
        /// The monitor.
        from: AgentId,
        /// The agent voted against.
        target: AgentId,
    },
    /// An agent sends its regular report.
    Report {
        /// The agent.
        from: AgentId,
        /// Epoch of the newest set that its holder relies on alone.
        epoch: u64,
    },
    /// Operators request that some monitors of every agent be replaced.
    ChangeMonitors {
        /// Number of monitors to replace in each set.
        count: usize,
    },
}

/// How long a controller waits to read the result of a write before it decides on the record again.
const WRITE_TIMEOUT_MS: u64 = 1_000;
/// Maximum age of an agent's last report at which its monitors may be replaced.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// State of a controller.
#[derive(Debug)]
pub struct ModelController {
    /// Its clock.
    pub clock: DriftClock,
    /// Real time until which the process is frozen.
    pub frozen_until: u64,
    /// When decisions begin; none before the first tick.
    first_decision_at: Option<Millis>,
    tally: VoteTally,
    records: BTreeMap<AgentId, StoredRecord>,
    /// Time and epoch of each agent's last report.
    reports: BTreeMap<AgentId, (Millis, u64)>,
    /// When each write that has not been read back times out.
    pending_writes: BTreeMap<AgentId, Millis>,
    /// Agents of which monitors are still to be replaced on request.
    change_requested: BTreeSet<AgentId>,
    /// Number of monitors to replace on request in each set.
    requested_count: usize,
    monitors: usize,
    observation_ms: u64,
    ended_monitor_rule: EndedMonitorRule,
    broken: Option<BrokenRule>,
}

impl ModelController {
    /// Creates a controller that knows no records.
    #[must_use]
    pub fn new(settings: &CheckSettings, clock: DriftClock) -> Self {
        let timing = BrokenRule::tally_timing(settings.broken, settings.timing);
        Self {
            clock,
            frozen_until: 0,
            first_decision_at: None,
            tally: VoteTally::new(timing),
            records: BTreeMap::new(),
            reports: BTreeMap::new(),
            pending_writes: BTreeMap::new(),
            change_requested: BTreeSet::new(),
            requested_count: 0,
            monitors: settings.monitors,
            observation_ms: settings.observation_ms,
            ended_monitor_rule: settings.ended_monitor_rule,
            broken: settings.broken,
        }
    }

    /// Handles an input at a real time and returns the writes to send to the store.
    pub fn handle_input(
        &mut self,
        now: u64,
        input: ControllerInput,
        rng: &mut StdRng,
    ) -> Vec<StoreWrite> {
        let now = self.clock.local(now);
        match input {
            ControllerInput::Tick => return self.decide(now, rng),
            ControllerInput::Record(stored) => self.handle_record(now, stored),
            ControllerInput::Vote { from, target } => {
                let tally = std::mem::replace(&mut self.tally, VoteTally::new(Default::default()));
                self.tally = tally.with_vote(&from, &target);
            }
            ControllerInput::Report { from, epoch } => {
                self.reports.insert(from, (now, epoch));
            }
            ControllerInput::ChangeMonitors { count } => {
                self.requested_count = count;
                self.change_requested = self.records.keys().cloned().collect();
            }
        }
        Vec::new()
    }

    /// Returns the newest known record of an agent, unless the agent has ended.
    #[must_use]
    pub fn active_record(&self, id: &AgentId) -> Option<&StoredRecord> {
        let stored = self.records.get(id);
        stored.filter(|stored| !stored.record.state.has_ended())
    }

    fn handle_record(&mut self, now: Millis, stored: StoredRecord) {
        let id = stored.record.id.clone();
        let known = self.records.get(&id).map_or(0, |known| known.revision);
        if stored.revision <= known {
            return;
        }
        let counts_as_vote = match stored.record.state {
            MemberState::Dead => self.ended_monitor_rule == EndedMonitorRule::Counted,
            MemberState::Left => self.broken == Some(BrokenRule::LeftCounted),
            _ => false,
        };
        if counts_as_vote {
            let tally = std::mem::replace(&mut self.tally, VoteTally::new(Default::default()));
            self.tally = tally.with_ended(now, &id);
        }
        self.pending_writes.remove(&id);
        self.records.insert(id, stored);
    }

    /// Decides on every member that has not ended and has no pending write.
    fn decide(&mut self, now: Millis, rng: &mut StdRng) -> Vec<StoreWrite> {
        let mut writes = Vec::new();
        let first_decision_at = *self
            .first_decision_at
            .get_or_insert(now.plus(self.observation_ms));
        if now < first_decision_at {
            return writes;
        }
        let ids: Vec<AgentId> = self.records.keys().cloned().collect();
        for id in ids {
            let stored = self.records[&id].clone();
            let is_pending = self
                .pending_writes
                .get(&id)
                .is_some_and(|until| now < *until);
            if stored.record.state.has_ended() || is_pending {
                continue;
            }
            let write = self.decide_member(now, &stored, rng);
            if write.is_some() {
                self.pending_writes.insert(id, now.plus(WRITE_TIMEOUT_MS));
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
            expected_revision: stored.revision,
            record: Arc::new(record),
            is_unconditional: !is_verdict && self.broken == Some(BrokenRule::ChangeAfterVerdict),
        })
    }

    /// Makes the next set the current one if the holder relies on it alone, assigns the first monitors, or
    /// proposes a next set. Returns the changed record; `None` if nothing is to change.
    fn change_sets(
        &mut self,
        now: Millis,
        mut record: MemberRecord,
        rng: &mut StdRng,
    ) -> Option<MemberRecord> {
        let report = self.reports.get(&record.id).copied();
        if let Some(next) = record.next_monitors.take() {
            let is_relied_on = report.is_some_and(|(_, epoch)| epoch >= next.epoch);
            record.monitors = next;
            return is_relied_on.then_some(record);
        }
        let has_recent_report = report.is_some_and(|(at, _)| now < at.plus(MAX_REPORT_AGE_MS));
        let is_new = record.monitors.monitors.is_empty();
        let kept = self.kept_monitors(&record, rng);
        let is_complete =
            kept.len() == record.monitors.monitors.len() && kept.len() >= self.monitors;
        if !is_new && (is_complete || !has_recent_report) {
            return None;
        }
        let set = self.next_set(&record, kept, rng)?;
        self.change_requested.remove(&record.id);
        record.state = MemberState::Live;
        if is_new || self.broken == Some(BrokenRule::NoJointSet) {
            record.monitors = set;
        } else {
            record.next_monitors = Some(set);
        }
        Some(record)
    }

    /// Returns the monitors to keep: those that have not ended, without some random ones if operators
    /// requested a change and none has ended.
    fn kept_monitors(&self, record: &MemberRecord, rng: &mut StdRng) -> Vec<AgentId> {
        let mut kept = record.monitors.monitors.clone();
        kept.retain(|id| self.is_active(id));
        let is_requested = self.change_requested.contains(&record.id);
        let is_intact = kept.len() == record.monitors.monitors.len();
        if is_requested && is_intact {
            for _ in 0..self.requested_count.min(kept.len()) {
                kept.swap_remove(rng.random_range(0..kept.len()));
            }
        }
        kept
    }

    /// Returns the next set of monitors, made up of kept and new ones; `None` if it would be empty or
    /// unchanged.
    fn next_set(
        &self,
        record: &MemberRecord,
        kept: Vec<AgentId>,
        rng: &mut StdRng,
    ) -> Option<MonitorSet> {
        let known_records = self.records.values().map(|stored| &*stored.record);
        let others =
            known_records.filter(|other| !other.state.has_ended() && other.id != record.id);
        let (kept, mut candidates): (Vec<_>, Vec<_>) =
            others.partition(|other| kept.contains(&other.id));
        let old = &record.monitors.monitors;
        let has_spare = kept.len() + candidates.len() > old.len().max(self.monitors);
        if has_spare {
            candidates.retain(|other| !old.contains(&other.id));
        }
        let monitors = select_monitors(record, kept, candidates, self.monitors, rng);
        let is_changed = !monitors.is_empty() && monitors != *old;
        is_changed.then_some(MonitorSet {
            epoch: record.monitors.epoch + 1,
            monitors,
        })
    }

    fn is_active(&self, id: &AgentId) -> bool {
        let stored = self.records.get(id);
        stored.is_some_and(|stored| !stored.record.state.has_ended())
    }
}
