//! Store calls of a simulated fleet's candidates, and the events that the candidates receive.

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
use crate::election::CONTROLLER_LEASE_MS;
use crate::election::ElectionAction;
use crate::election::ElectionEvent;
use crate::fake_fleet::FakeFleet;
use crate::fake_store::ControllerLease;
use crate::fake_tasks::FleetTask;
use crate::fake_tasks::lease_task;

/// Delay of a message between agents.
const MESSAGE_DELAY_MS: u64 = 1;

/// Time after which a call of the store without an answer fails.
const CALL_TIMEOUT_MS: u64 = 1_500;

impl FakeFleet {
    /// Executes a controller's write in the store and schedules its outcome.
    pub(crate) fn handle_swap(
        &mut self,
        candidate: usize,
        key: &Name,
        expect: u64,
        value: Option<Name>,
    ) {
        let result = self.store.swap(self.now, key, expect, value);
        let delay = match result.outcome {
            WriteOutcome::Unknown => CALL_TIMEOUT_MS,
            _ => self.store.delay_ms,
        };
        let written = ControlEvent::Written {
            key: key.clone(),
            end: result.outcome,
        };
        self.schedule(delay, FleetTask::Control(candidate, Box::new(written)));
        if let Some(record) = result.written {
            for (service, unit, grant) in self.checks.observe(&record) {
                self.update_release(service, unit, grant.next_owner.is_some());
            }
            for id in std::mem::take(&mut self.checks.changed_monitor_sets) {
                self.monitor_sets_changed_at.insert(id, self.now);
            }
            self.record_completed_changes();
            self.schedule_record_reads();
        }
    }

    /// Schedules the release of a unit by its owner if a move is planned, for when the owner has read the
    /// record and its requests in flight have ended. Cancels the release if no move is planned.
    pub(crate) fn update_release(&mut self, service: ServiceKey, unit: Unit, move_planned: bool) {
        let Some((owner, _)) = self.checks.current_grant(&service, unit) else {
            return;
        };
        let max_spread = self.settings.spread_ms.max(1);
        let wait = self.rng.random_range(0..max_spread)
            + self.rng.random_range(0..self.settings.drain_ms.max(1));
        let at = self.now.plus(wait);
        if let Some(agent) = self.agents.iter_mut().find(|agent| agent.id == owner) {
            if move_planned {
                agent.pending_releases.entry((service, unit)).or_insert(at);
            } else {
                agent.pending_releases.remove(&(service, unit));
            }
        }
    }

    /// Executes a candidate's claim of a term in the store and schedules its outcome. If the answer is lost,
    /// the candidate finds the outcome in the records.
    pub(crate) fn handle_claim(&mut self, candidate: usize, term: u64, expect: u64) {
        let record = TermRecord {
            term,
            holder: self.agents[candidate].id.clone(),
        };
        let value = serde_json::to_string(&record).ok().map(Name::from);
        let result = self.store.swap(self.now, &TERM_KEY.into(), expect, value);
        let event = match result.outcome {
            WriteOutcome::Applied { .. } => ElectionEvent::Claimed { term },
            WriteOutcome::Conflict => ElectionEvent::Beaten,
            WriteOutcome::Unknown => return self.schedule_record_reads(),
        };
        self.schedule(self.store.delay_ms, FleetTask::Election(candidate, event));
        self.schedule_record_reads();
    }

    /// Grants or renews the store lease of a term. A renewal has no effect if the controller's key is gone or
    /// names another term. No call has an effect while the store is down.
    pub(crate) fn handle_lease(
        &mut self,
        candidate: usize,
        term: u64,
        sent: Millis,
        renewal: bool,
    ) {
        if !self.store.is_up(self.now) {
            return;
        }
        self.store.count_write(self.now);
        let holds_lease = self
            .store
            .controller_lease
            .is_some_and(|lease| lease.term == term);
        if renewal && !holds_lease {
            return;
        }
        let until = self.now.plus(CONTROLLER_LEASE_MS);
        self.store.controller_lease = Some(ControllerLease { term, until });
        let renewed = ElectionEvent::Renewed {
            until: sent.plus(CONTROLLER_LEASE_MS),
        };
        self.schedule(self.store.delay_ms, FleetTask::Election(candidate, renewed));
        if !renewal {
            self.notify_alive(Some(term));
        }
    }

