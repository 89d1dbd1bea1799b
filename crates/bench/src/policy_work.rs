//! Backend servers of the policy trials, and the baseline that sends to them without a policy.

use jy_gate::api::BackendEvent;
use jy_gate::api::DispatchOutcome;
use jy_gate::api::GateEvent;
use jy_gate::replay::GateTraceEvent;
use jy_gate::replay::ONLY_GATE;
use jy_route::api::AttemptOutcome;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use rand_distr::Distribution;

use crate::policy_backend::StartOutcome;
use crate::policy_model::ANNOUNCE_MS;
use crate::policy_model::BASELINE_ATTEMPTS;
use crate::policy_model::CallerOutcome;
use crate::policy_model::ModelEvent;
use crate::policy_model::PolicyModel;
use crate::policy_scenario::RestartKind;

impl PolicyModel {
    /// Sends a request of the baseline to the next endpoint in turn.
    pub(crate) fn baseline_send(&mut self, request: usize) {
        self.next_robin = (self.next_robin + 1) % self.scenario.endpoints;
        let attempt = self.requests[request].sends + 1;
        self.send(request, attempt, self.next_robin);
    }

    /// The backend server takes a request.
    pub(crate) fn start(&mut self, number: usize, job: u64) {
        let backend = &mut self.backends[number];
        if !backend.up {
            self.dispatch_ended(job, DispatchOutcome::NotSent);
            return;
        }
        match backend.start(self.now, job) {
            StartOutcome::Runs => self.run_job(number, job),
            StartOutcome::Waits => {}
            StartOutcome::Overrun => {
                self.crash_backend(number);
                self.dispatch_ended(job, DispatchOutcome::Unknown);
            }
        }
    }

    /// A request begins to run.
    pub(crate) fn run_job(&mut self, number: usize, job: u64) {
        if let Some(sent) = self.jobs.get(&job) {
            self.requests[sent.request].runs += 1;
        }
        let slow = (self.scenario.slowness)(self.now, number);
        let work_ms = (self.work.sample(&mut self.rng) * slow).round().max(1.0);
        self.push(self.now.plus(work_ms as u64), ModelEvent::Done(job));
    }

    /// A request has run.
    pub(crate) fn done(&mut self, job: u64) {
        let Some(sent) = self.jobs.get(&job) else {
            return;
        };
        let gate = sent.gate;
        if !self.backends[gate].running.contains(&job) {
            return;
        }
        if let Some(next) = self.backends[gate].end(job) {
            self.run_job(gate, next);
        }
        let (shed, answer) = (false, None);
        self.dispatch_ended(job, DispatchOutcome::Answered { shed, answer });
    }

    /// A dispatch has ended: the gate and the gateway hear of it.
    pub(crate) fn dispatch_ended(&mut self, job: u64, end: DispatchOutcome) {
        let Some(sent) = self.jobs.get(&job) else {
            return;
        };
        let gate = sent.gate;
        let told = match &end {
            DispatchOutcome::Answered { shed: false, .. } => Some(AttemptOutcome::Answered),
            _ if self.scenario.policy => None,
            DispatchOutcome::Unknown => Some(AttemptOutcome::Unknown),
            _ => Some(AttemptOutcome::NotSent),
        };
        if let Some(told) = told {
            self.reply(job, told);
        }
        if self.scenario.policy {
            self.gate(gate, GateEvent::Ended { ticket: job, end });
        }
    }

    /// The baseline sends again whatever failed.
    pub(crate) fn baseline_ended(&mut self, request: usize, end: &AttemptOutcome) {
        let record = &self.requests[request];
        let is_open = record.end.is_none() && self.now < record.deadline;
        if *end == AttemptOutcome::Answered {
            self.finish(request, CallerOutcome::Answered);
        } else if is_open && record.sends < BASELINE_ATTEMPTS {
            self.baseline_send(request);
        } else {
            let outcome = CallerOutcome::Refused(RefusalKind::NoEndpoint, RunState::Unknown);
            self.finish(request, outcome);
        }
    }

    /// A backend server restarts, or loses its warmth in silence.
    pub(crate) fn restart(&mut self, number: usize) {
        if self.scenario.restart_kind == RestartKind::Silent {
            self.backends[number].cool_down(self.now);
            return;
        }
        self.crash_backend(number);
    }

    /// A backend server's process ends and starts again, cold.
    pub(crate) fn crash_backend(&mut self, number: usize) {
        let lost = self.backends[number].restart(self.now);
        self.backends[number].up = false;
        if number == 0 && self.scenario.records {
            let restarted = ONLY_GATE.into();
            self.recorded
                .push((self.now, GateTraceEvent::Restarted { restarted }));
        }
        self.push(self.now.plus(self.scenario.down_ms), ModelEvent::Up(number));
        for job in lost {
            self.dispatch_ended(job, DispatchOutcome::Unknown);
        }
    }

    /// A backend server announces itself.
    pub(crate) fn announce(&mut self, number: usize) {
        let backend = &self.backends[number];
        if backend.up {
            let says = self.scenario.restart_kind == RestartKind::Announced;
            let notice = BackendEvent::Announced {
                start_stamp: backend.stamp,
                slots: backend.slots,
                cold: says && backend.is_cold(self.now),
                draining: false,
            };
            self.gate(number, GateEvent::Backend(notice));
        }
        self.repeat(ANNOUNCE_MS, ModelEvent::Announce(number));
    }
}
