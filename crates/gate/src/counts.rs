//! Counts of a replay: what the gates did, and what must never happen.

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

/// A request of a gate: gate and ticket.
type JobKey = (Name, u64);

/// Figures that every outcome may bound, also where they stay zero.
const ALWAYS: [&str; 12] = [
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

/// One request as the trace has it.
#[derive(Debug)]
struct JobRecord {
    arrival: Arrival,
    sent: Option<SentRecord>,
    maybe_ran: bool,
}

/// A dispatch.
#[derive(Clone, Copy, Debug)]
struct SentRecord {
    /// Start of the backend server in which it was sent.
    start: u64,
    open: bool,
    cancelled: bool,
}

/// How cold the backend server of one gate is.
#[derive(Debug, Default)]
struct BackendRecord {
    stamp: Option<u64>,
    /// Whether the new process has not announced itself.
    is_silent: bool,
    start: u64,
    slots: u32,
    answers: u32,
    in_flight: u32,
}

impl BackendRecord {
    /// Begins cold, with nothing in flight.
    const fn restart(&mut self) {
        self.start += 1;
        self.answers = 0;
        self.in_flight = 0;
    }
}

/// Counts over all gates of a trace.
#[derive(Debug)]
pub(crate) struct ReplayCounts {
    cold_answers: Option<u32>,
    counts: FigureMap,
    jobs: BTreeMap<JobKey, JobRecord>,
    runs: BTreeMap<Name, u32>,
    answers: BTreeMap<(Name, u64), StoredAnswer>,
    leases: BTreeMap<Name, Millis>,
    backends: BTreeMap<Name, BackendRecord>,
    occupied: BTreeMap<Unit, (Name, Millis)>,
}

impl ReplayCounts {
    /// Makes empty counts.
    pub(crate) fn new(cold_answers: Option<u32>) -> Self {
        let counts = ALWAYS.iter().map(|name| ((*name).into(), 0.0)).collect();
        Self {
            cold_answers,
            counts,
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            leases: BTreeMap::new(),
            backends: BTreeMap::new(),
            occupied: BTreeMap::new(),
        }
    }

    /// Returns the figures.
    pub(crate) fn figures(self) -> FigureMap {
        self.counts
    }

    /// Adds one to a figure.
    fn count(&mut self, name: &str) {
        *self.counts.entry(name.into()).or_default() += 1.0;
    }

    /// Takes note that a gate was killed: what was sent may have run, and its backend server stays.
    pub(crate) fn killed(&mut self, gate: &Name) {
        self.leases.remove(gate);
        self.jobs.retain(|(name, _), _| name != gate);
        if let Some(backend) = self.backends.get_mut(gate) {
            backend.in_flight = 0;
        }
    }

    /// Takes an event before the gate sees it.
    pub(crate) fn event(&mut self, at: Millis, gate: &Name, event: &GateEvent) {
        match event {
            GateEvent::Arrive(arrival) => {
                self.count("arrived");
                let job = JobRecord {
                    arrival: arrival.clone(),
                    sent: None,
                    maybe_ran: false,
                };
                self.jobs.insert((gate.clone(), arrival.ticket), job);
            }
            GateEvent::Lease { until } => {
                self.leases.insert(gate.clone(), *until);
            }
            GateEvent::Ended { ticket, end } => self.ended(at, gate, *ticket, end),
            GateEvent::Backend(notice) => self.backend(gate, notice),
            _ => {}
        }
    }

    /// Takes the end of a dispatch, as it truly was.
    fn ended(&mut self, at: Millis, gate: &Name, ticket: u64, end: &DispatchOutcome) {
        let Some(job) = self.jobs.get_mut(&(gate.clone(), ticket)) else {
            return;
        };
        let Some(sent) = job.sent.as_mut().filter(|sent| sent.open) else {
            return;
        };
        sent.open = false;
        let backend = self.backends.entry(gate.clone()).or_default();
        let of_this_start = backend.start == sent.start;
        if of_this_start {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        let id = job.arrival.idempotency_key.clone();
        let shed = matches!(end, DispatchOutcome::Answered { shed: true, .. });
        if shed || *end == DispatchOutcome::NotSent {
            job.maybe_ran = false;
            if let Some(runs) = id.and_then(|id| self.runs.get_mut(&id)) {
                *runs -= 1;
            }
            return;
        }
        if let DispatchOutcome::Answered { answer, .. } = end {
            if of_this_start {
                backend.answers += 1;
            }
            if let (Some(id), Some(answer)) = (id, answer) {
                self.answers
                    .insert((id, job.arrival.digest), answer.clone());
            }
            if let Some(unit) = job.arrival.unit {
                let free = (gate.clone(), at);
                self.occupied.insert(unit, free);
            }
            self.count("answered");
        }
    }

    /// Takes news of the backend server: a new start stamp tells a new process.
    fn backend(&mut self, gate: &Name, notice: &BackendEvent) {
        let BackendEvent::Announced {
            start_stamp, slots, ..
        } = notice
        else {
            return;
        };
        let backend = self.backends.entry(gate.clone()).or_default();
        backend.slots = *slots;
        let is_new = backend.stamp.replace(*start_stamp) != Some(*start_stamp);
        if is_new && !std::mem::take(&mut backend.is_silent) {
            backend.restart();
        }
    }

    /// Takes note that the backend server beside a gate started again.
    pub(crate) fn restarted(&mut self, gate: &Name) {
        let backend = self.backends.entry(gate.clone()).or_default();
        backend.restart();
        backend.is_silent = true;
    }

    /// Takes an action.
    pub(crate) fn action(&mut self, at: Millis, gate: &Name, action: &GateAction) {
        match action {
            GateAction::Dispatch {
                ticket, deadline, ..
            } => self.dispatched(at, gate, *ticket, *deadline),
            GateAction::Refuse { ticket, refusal } => {
                self.count("refused");
                self.count(&format!("refused_{}", refusal.kind.name()));
                let job = self.jobs.get(&(gate.clone(), *ticket));
                if refusal.ran == RunState::No && job.is_some_and(|job| job.maybe_ran) {
                    self.count("false_not_run");
                }
            }
            GateAction::Replay { ticket, answer } => self.replayed(gate, *ticket, answer),
            GateAction::Cancel { ticket } => {
                self.count("cancelled");
                let job = self.jobs.get_mut(&(gate.clone(), *ticket));
                if let Some(sent) = job.and_then(|job| job.sent.as_mut()) {
                    sent.cancelled = true;
                }
            }
            GateAction::Release { units, entries } => {
                let busy = units.iter().filter(|unit| self.is_occupied(at, unit));
                *self.counts.entry("released_busy".into()).or_default() += busy.count() as f64;
                *self.counts.entry("released".into()).or_default() += units.len() as f64;
                *self.counts.entry("handed_over".into()).or_default() += entries.len() as f64;
            }
        }
    }

    /// Counts a dispatch.
    fn dispatched(&mut self, at: Millis, gate: &Name, ticket: u64, deadline: Millis) {
        self.count("dispatched");
        let backend = self.backends.entry(gate.clone()).or_default();
        backend.in_flight += 1;
        let start = backend.start;
        let is_overrun = self.cold_answers.is_some_and(|answers| {
            let concurrency_limit = 1 + backend.answers / answers.max(1);
            backend.in_flight > concurrency_limit.min(backend.slots)
        });
        let Some(job) = self.jobs.get_mut(&(gate.clone(), ticket)) else {
            return;
        };
        job.maybe_ran = true;
        job.sent = Some(SentRecord {
            start,
            open: true,
            cancelled: false,
        });
        let (unit, id) = (job.arrival.unit, job.arrival.idempotency_key.clone());
        let id = id.filter(|_| !job.arrival.idempotent);
        if is_overrun {
            self.count("overruns");
        }
        if let Some(id) = id {
            let runs = self.runs.entry(id).or_default();
            *runs += 1;
            if *runs > 1 {
                self.count("double_runs");
            }
        }
        if let Some(unit) = unit {
            self.owned(at, gate, unit, deadline);
        }
    }

    /// Checks a dispatch of an owned unit against the lease and other owners.
    fn owned(&mut self, at: Millis, gate: &Name, unit: Unit, deadline: Millis) {
        let lease = self.leases.get(gate).copied().unwrap_or_default();
        if at >= lease || deadline > lease {
            self.count("dispatched_past_lease");
        }
        let last = self.occupied.insert(unit, (gate.clone(), deadline));
        let overlaps = last.is_some_and(|(other, until)| other != *gate && until > at);
        if overlaps {
            self.count("overlapping_runs");
        }
    }

    /// Whether a run of a unit may go on at the backend server.
    fn is_occupied(&self, at: Millis, unit: &Unit) -> bool {
        self.occupied
            .get(unit)
            .is_some_and(|(_, until)| *until > at)
    }

    /// Compares a replayed answer with the one that its id had.
    fn replayed(&mut self, gate: &Name, ticket: u64, answer: &StoredAnswer) {
        self.count("replayed");
        let Some(job) = self.jobs.get(&(gate.clone(), ticket)) else {
            return;
        };
        let id = job.arrival.idempotency_key.clone().unwrap_or_default();
        let own = self.answers.get(&(id, job.arrival.digest));
        if own != Some(answer) {
            self.count("foreign_answers");
        }
    }

    /// Looks, after a step, for owned work that is neither ended nor cancelled past the lease.
    pub(crate) fn settle(&mut self, at: Millis, gate: &Name) {
        let lease = self.leases.get(gate).copied().unwrap_or_default();
        if at < lease {
            return;
        }
        let mut found = 0;
        for ((name, _), job) in &mut self.jobs {
            let Some(sent) = job.sent.as_mut() else {
                continue;
            };
            let runs_on = sent.open && !sent.cancelled;
            if name == gate && job.arrival.unit.is_some() && runs_on {
                sent.cancelled = true;
                found += 1;
            }
        }
        for _ in 0..found {
            self.count("run_past_lease");
        }
    }
}
