//! Gateways and gates in the simulation of the policy trials.

use std::time::Instant;

use jy_gate::api::Arrival;
use jy_gate::api::DispatchOutcome;
use jy_gate::api::GateAction;
use jy_gate::api::GateEvent;
use jy_gate::replay::GateTraceEvent;
use jy_route::api::AttemptOutcome;
use jy_route::api::RouteAction;
use jy_route::api::RouteEvent;
use jy_types::time::WallMillis;

use crate::policy_model::AttemptJob;
use crate::policy_model::CallerOutcome;
use crate::policy_model::HOP_MS;
use crate::policy_model::ModelEvent;
use crate::policy_model::PolicyModel;

impl PolicyModel {
    /// Returns the gateway that receives a caller's request.
    pub(crate) fn gateway_of(&self, request: usize) -> usize {
        request % self.scenario.endpoints
    }

    pub(crate) fn send_attempt(&mut self, request: usize, attempt: u32, gate: usize) {
        self.requests[request].sends += 1;
        let job = self.next_job;
        self.next_job += 1;
        let attempt_outcome = None;
        let sent = AttemptJob {
            request,
            attempt,
            gate,
            attempt_outcome,
        };
        self.jobs.insert(job, sent);
        let hop_ms = self.hop_delay_ms(request, gate);
        self.schedule(self.now.plus(hop_ms), ModelEvent::AttemptAtGate(job));
    }

    /// Returns the one-way delay between a request's gateway and a gate: none if both are on one agent.
    pub(crate) fn hop_delay_ms(&self, request: usize, gate: usize) -> u64 {
        if self.gateway_of(request) == gate {
            0
        } else {
            HOP_MS
        }
    }

    /// Gives an attempt to its gate, or, in the baseline, directly to the backend server.
    pub(crate) fn receive_at_gate(&mut self, job: u64) {
        let Some(sent) = self.jobs.get(&job).cloned() else {
            return;
        };
        if !self.scenario.uses_policy {
            self.start_job(sent.gate, job);
            return;
        }
        let request = &self.requests[sent.request];
        let arrival = Arrival {
            ticket: job,
            unit: None,
            idempotent: request.idempotent,
            idempotency_key: None,
            digest: 1,
            urgency: request.urgency,
            deadline: request.deadline,
            received: WallMillis(request.arrived_at.0),
        };
        self.step_gate(sent.gate, GateEvent::Arrive(arrival));
    }

    /// Cancels an attempt at its gate, if it is still in flight.
    pub(crate) fn cancel_at_gate(&mut self, job: u64) {
        if let Some(sent) = self.jobs.get(&job) {
            let gate = sent.gate;
            self.step_gate(gate, GateEvent::CallerGone { ticket: job });
        }
    }

    /// Sends the outcome of an attempt back to its gateway.
    pub(crate) fn reply(&mut self, job: u64, attempt_outcome: AttemptOutcome) {
        let Some(sent) = self.jobs.get_mut(&job) else {
            return;
        };
        sent.attempt_outcome = Some(attempt_outcome);
        let (request, gate) = (sent.request, sent.gate);
        let hop_ms = self.hop_delay_ms(request, gate);
        self.schedule(self.now.plus(hop_ms), ModelEvent::OutcomeAtGateway(job));
    }

    /// Gives the outcome of an attempt to its gateway.
    pub(crate) fn receive_outcome_at_gateway(&mut self, job: u64) {
        let Some(sent) = self.jobs.remove(&job) else {
            return;
        };
        let Some(attempt_outcome) = sent.attempt_outcome else {
            return;
        };
        if !self.scenario.uses_policy {
            self.finish_baseline_attempt(sent.request, &attempt_outcome);
            return;
        }
        let event = RouteEvent::Ended {
            ticket: sent.request as u64,
            attempt: sent.attempt,
            end: attempt_outcome,
            load: Some(self.reported_loads[sent.gate]),
        };
        self.step_gateway(self.gateway_of(sent.request), event);
    }

