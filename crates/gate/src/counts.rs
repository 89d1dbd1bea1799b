//! Counts of a replay: actions of the gates, and violations of their guarantees.

use std::collections::BTreeMap;

use jy_kernel::trace::FigureMap;
use jy_types::key::Unit;
use jy_types::name::Name;
use jy_types::peer::StoredAnswer;
use jy_types::request::RunState;
use jy_types::time::Millis;

use crate::api::Arrival;
use crate::api::BackendEvent;
use crate::api::DispatchOutcome;
use crate::api::GateAction;
use crate::api::GateEvent;

/// Key of a request: gate and ticket.
type RequestKey = (Name, u64);

/// Figures that are reported even when they are zero, so that every expected outcome can bound them.
const ALWAYS_REPORTED: [&str; 12] = [
    "arrived",
    "dispatched",
    "answered",
    "refused",
    "replayed",
    "double_runs",
    "false_not_run",
    "foreign_answers",
    "dispatched_past_lease",
    "run_past_lease",
    "overlapping_runs",
    "overruns",
];

/// State of one request in the trace.
#[derive(Debug)]
struct RequestRecord {
    arrival: Arrival,
    dispatch: Option<DispatchRecord>,
    maybe_ran: bool,
}

/// State of the dispatch of a request.
#[derive(Clone, Copy, Debug)]
struct DispatchRecord {
    /// Start number of the backend server at the dispatch.
    start_number: u64,
    open: bool,
    cancelled: bool,
}

/// State of the backend server of one gate.
#[derive(Debug, Default)]
struct BackendRecord {
    start_stamp: Option<u64>,
    /// Whether the backend server restarted and has not announced its new process.
    awaits_announcement: bool,
    start_number: u64,
    slots: u32,
    answers: u32,
    in_flight: u32,
}

impl BackendRecord {
    /// Begins a cold start with no request in flight.
    const fn restart(&mut self) {
        self.start_number += 1;
        self.answers = 0;
        self.in_flight = 0;
    }
}

/// Counts over all gates of a trace, with the state needed to find violations.
#[derive(Debug)]
pub(crate) struct ReplayCounts {
    cold_answers: Option<u32>,
    counts: FigureMap,
    requests: BTreeMap<RequestKey, RequestRecord>,
    /// Dispatches of each id of a non-idempotent request that may have run.
    runs: BTreeMap<Name, u32>,
    /// Recorded answers by id and digest.
    answers: BTreeMap<(Name, u64), StoredAnswer>,
    lease_ends: BTreeMap<Name, Millis>,
    backends: BTreeMap<Name, BackendRecord>,
    /// Gate that last dispatched a request for a unit, and the time until which the request may run.
    busy_until: BTreeMap<Unit, (Name, Millis)>,
}

impl ReplayCounts {
    /// Creates counts in which all reported figures are zero.
    pub(crate) fn new(cold_answers: Option<u32>) -> Self {
        let counts = ALWAYS_REPORTED
            .iter()
            .map(|name| ((*name).into(), 0.0))
            .collect();
        Self {
            cold_answers,
            counts,
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            lease_ends: BTreeMap::new(),
            backends: BTreeMap::new(),
            busy_until: BTreeMap::new(),
        }
    }

    pub(crate) fn figures(self) -> FigureMap {
        self.counts
    }

    fn increment(&mut self, name: &str) {
        *self.counts.entry(name.into()).or_default() += 1.0;
    }

    /// Records that a gate was killed.
    ///
    /// Requests that it had sent may have run, so their runs stay counted, and its backend server keeps
    /// running.
    pub(crate) fn record_killed(&mut self, gate: &Name) {
        self.lease_ends.remove(gate);
        self.requests.retain(|(name, _), _| name != gate);
        if let Some(backend) = self.backends.get_mut(gate) {
            backend.in_flight = 0;
        }
    }

