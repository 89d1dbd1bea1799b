//! Gateways and gates of the policy trials.

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
    /// The gateway that a request reaches.
    pub(crate) fn gateway_of(&self, request: usize) -> usize {
        request % self.scenario.endpoints
    }

    /// Sends an attempt to a gate.
    pub(crate) fn send(&mut self, request: usize, attempt: u32, gate: usize) {
        self.requests[request].sends += 1;
        let job = self.next_job;
        self.next_job += 1;
        let end = None;
        let sent = AttemptJob {
            request,
            attempt,
            gate,
            end,
        };
        self.jobs.insert(job, sent);
        let hop = self.hop(request, gate);
        self.push(self.now.plus(hop), ModelEvent::AtGate(job));
    }

    /// Time between a request's gateway and a gate.
    pub(crate) fn hop(&self, request: usize, gate: usize) -> u64 {
        if self.gateway_of(request) == gate {
            0
        } else {
            HOP_MS
        }
    }

    /// An attempt reaches its gate.
    pub(crate) fn at_gate(&mut self, job: u64) {
        let Some(sent) = self.jobs.get(&job).cloned() else {
            return;
        };
        if !self.scenario.policy {
            self.start(sent.gate, job);
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
            received: WallMillis(request.arrived.0),
        };
        self.gate(sent.gate, GateEvent::Arrive(arrival));
    }

    /// A gateway's cancellation reaches the gate.
    pub(crate) fn cancel_at_gate(&mut self, job: u64) {
        if let Some(sent) = self.jobs.get(&job) {
            let gate = sent.gate;
            self.gate(gate, GateEvent::CallerGone { ticket: job });
        }
    }

    /// Tells the gateway how an attempt ended.
    pub(crate) fn reply(&mut self, job: u64, end: AttemptOutcome) {
        let Some(sent) = self.jobs.get_mut(&job) else {
            return;
        };
        sent.end = Some(end);
        let (request, gate) = (sent.request, sent.gate);
        let hop = self.hop(request, gate);
        self.push(self.now.plus(hop), ModelEvent::AtGateway(job));
    }

    /// The end of an attempt reaches the gateway.
    pub(crate) fn at_gateway(&mut self, job: u64) {
        let Some(sent) = self.jobs.remove(&job) else {
            return;
        };
        let Some(end) = sent.end else {
            return;
        };
        if !self.scenario.policy {
            self.baseline_ended(sent.request, &end);
            return;
        }
        let event = RouteEvent::Ended {
            ticket: sent.request as u64,
            attempt: sent.attempt,
            end,
            load: Some(self.reported_loads[sent.gate]),
        };
        self.route(self.gateway_of(sent.request), event);
    }

    /// Steps a gateway.
    pub(crate) fn route(&mut self, number: usize, event: RouteEvent) {
        let Some(state) = self.gateways[number].take() else {
            return;
        };
        let begun = Instant::now();
        let (state, actions) = state.step(self.now, event);
        self.route_cost.nanos += begun.elapsed().as_nanos() as u64;
        self.route_cost.steps += 1;
        let tick = state.next_tick();
        self.gateways[number] = Some(state);
        if tick < self.gateway_due[number] {
            self.gateway_due[number] = tick.max(self.now.plus(1));
            self.push(self.gateway_due[number], ModelEvent::GatewayTick(number));
        }
        for action in actions {
            self.route_action(action);
        }
    }

    /// Does what a gateway wants.
    pub(crate) fn route_action(&mut self, action: RouteAction) {
        match action {
            RouteAction::Send {
                ticket,
                attempt,
                to,
                ..
            } => {
                let gate = self.names[&to];
                self.send(ticket as usize, attempt, gate);
            }
            RouteAction::Cancel { ticket, attempt } => {
                let is_it =
                    |sent: &AttemptJob| sent.request == ticket as usize && sent.attempt == attempt;
                let found = self.jobs.iter().find(|(_, sent)| is_it(sent));
                if let Some((job, sent)) = found.map(|(job, sent)| (*job, sent.clone())) {
                    let at = self.now.plus(self.hop(sent.request, sent.gate));
                    self.push(at, ModelEvent::CancelAtGate(job));
                }
            }
            RouteAction::Finish { ticket, .. } => {
                self.finish(ticket as usize, CallerOutcome::Answered);
            }
            RouteAction::Refuse { ticket, refusal } => {
                let outcome = CallerOutcome::Refused(refusal.kind, refusal.ran);
                self.finish(ticket as usize, outcome);
            }
            RouteAction::Pull => {}
        }
    }

    /// Steps a gate.
    pub(crate) fn gate(&mut self, number: usize, event: GateEvent) {
        let Some(state) = self.gates[number].take() else {
            return;
        };
        if number == 0 && self.scenario.records {
            self.recorded
                .push((self.now, GateTraceEvent::Only(event.clone())));
        }
        let begun = Instant::now();
        let (state, actions) = state.step(self.now, event);
        self.gate_cost.nanos += begun.elapsed().as_nanos() as u64;
        self.gate_cost.steps += 1;
        let tick = state.next_tick();
        let is_warm = state.limit() >= self.scenario.slots;
        self.gates[number] = Some(state);
        let is_after = self
            .scenario
            .restarts
            .iter()
            .any(|(at, gate)| *gate == number && *at < self.now);
        let since = self.warm_again[number];
        self.warm_again[number] = (is_warm && is_after).then(|| since.unwrap_or(self.now));
        if tick < self.gate_due[number] {
            self.gate_due[number] = tick.max(self.now.plus(1));
            self.push(self.gate_due[number], ModelEvent::GateTick(number));
        }
        for action in actions {
            self.gate_action(number, action);
        }
    }

    /// Does what a gate wants.
    pub(crate) fn gate_action(&mut self, number: usize, action: GateAction) {
        match action {
            GateAction::Dispatch { ticket, .. } => self.start(number, ticket),
            GateAction::Refuse { ticket, refusal } => {
                let (kind, ran) = (refusal.kind, refusal.ran);
                self.reply(ticket, AttemptOutcome::Refused { kind, ran });
            }
            GateAction::Cancel { ticket } => {
                self.backends[number].cancel(ticket);
                self.gate(
                    number,
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
