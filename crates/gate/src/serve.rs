//! What is sent to the backend server, and what becomes of it.

use jy_types::request::Refusal;
use jy_types::time::Millis;

use crate::api::Arrival;
use crate::api::DispatchOutcome;
use crate::api::GateAction;
use crate::core::BackendState;
use crate::core::GateState;
use crate::core::RunningRequest;
use crate::core::window_id;
use crate::grants::UnitVerdict;
use crate::refusals;

/// Weight of a new answer in the moving mean of the service time.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// A dispatch wants at most this much of the lease left, in milliseconds.
const MAX_RESERVE_MS: f64 = 250.0;

impl GateState {
    /// Sends as many waiting requests as the backend server bears.
    pub(crate) fn dispatch(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        while self.backend == BackendState::Serving && self.in_flight() < self.limit() {
            let (ledger, lease) = (&self.ledger, self.lease);
            let reserve_ms = self.mean_ms.min(MAX_RESERVE_MS) as u64;
            let is_ready = |arrival: &Arrival| {
                let Some(unit) = arrival.unit else {
                    return true;
                };
                now.plus(reserve_ms) < lease && ledger.serve_from(unit) <= now
            };
            let Some(arrival) = self.queue.pop_ready(is_ready) else {
                return;
            };
            if now.plus(self.mean_ms as u64) >= arrival.deadline {
                self.refuse_waiting(vec![arrival], refusals::late, actions);
                continue;
            }
            actions.push(self.send(now, arrival));
        }
    }

    /// Sends one request.
    fn send(&mut self, now: Millis, arrival: Arrival) -> GateAction {
        let fence = arrival.unit.and_then(|unit| self.ledger.fence(unit));
        let deadline = match arrival.unit {
            Some(_) => arrival.deadline.min(self.lease),
            None => arrival.deadline,
        };
        let ticket = arrival.ticket;
        let running = RunningRequest {
            arrival,
            sent: now,
            deadline,
            epoch: self.ramp.epoch(),
            cancelled: false,
        };
        self.running.insert(ticket, running);
        GateAction::Dispatch {
            ticket,
            fence,
            deadline,
        }
    }

    /// Takes the end of a dispatched request.
    pub(crate) fn ended(
        &mut self,
        now: Millis,
        ticket: u64,
        end: DispatchOutcome,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        if end == DispatchOutcome::Unknown && now < running.deadline {
            self.linger(&running);
        } else {
            self.close(running.arrival.unit);
        }
        let refusal = match end {
            DispatchOutcome::Answered { shed: true, .. } => {
                self.ramp.shed(now);
                self.withdraw(&running.arrival);
                Some(refusals::shed())
            }
            DispatchOutcome::Answered { answer, .. } => {
                self.observe(now, &running);
                if let Some(id) = window_id(&running.arrival) {
                    self.window.finish(now, id, answer);
                }
                None
            }
            DispatchOutcome::NotSent => {
                self.ramp.suspect_restart(now);
                self.withdraw(&running.arrival);
                Some(refusals::no_backend())
            }
            DispatchOutcome::Unknown => Some(self.lost(now, &running)),
        };
        if let Some(refusal) = refusal {
            actions.push(GateAction::Refuse { ticket, refusal });
        }
    }

    /// Keeps a unit busy until a request without an answer must have been stopped.
    fn linger(&mut self, running: &RunningRequest) {
        if let Some(unit) = running.arrival.unit {
            let key = (running.deadline, running.arrival.ticket);
            self.lingering.insert(key, unit);
        }
    }

    /// Takes a request without a whole answer. One that broke before its deadline tells that the
    /// backend server may have restarted.
    fn lost(&mut self, now: Millis, running: &RunningRequest) -> Refusal {
        let is_break = now < running.deadline && !running.cancelled;
        if is_break && running.epoch == self.ramp.epoch() {
            self.ramp.suspect_restart(now);
        }
        if let Some(id) = window_id(&running.arrival) {
            self.window.finish(now, id, None);
        }
        refusals::no_answer()
    }

    /// Learns from the time of an answer.
    fn observe(&mut self, now: Millis, running: &RunningRequest) {
        let service_ms = now.since(running.sent);
        self.ramp.answered(now, running.epoch, service_ms);
        self.mean_ms += (service_ms as f64 - self.mean_ms) * MEAN_WEIGHT;
    }

    /// Takes note that a caller no longer waits. Non-idempotent work that was sent goes on, for its
    /// answer is kept.
    pub(crate) fn caller_gone(&mut self, ticket: u64, actions: &mut Vec<GateAction>) {
        if let Some(arrival) = self.queue.remove(ticket) {
            self.close(arrival.unit);
            self.withdraw(&arrival);
            return;
        }
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        if running.arrival.idempotent && !running.cancelled {
            running.cancelled = true;
            actions.push(GateAction::Cancel { ticket });
        }
    }

    /// Refuses what waited past its deadline, and stops everything owned when the lease lapses.
    pub(crate) fn expire(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        self.ledger.pass(now);
        while let Some(((until, _), unit)) = self.lingering.first_key_value() {
            if *until > now {
                break;
            }
            let unit = *unit;
            self.lingering.pop_first();
            self.close(Some(unit));
        }
        if now >= self.lease && !self.open.is_empty() {
            let waiting = self.queue.take_matching(|arrival| arrival.unit.is_some());
            self.refuse_waiting(waiting, refusals::lease_lapsed, actions);
            for running in self.running.values_mut() {
                if running.arrival.unit.is_some() && !running.cancelled {
                    running.cancelled = true;
                    let ticket = running.arrival.ticket;
                    actions.push(GateAction::Cancel { ticket });
                }
            }
        }
        if self
            .queue
            .first_deadline()
            .is_some_and(|first| first <= now)
        {
            let waiting = self.queue.take_matching(|arrival| arrival.deadline <= now);
            self.refuse_waiting(waiting, refusals::late, actions);
        }
    }

    /// Whether a unit may be admitted; for the agent's status.
    #[must_use]
    pub fn serves(&self, now: Millis, unit: jy_types::key::Unit) -> bool {
        let is_owned = matches!(self.ledger.verdict(unit), UnitVerdict::Owned { .. });
        is_owned && now < self.lease
    }
}