    /// Records an event before the gate handles it.
    pub(crate) fn record_event(&mut self, at: Millis, gate: &Name, event: &GateEvent) {
        match event {
            GateEvent::Arrive(arrival) => {
                self.increment("arrived");
                let request = RequestRecord {
                    arrival: arrival.clone(),
                    dispatch: None,
                    maybe_ran: false,
                };
                self.requests
                    .insert((gate.clone(), arrival.ticket), request);
            }
            GateEvent::Lease { until } => {
                self.lease_ends.insert(gate.clone(), *until);
            }
            GateEvent::Ended { ticket, end } => self.record_end(at, gate, *ticket, end),
            GateEvent::Backend(change) => self.record_backend_event(gate, change),
            _ => {}
        }
    }

    /// Records the end of a dispatch as stated in the trace, before a broken rule changes it.
    fn record_end(&mut self, at: Millis, gate: &Name, ticket: u64, outcome: &DispatchOutcome) {
        let Some(request) = self.requests.get_mut(&(gate.clone(), ticket)) else {
            return;
        };
        let Some(dispatch) = request.dispatch.as_mut().filter(|dispatch| dispatch.open) else {
            return;
        };
        dispatch.open = false;
        let backend = self.backends.entry(gate.clone()).or_default();
        let is_same_start = backend.start_number == dispatch.start_number;
        if is_same_start {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        let id = request.arrival.idempotency_key.clone();
        let shed = matches!(outcome, DispatchOutcome::Answered { shed: true, .. });
        if shed || *outcome == DispatchOutcome::NotSent {
            request.maybe_ran = false;
            if let Some(runs) = id.and_then(|id| self.runs.get_mut(&id)) {
                *runs -= 1;
            }
            return;
        }
        if let DispatchOutcome::Answered { answer, .. } = outcome {
            if is_same_start {
                backend.answers += 1;
            }
            if let (Some(id), Some(answer)) = (id, answer) {
                self.answers
                    .insert((id, request.arrival.digest), answer.clone());
            }
            if let Some(unit) = request.arrival.unit {
                let idle_from = (gate.clone(), at);
                self.busy_until.insert(unit, idle_from);
            }
            self.increment("answered");
        }
    }

    /// Records a change of the backend server; a new start stamp means a new process.
    fn record_backend_event(&mut self, gate: &Name, change: &BackendEvent) {
        let BackendEvent::Announced {
            start_stamp, slots, ..
        } = change
        else {
            return;
        };
        let backend = self.backends.entry(gate.clone()).or_default();
        backend.slots = *slots;
        let is_new = backend.start_stamp.replace(*start_stamp) != Some(*start_stamp);
        if is_new && !std::mem::take(&mut backend.awaits_announcement) {
            backend.restart();
        }
    }

    /// Records that the backend server of a gate restarted.
    pub(crate) fn record_restarted(&mut self, gate: &Name) {
        let backend = self.backends.entry(gate.clone()).or_default();
        backend.restart();
        backend.awaits_announcement = true;
    }

    /// Records an action of a gate.
    pub(crate) fn record_action(&mut self, at: Millis, gate: &Name, action: &GateAction) {
        match action {
            GateAction::Dispatch {
                ticket, deadline, ..
            } => self.record_dispatch(at, gate, *ticket, *deadline),
            GateAction::Refuse { ticket, refusal } => {
                self.increment("refused");
                self.increment(&format!("refused_{}", refusal.kind.name()));
                let request = self.requests.get(&(gate.clone(), *ticket));
                if refusal.ran == RunState::No && request.is_some_and(|request| request.maybe_ran) {
                    self.increment("false_not_run");
                }
            }
            GateAction::Replay { ticket, answer } => self.check_replay(gate, *ticket, answer),
            GateAction::Cancel { ticket } => {
                self.increment("cancelled");
                let request = self.requests.get_mut(&(gate.clone(), *ticket));
                if let Some(dispatch) = request.and_then(|request| request.dispatch.as_mut()) {
                    dispatch.cancelled = true;
                }
            }
            GateAction::Release { units, entries } => {
                let busy = units.iter().filter(|unit| self.is_busy(at, unit));
                *self.counts.entry("released_busy".into()).or_default() += busy.count() as f64;
                *self.counts.entry("released".into()).or_default() += units.len() as f64;
                *self.counts.entry("handed_over".into()).or_default() += entries.len() as f64;
            }
        }
    }

    /// Records a dispatch and counts overruns of the cold-start limit and second runs of an id.
    fn record_dispatch(&mut self, at: Millis, gate: &Name, ticket: u64, deadline: Millis) {
        self.increment("dispatched");
        let backend = self.backends.entry(gate.clone()).or_default();
        backend.in_flight += 1;
        let start_number = backend.start_number;
        let is_overrun = self.cold_answers.is_some_and(|answers| {
            let concurrency_limit = 1 + backend.answers / answers.max(1);
            backend.in_flight > concurrency_limit.min(backend.slots)
        });
        let Some(request) = self.requests.get_mut(&(gate.clone(), ticket)) else {
            return;
        };
        request.maybe_ran = true;
        request.dispatch = Some(DispatchRecord {
            start_number,
            open: true,
            cancelled: false,
        });
        let (unit, id) = (
            request.arrival.unit,
            request.arrival.idempotency_key.clone(),
        );
        let id = id.filter(|_| !request.arrival.idempotent);
        if is_overrun {
            self.increment("overruns");
        }
        if let Some(id) = id {
            let runs = self.runs.entry(id).or_default();
            *runs += 1;
            if *runs > 1 {
                self.increment("double_runs");
            }
        }
        if let Some(unit) = unit {
            self.check_ownership(at, gate, unit, deadline);
        }
    }

    /// Checks a dispatch for a unit against the lease and against runs of other owners.
    fn check_ownership(&mut self, at: Millis, gate: &Name, unit: Unit, deadline: Millis) {
        let lease_end = self.lease_ends.get(gate).copied().unwrap_or_default();
        if at >= lease_end || deadline > lease_end {
            self.increment("dispatched_past_lease");
        }
        let last = self.busy_until.insert(unit, (gate.clone(), deadline));
        let overlaps = last.is_some_and(|(other, until)| other != *gate && until > at);
        if overlaps {
            self.increment("overlapping_runs");
        }
    }

    /// Whether a request for a unit may still be running at the backend server.
    fn is_busy(&self, at: Millis, unit: &Unit) -> bool {
        self.busy_until
            .get(unit)
            .is_some_and(|(_, until)| *until > at)
    }

    /// Compares a replayed answer with the recorded answer of its id.
    fn check_replay(&mut self, gate: &Name, ticket: u64, answer: &StoredAnswer) {
        self.increment("replayed");
        let Some(request) = self.requests.get(&(gate.clone(), ticket)) else {
            return;
        };
        let id = request.arrival.idempotency_key.clone().unwrap_or_default();
        let recorded = self.answers.get(&(id, request.arrival.digest));
        if recorded != Some(answer) {
            self.increment("foreign_answers");
        }
    }

    /// Counts requests for units that are neither ended nor cancelled after the end of the lease.
    pub(crate) fn check_lease_end(&mut self, at: Millis, gate: &Name) {
        let lease_end = self.lease_ends.get(gate).copied().unwrap_or_default();
        if at < lease_end {
            return;
        }
        let mut overdue = 0;
        for ((name, _), request) in &mut self.requests {
            let Some(dispatch) = request.dispatch.as_mut() else {
                continue;
            };
            let is_running = dispatch.open && !dispatch.cancelled;
            if name == gate && request.arrival.unit.is_some() && is_running {
                dispatch.cancelled = true;
                overdue += 1;
            }
        }
        for _ in 0..overdue {
            self.increment("run_past_lease");
        }
    }
}
