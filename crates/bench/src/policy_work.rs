//! Backend servers in the simulation of the policy trials, and the baseline that sends to them
//! without a policy.

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
use crate::policy_model::ANNOUNCE_INTERVAL_MS;
use crate::policy_model::CallerOutcome;
use crate::policy_model::MAX_BASELINE_ATTEMPTS;
use crate::policy_model::ModelEvent;
use crate::policy_model::PolicyModel;
use crate::policy_scenario::RestartKind;

impl PolicyModel {
    /// Sends a request of the baseline to the next endpoint in turn.
    pub(crate) fn send_baseline_attempt(&mut self, request: usize) {
        self.last_baseline_endpoint = (self.last_baseline_endpoint + 1) % self.scenario.endpoints;
        let attempt = self.requests[request].sends + 1;
        self.send_attempt(request, attempt, self.last_baseline_endpoint);
    }

    /// Dispatches a job to a backend server, which crashes if the job exceeds its cold-start limit.
    pub(crate) fn start_job(&mut self, endpoint: usize, job: u64) {
        let backend = &mut self.backends[endpoint];
        if !backend.accepts_connections {
            self.report_dispatch_outcome(job, DispatchOutcome::NotSent);
            return;
        }
        match backend.start(self.now, job) {
            StartOutcome::Runs => self.run_job(endpoint, job),
            StartOutcome::Waits => {}
            StartOutcome::Overrun => {
                self.crash_backend(endpoint);
                self.report_dispatch_outcome(job, DispatchOutcome::Unknown);
            }
        }
    }

    /// Counts a run and schedules its end.
    pub(crate) fn run_job(&mut self, endpoint: usize, job: u64) {
        if let Some(sent) = self.jobs.get(&job) {
            self.requests[sent.request].runs += 1;
        }
        let slowdown = (self.scenario.slowdown)(self.now, endpoint);
        let run_ms = (self.run_time.sample(&mut self.rng) * slowdown)
            .round()
            .max(1.0);
        self.schedule(self.now.plus(run_ms as u64), ModelEvent::RunFinished(job));
    }

    /// Ends a job that is still running, and runs the next one in the queue.
    pub(crate) fn finish_job(&mut self, job: u64) {
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
        self.report_dispatch_outcome(job, DispatchOutcome::Answered { shed, answer });
    }

    /// Reports the outcome of a dispatch: in the baseline to the gateway, with the policy to the gate. With
    /// the policy, the gateway gets an answer directly and any other outcome from the gate.
    pub(crate) fn report_dispatch_outcome(&mut self, job: u64, end: DispatchOutcome) {
        let Some(sent) = self.jobs.get(&job) else {
            return;
        };
        let gate = sent.gate;
        let attempt_outcome = match &end {
            DispatchOutcome::Answered { shed: false, .. } => Some(AttemptOutcome::Answered),
            _ if self.scenario.uses_policy => None,
            DispatchOutcome::Unknown => Some(AttemptOutcome::Unknown),
            _ => Some(AttemptOutcome::NotSent),
        };
        if let Some(attempt_outcome) = attempt_outcome {
            self.reply(job, attempt_outcome);
        }
        if self.scenario.uses_policy {
            self.step_gate(gate, GateEvent::Ended { ticket: job, end });
        }
    }

    /// Completes a request of the baseline, or sends it again after any failure.
    pub(crate) fn finish_baseline_attempt(
        &mut self,
        request: usize,
        attempt_outcome: &AttemptOutcome,
    ) {
        let record = &self.requests[request];
        let is_open = record.completion.is_none() && self.now < record.deadline;
        if *attempt_outcome == AttemptOutcome::Answered {
            self.complete_request(request, CallerOutcome::Answered);
        } else if is_open && record.sends < MAX_BASELINE_ATTEMPTS {
            self.send_baseline_attempt(request);
        } else {
            let outcome = CallerOutcome::Refused(RefusalKind::NoEndpoint, RunState::Unknown);
            self.complete_request(request, outcome);
        }
    }

    /// Restarts a backend server, or makes it cold without a restart if the scenario says so.
    pub(crate) fn restart_backend(&mut self, endpoint: usize) {
        if self.scenario.restart_kind == RestartKind::Silent {
            self.backends[endpoint].cool_down(self.now);
            return;
        }
        self.crash_backend(endpoint);
    }

    /// Ends the process of a backend server and schedules the start of a new, cold one.
    pub(crate) fn crash_backend(&mut self, endpoint: usize) {
        let lost = self.backends[endpoint].restart(self.now);
        self.backends[endpoint].accepts_connections = false;
        if endpoint == 0 && self.scenario.records_trace {
            let restarted = ONLY_GATE.into();
            self.recorded_events
                .push((self.now, GateTraceEvent::Restarted { restarted }));
        }
        self.schedule(
            self.now.plus(self.scenario.down_ms),
            ModelEvent::BackendUp(endpoint),
        );
        for job in lost {
            self.report_dispatch_outcome(job, DispatchOutcome::Unknown);
        }
    }

    /// Announces a backend server to its gate, unless the server is down, and schedules the next announcement.
    pub(crate) fn announce_backend(&mut self, endpoint: usize) {
        let backend = &self.backends[endpoint];
        if backend.accepts_connections {
            let announces_cold = self.scenario.restart_kind == RestartKind::Announced;
            let announcement = BackendEvent::Announced {
                start_stamp: backend.start_stamp,
                slots: backend.slots,
                cold: announces_cold && backend.is_cold(self.now),
                draining: false,
            };
            self.step_gate(endpoint, GateEvent::Backend(announcement));
        }
        self.schedule_repeat(ANNOUNCE_INTERVAL_MS, ModelEvent::Announce(endpoint));
    }
}