    /// Steps a gateway, applies its actions and schedules its next tick.
    pub(crate) fn step_gateway(&mut self, endpoint: usize, event: RouteEvent) {
        let Some(state) = self.gateways[endpoint].take() else {
            return;
        };
        let started = Instant::now();
        let (state, actions) = state.step(self.now, event);
        self.gateway_cost.nanos += started.elapsed().as_nanos() as u64;
        self.gateway_cost.steps += 1;
        let tick = state.next_tick();
        self.gateways[endpoint] = Some(state);
        if tick < self.gateway_tick_at[endpoint] {
            self.gateway_tick_at[endpoint] = tick.max(self.now.plus(1));
            self.schedule(
                self.gateway_tick_at[endpoint],
                ModelEvent::GatewayTick(endpoint),
            );
        }
        for action in actions {
            self.apply_gateway_action(action);
        }
    }

    pub(crate) fn apply_gateway_action(&mut self, action: RouteAction) {
        match action {
            RouteAction::Send {
                ticket,
                attempt,
                to,
                ..
            } => {
                let gate = self.endpoint_by_agent[&to];
                self.send_attempt(ticket as usize, attempt, gate);
            }
            RouteAction::Cancel { ticket, attempt } => {
                let is_cancelled =
                    |sent: &AttemptJob| sent.request == ticket as usize && sent.attempt == attempt;
                let found = self.jobs.iter().find(|(_, sent)| is_cancelled(sent));
                if let Some((job, sent)) = found.map(|(job, sent)| (*job, sent.clone())) {
                    let at = self.now.plus(self.hop_delay_ms(sent.request, sent.gate));
                    self.schedule(at, ModelEvent::CancelAtGate(job));
                }
            }
            RouteAction::Finish { ticket, .. } => {
                self.complete_request(ticket as usize, CallerOutcome::Answered);
            }
            RouteAction::Refuse { ticket, refusal } => {
                let outcome = CallerOutcome::Refused(refusal.kind, refusal.ran);
                self.complete_request(ticket as usize, outcome);
            }
            RouteAction::Pull => {}
        }
    }

    /// Steps a gate, applies its actions and schedules its next tick.
    pub(crate) fn step_gate(&mut self, endpoint: usize, event: GateEvent) {
        let Some(state) = self.gates[endpoint].take() else {
            return;
        };
        if endpoint == 0 && self.scenario.records_trace {
            self.recorded_events
                .push((self.now, GateTraceEvent::Only(event.clone())));
        }
        let started = Instant::now();
        let (state, actions) = state.step(self.now, event);
        self.gate_cost.nanos += started.elapsed().as_nanos() as u64;
        self.gate_cost.steps += 1;
        let tick = state.next_tick();
        let is_warm = state.limit() >= self.scenario.slots;
        self.gates[endpoint] = Some(state);
        let has_restarted = self
            .scenario
            .restarts
            .iter()
            .any(|(at, gate)| *gate == endpoint && *at < self.now);
        let warm_since = self.warm_since[endpoint];
        self.warm_since[endpoint] =
            (is_warm && has_restarted).then(|| warm_since.unwrap_or(self.now));
        if tick < self.gate_tick_at[endpoint] {
            self.gate_tick_at[endpoint] = tick.max(self.now.plus(1));
            self.schedule(self.gate_tick_at[endpoint], ModelEvent::GateTick(endpoint));
        }
        for action in actions {
            self.apply_gate_action(endpoint, action);
        }
    }

    pub(crate) fn apply_gate_action(&mut self, endpoint: usize, action: GateAction) {
        match action {
            GateAction::Dispatch { ticket, .. } => self.start_job(endpoint, ticket),
            GateAction::Refuse { ticket, refusal } => {
                let (kind, ran) = (refusal.kind, refusal.ran);
                self.reply(ticket, AttemptOutcome::Refused { kind, ran });
            }
            GateAction::Cancel { ticket } => {
                self.backends[endpoint].cancel(ticket);
                self.step_gate(
                    endpoint,
                    GateEvent::Ended {
                        ticket,
                        end: DispatchOutcome::Unknown,
                    },
                );
            }
            GateAction::Replay { .. } | GateAction::Release { .. } => {}
        }
    }
}
