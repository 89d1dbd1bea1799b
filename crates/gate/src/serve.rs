//! Dispatch to the backend server, and outcomes of dispatched requests.

use jy_types::request::Refusal;
use jy_types::time::Millis;

use crate::api::Arrival;
use crate::api::DispatchOutcome;
use crate::api::GateAction;
use crate::core::BackendState;
use crate::core::GateState;
use crate::core::RunningRequest;
use crate::core::window_id;
use crate::grants::UnitStatus;
use crate::refusals;

/// Weight of a new answer in the exponential moving average of the service time.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Upper limit of the remaining lease time that a dispatch requires, in milliseconds.
const MAX_LEASE_RESERVE_MS: f64 = 250.0;

impl GateState {
    /// Dispatches ready requests up to the concurrency limit, and refuses those whose expected end is past
    /// their deadline.
    pub(crate) fn dispatch(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        while self.backend == BackendState::Serving && self.in_flight() < self.limit() {
            let (owned_grants, lease_end) = (&self.owned_grants, self.lease_end);
            let lease_reserve_ms = self.mean_service_ms.min(MAX_LEASE_RESERVE_MS) as u64;
            let is_ready = |arrival: &Arrival| {
                let Some(unit) = arrival.unit else {
                    return true;
                };
                now.plus(lease_reserve_ms) < lease_end && owned_grants.serve_from(unit) <= now
            };
            let Some(arrival) = self.queue.pop_ready(is_ready) else {
                return;
            };
            if now.plus(self.mean_service_ms as u64) >= arrival.deadline {
                self.refuse_waiting(vec![arrival], refusals::late, actions);
                continue;
            }
            actions.push(self.send(now, arrival));
        }
    }

    /// Marks a request as running and returns its dispatch.
    ///
    /// The deadline of a request for a unit is not later than the end of the lease.
    fn send(&mut self, now: Millis, arrival: Arrival) -> GateAction {
        let fence = arrival.unit.and_then(|unit| self.owned_grants.fence(unit));
        let deadline = match arrival.unit {
            Some(_) => arrival.deadline.min(self.lease_end),
            None => arrival.deadline,
        };
        let ticket = arrival.ticket;
        let running = RunningRequest {
            arrival,
            sent_at: now,
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

    /// Handles the end of a dispatched request.
    pub(crate) fn ended(
        &mut self,
        now: Millis,
        ticket: u64,
        outcome: DispatchOutcome,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        if outcome == DispatchOutcome::Unknown && now < running.deadline {
            self.keep_unit_busy(&running);
        } else {
            self.close_request(running.arrival.unit);
        }
        let refusal = match outcome {
            DispatchOutcome::Answered { shed: true, .. } => {
                self.ramp.shed(now);
                self.forget_id(&running.arrival);
                Some(refusals::shed())
            }
            DispatchOutcome::Answered { answer, .. } => {
                self.record_service_time(now, &running);
                if let Some(id) = window_id(&running.arrival) {
                    self.window.finish(now, id, answer);
                }
                None
            }
            DispatchOutcome::NotSent => {
                self.ramp.suspect_restart(now);
                self.forget_id(&running.arrival);
                Some(refusals::no_backend())
            }
            DispatchOutcome::Unknown => Some(self.record_unknown_outcome(now, &running)),
        };
        if let Some(refusal) = refusal {
            actions.push(GateAction::Refuse { ticket, refusal });
        }
    }

    /// Keeps a unit busy until the deadline of a request without an answer, by which the backend server must
    /// have stopped it.
    fn keep_unit_busy(&mut self, running: &RunningRequest) {
        if let Some(unit) = running.arrival.unit {
            let key = (running.deadline, running.arrival.ticket);
            self.maybe_running.insert(key, unit);
        }
    }

    /// Records a request that ended without a complete answer.
    ///
    /// If it broke off before its deadline and was not cancelled, the backend server may have restarted.
    fn record_unknown_outcome(&mut self, now: Millis, running: &RunningRequest) -> Refusal {
        let is_broken = now < running.deadline && !running.cancelled;
        if is_broken && running.epoch == self.ramp.epoch() {
            self.ramp.suspect_restart(now);
        }
        if let Some(id) = window_id(&running.arrival) {
            self.window.finish(now, id, None);
        }
        refusals::no_answer()
    }

    /// Updates the ramp and the mean service time from an answer.
    fn record_service_time(&mut self, now: Millis, running: &RunningRequest) {
        let service_ms = now.since(running.sent_at);
        self.ramp.answered(now, running.epoch, service_ms);
        self.mean_service_ms += (service_ms as f64 - self.mean_service_ms) * MEAN_WEIGHT;
    }

    /// Handles a caller that no longer waits.
    ///
    /// A dispatched non-idempotent request is not cancelled, because its answer is kept for repeats.
    pub(crate) fn caller_gone(&mut self, ticket: u64, actions: &mut Vec<GateAction>) {
        if let Some(arrival) = self.queue.remove(ticket) {
            self.close_request(arrival.unit);
            self.forget_id(&arrival);
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

    /// Refuses waiting requests past their deadline, and refuses or cancels all requests for units after the
    /// lease has lapsed.
    pub(crate) fn expire(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        self.owned_grants.drop_passed_starts(now);
        while let Some(((until, _), unit)) = self.maybe_running.first_key_value() {
            if *until > now {
                break;
            }
            let unit = *unit;
            self.maybe_running.pop_first();
            self.close_request(Some(unit));
        }
        if now >= self.lease_end && !self.open_requests.is_empty() {
            let expired = self.queue.take_matching(|arrival| arrival.unit.is_some());
            self.refuse_waiting(expired, refusals::lease_lapsed, actions);
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
            let expired = self.queue.take_matching(|arrival| arrival.deadline <= now);
            self.refuse_waiting(expired, refusals::late, actions);
        }
    }

    /// Whether requests for a unit may be admitted; used for the agent's status.
    #[must_use]
    pub fn serves(&self, now: Millis, unit: jy_types::key::Unit) -> bool {
        let is_owned = matches!(self.owned_grants.status(unit), UnitStatus::Owned { .. });
        is_owned && now < self.lease_end
    }
}