    /// Notifies every candidate of the term that the controller's key names, or that the key is gone.
    pub(crate) fn notify_alive(&mut self, term: Option<u64>) {
        for candidate in 0..self.candidates.len() {
            let event = ElectionEvent::Alive { term };
            self.schedule(self.store.delay_ms, FleetTask::Election(candidate, event));
        }
    }

    /// Steps a candidate's election by an event and schedules the resulting actions.
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
                    self.schedule(delay, claim);
                }
                ElectionAction::ShowAlive { term } => {
                    self.candidates[candidate].term = term;
                    self.schedule(delay, lease_task(candidate, term, now, false));
                }
                ElectionAction::Renew => {
                    let term = self.candidates[candidate].term;
                    self.schedule(delay, lease_task(candidate, term, now, true));
                }
                ElectionAction::Start { term } => {
                    self.notify_control(candidate, ControlEvent::Elected { term });
                }
                ElectionAction::Stop => self.notify_control(candidate, ControlEvent::Deposed),
            }
        }
        self.schedule_wake(candidate);
    }

    /// Steps a controller by an event and schedules the resulting writes. For [`ControlEvent::Records`] the
    /// batch is read from the store at this point.
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
        let started = (self.nano_clock)();
        let (control, actions) = control.step(self.now, event);
        self.control_nanos += (self.nano_clock)() - started;
        self.control_events += 1;
        self.candidates[candidate].control = Some(control);
        for ControlAction::Write { key, expect, value } in actions {
            let swap = FleetTask::Swap {
                candidate,
                key,
                expect,
                value,
            };
            self.schedule(self.store.delay_ms, swap);
        }
        self.schedule_wake(candidate);
    }

    /// Reads the records that a candidate has not read yet and notifies its election of a changed term.
    pub(crate) fn read_records(&mut self, candidate: usize) -> Option<RecordBatch> {
        if !self.store.is_up(self.now) {
            return None;
        }
        let last_read = self.candidates[candidate].last_revision;
        let records = self
            .store
            .records()
            .filter(|record| record.revision > last_read);
        let batch = RecordBatch {
            records: records.cloned().collect(),
            complete_to: self.store.revision(),
            era: 0,
        };
        if batch.records.is_empty() {
            return None;
        }
        self.candidates[candidate].last_revision = batch.complete_to;
        let term = batch.records.iter().find(|record| &*record.key == TERM_KEY);
        if let Some(record) = term {
            let value = record.value.as_ref();
            let parsed = value.and_then(|text| serde_json::from_str::<TermRecord>(text).ok());
            let event = ElectionEvent::Term {
                term: parsed.as_ref().map_or(0, |record| record.term),
                holder: parsed.map(|record| record.holder),
                revision: record.revision,
            };
            self.notify_election(candidate, event);
        }
        Some(batch)
    }

    /// Schedules a candidate's next deadline, unless an earlier one is scheduled.
    pub(crate) fn schedule_wake(&mut self, candidate: usize) {
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
        self.schedule(due.since(self.now), FleetTask::Wake(candidate));
    }

    /// Sends a tick to a candidate's controller and election.
    pub(crate) fn wake(&mut self, candidate: usize) {
        self.candidates[candidate].wake_at = Millis::MAX;
        self.notify_control(candidate, ControlEvent::Tick);
        self.notify_election(candidate, ElectionEvent::Tick);
    }

    /// Returns the candidate that holds the current term, if its agent is running.
    pub(crate) fn controller(&self) -> Option<usize> {
        let value = self.store.get(TERM_KEY)?.value.as_ref()?;
        let term: TermRecord = serde_json::from_str(value).ok()?;
        let holder = self
            .agents
            .iter()
            .position(|agent| agent.id == term.holder)?;
        let running = self.agents[holder].is_up() && holder < self.candidates.len();
        running.then_some(holder)
    }

    /// Sends a message to the controller. It is lost if there is none.
    pub(crate) fn notify_controller(&mut self, event: ControlEvent) {
        if let Some(candidate) = self.controller() {
            self.schedule(
                MESSAGE_DELAY_MS,
                FleetTask::Control(candidate, Box::new(event)),
            );
        }
    }
}
