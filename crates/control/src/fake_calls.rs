//! Calls of the store by the candidates of a fake fleet, and what they are told.

use jy_feed::view::ServiceKey;
use jy_types::assign::TermRecord;
use jy_types::key::Unit;
use jy_types::name::Name;
use jy_types::record::RecordBatch;
use jy_types::record::TERM_KEY;
use jy_types::time::Millis;
use rand::Rng;

use crate::api::ControlAction;
use crate::api::ControlEvent;
use crate::api::WriteOutcome;
use crate::core::ControlState;
use crate::election::ElectionAction;
use crate::election::ElectionEvent;
use crate::election::STORE_LEASE_MS;
use crate::fake_fleet::FakeFleet;
use crate::fake_store::FakeAlive;
use crate::fake_tasks::FleetTask;
use crate::fake_tasks::lease_task;

/// A message between agents takes this long, in milliseconds.
const MESSAGE_MS: u64 = 1;

/// A call of the store without an answer ends after this time, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

impl FakeFleet {
    /// A controller's write reaches the store.
    pub(crate) fn swap(&mut self, candidate: usize, key: &Name, expect: u64, value: Option<Name>) {
        let result = self.store.swap(self.now, key, expect, value);
        let delay = match result.end {
            WriteOutcome::Unknown => CALL_TIMEOUT_MS,
            _ => self.store.delay_ms,
        };
        let end = ControlEvent::Written {
            key: key.clone(),
            end: result.end,
        };
        self.plan(delay, FleetTask::Control(candidate, Box::new(end)));
        if let Some(record) = result.written {
            for (service, unit, grant) in self.checks.observe(&record) {
                self.note_grant(service, unit, grant.next.is_some());
            }
            for id in std::mem::take(&mut self.checks.sets_changed) {
                self.sets_changed.insert(id, self.now);
            }
            self.close_changes();
            self.spread_records();
        }
    }

    /// A unit's grant changed: if it is to move, its owner will release it.
    pub(crate) fn note_grant(&mut self, service: ServiceKey, unit: Unit, moves: bool) {
        let Some((owner, _)) = self.checks.holder(&service, unit) else {
            return;
        };
        let wait = self.settings.spread_ms.max(1);
        let wait = self.rng.random_range(0..wait)
            + self.rng.random_range(0..self.settings.drain_ms.max(1));
        let at = self.now.plus(wait);
        if let Some(agent) = self.agents.iter_mut().find(|agent| agent.id == owner) {
            if moves {
                agent.moving.entry((service, unit)).or_insert(at);
            } else {
                agent.moving.remove(&(service, unit));
            }
        }
    }

    /// A claim reaches the store.
    pub(crate) fn claim(&mut self, candidate: usize, term: u64, expect: u64) {
        let record = TermRecord {
            term,
            holder: self.agents[candidate].id.clone(),
        };
        let value = serde_json::to_string(&record).ok().map(Name::from);
        let result = self.store.swap(self.now, &TERM_KEY.into(), expect, value);
        let event = match result.end {
            WriteOutcome::Applied { .. } => ElectionEvent::Claimed { term },
            WriteOutcome::Conflict => ElectionEvent::Beaten,
            WriteOutcome::Unknown => return self.spread_records(),
        };
        self.plan(self.store.delay_ms, FleetTask::Election(candidate, event));
        self.spread_records();
    }

    /// A store lease is granted or renewed.
    pub(crate) fn lease(&mut self, candidate: usize, term: u64, sent: Millis, renewal: bool) {
        if !self.store.is_up(self.now) {
            return;
        }
        self.store.count_write(self.now);
        let own = self.store.alive.is_some_and(|alive| alive.term == term);
        if renewal && !own {
            return;
        }
        let until = self.now.plus(STORE_LEASE_MS);
        self.store.alive = Some(FakeAlive { term, until });
        let renewed = ElectionEvent::Renewed {
            until: sent.plus(STORE_LEASE_MS),
        };
        self.plan(self.store.delay_ms, FleetTask::Election(candidate, renewed));
        if !renewal {
            self.notify_alive(Some(term));
        }
    }

    /// Every candidate reads whether the controller's key is there.
    pub(crate) fn notify_alive(&mut self, term: Option<u64>) {
        for candidate in 0..self.candidates.len() {
            let event = ElectionEvent::Alive { term };
            self.plan(self.store.delay_ms, FleetTask::Election(candidate, event));
        }
    }

    /// Gives a candidate an event.
    pub(crate) fn notify_election(&mut self, candidate: usize, event: ElectionEvent) {
        let now = self.now;
        let fake = &mut self.candidates[candidate];
        let (election, actions) = fake.election.clone().step(now, event);
        fake.election = election;
        let delay = self.store.delay_ms;
        for action in actions {
            match action {
                ElectionAction::Claim { term, expect } => {
                    let claim = FleetTask::Claim {
                        candidate,
                        term,
                        expect,
                    };
                    self.plan(delay, claim);
                }
                ElectionAction::ShowAlive { term } => {
                    self.candidates[candidate].term = term;
                    self.plan(delay, lease_task(candidate, term, now, false));
                }
                ElectionAction::Renew => {
                    let term = self.candidates[candidate].term;
                    self.plan(delay, lease_task(candidate, term, now, true));
                }
                ElectionAction::Start { term } => {
                    self.notify_control(candidate, ControlEvent::Elected { term });
                }
                ElectionAction::Stop => self.notify_control(candidate, ControlEvent::Deposed),
            }
        }
        self.plan_wake(candidate);
    }

    /// Gives a controller an event. Records are read as far as the store has them.
    pub(crate) fn notify_control(&mut self, candidate: usize, event: ControlEvent) {
        let event = match event {
            ControlEvent::Records(_) => match self.read_records(candidate) {
                Some(batch) => ControlEvent::Records(batch),
                None => return,
            },
            other => other,
        };
        let Some(control) = self.candidates[candidate].control.take() else {
            return;
        };
        let begun = (self.meter)();
        let (control, actions) = control.step(self.now, event);
        self.spent_nanos += (self.meter)() - begun;
        self.control_events += 1;
        self.candidates[candidate].control = Some(control);
        for ControlAction::Write { key, expect, value } in actions {
            let swap = FleetTask::Swap {
                candidate,
                key,
                expect,
                value,
            };
            self.plan(self.store.delay_ms, swap);
        }
        self.plan_wake(candidate);
    }

    /// Reads what a candidate lacks; tells its election of the term.
    pub(crate) fn read_records(&mut self, candidate: usize) -> Option<RecordBatch> {
        if !self.store.is_up(self.now) {
            return None;
        }
        let seen = self.candidates[candidate].seen;
        let records = self.store.records().filter(|record| record.revision > seen);
        let batch = RecordBatch {
            records: records.cloned().collect(),
            complete_to: self.store.revision(),
        };
        if batch.records.is_empty() {
            return None;
        }
        self.candidates[candidate].seen = batch.complete_to;
        let term = batch.records.iter().find(|record| &*record.key == TERM_KEY);
        if let Some(record) = term {
            let value = record.value.as_ref();
            let read = value.and_then(|text| serde_json::from_str::<TermRecord>(text).ok());
            let event = ElectionEvent::Term {
                term: read.as_ref().map_or(0, |read| read.term),
                holder: read.map(|read| read.holder),
                revision: record.revision,
            };
            self.notify_election(candidate, event);
        }
        Some(batch)
    }

    /// Plans a candidate's next deadline.
    pub(crate) fn plan_wake(&mut self, candidate: usize) {
        let fake = &mut self.candidates[candidate];
        let control = fake
            .control
            .as_ref()
            .map_or(Millis::MAX, ControlState::next_tick);
        let due = control.min(fake.election.next_tick()).max(self.now);
        if due == Millis::MAX || fake.wake_at <= due {
            return;
        }
        fake.wake_at = due;
        self.plan(due.since(self.now), FleetTask::Wake(candidate));
    }

    /// A candidate's deadline is due.
    pub(crate) fn wake(&mut self, candidate: usize) {
        self.candidates[candidate].wake_at = Millis::MAX;
        self.notify_control(candidate, ControlEvent::Tick);
        self.notify_election(candidate, ElectionEvent::Tick);
    }

    /// Returns the candidate that holds the newest term and runs.
    pub(crate) fn controller(&self) -> Option<usize> {
        let value = self.store.get(TERM_KEY)?.value.as_ref()?;
        let term: TermRecord = serde_json::from_str(value).ok()?;
        let holder = self
            .agents
            .iter()
            .position(|agent| agent.id == term.holder)?;
        let runs = self.agents[holder].is_up() && holder < self.candidates.len();
        runs.then_some(holder)
    }

    /// Sends the controller a message.
    pub(crate) fn notify_controller(&mut self, event: ControlEvent) {
        if let Some(candidate) = self.controller() {
            self.plan(MESSAGE_MS, FleetTask::Control(candidate, Box::new(event)));
        }
    }
}
