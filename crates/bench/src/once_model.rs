//! One random schedule of callers, gates and backend servers, for `jybench once`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use jy_gate::api::DispatchOutcome;
use jy_gate::api::GateAction;
use jy_gate::api::GateEvent;
use jy_gate::api::GateSettings;
use jy_gate::replay::BrokenRule;
use jy_gate::replay::broken_event;
use jy_gate::replay::broken_settings;
use jy_types::key::Unit;
use jy_types::name::Name;
use jy_types::peer::StoredAnswer;
use jy_types::request::RunState;
use jy_types::time::Millis;
use rand::Rng;
use rand::rngs::StdRng;

use crate::once_owners::OnceGate;
use crate::once_owners::OwnerEvent;

/// Number of gates.
pub(crate) const GATES: usize = 3;

/// Number of units.
pub(crate) const UNITS: u32 = 3;

/// Callers come until then, in milliseconds.
const LENGTH_MS: u64 = 40_000;

/// When a schedule begins, so that nothing lies before zero.
pub(crate) const BEGIN: Millis = Millis(1_000_000);

/// The wall clock at point zero.
pub(crate) const WALL_ZERO: u64 = 1_800_000_000_000;

/// A caller repeats an id without a time within this time, in milliseconds.
pub(crate) const PLAIN_REPEAT_MS: u64 = 8_000;

/// Counts of schedules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Requests and repeats.
    pub requests: u64,
    /// Runs at backend servers.
    pub runs: u64,
    /// Repeats answered from a window.
    pub replays: u64,
    /// Units moved as planned.
    pub moves: u64,
    /// Agents lost.
    pub losses: u64,
    /// Requests refused as of unknown outcome.
    pub unknown: u64,
    /// Ids that ran again.
    pub double_runs: u64,
    /// Requests refused as not run that ran.
    pub false_not_run: u64,
    /// Answers of another request.
    pub foreign_answers: u64,
    /// Runs of a unit beside a run under another owner.
    pub overlaps: u64,
}

impl ViolationCounts {
    /// Adds other counts.
    pub const fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.runs += other.runs;
        self.replays += other.replays;
        self.moves += other.moves;
        self.losses += other.losses;
        self.unknown += other.unknown;
        self.double_runs += other.double_runs;
        self.false_not_run += other.false_not_run;
        self.foreign_answers += other.foreign_answers;
        self.overlaps += other.overlaps;
    }

    /// Everything that must be zero.
    #[must_use]
    pub const fn harm(&self) -> u64 {
        self.double_runs + self.false_not_run + self.foreign_answers + self.overlaps
    }
}

/// What happens in a schedule.
#[derive(Debug)]
pub(crate) enum OnceEvent {
    Caller,
    Begin(u64),
    Ended(u64, DispatchOutcome),
    Tick(usize, Millis),
    Owner(OwnerEvent),
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct OnceRequest {
    pub(crate) id: Name,
    pub(crate) is_plain: bool,
    pub(crate) first: Millis,
    pub(crate) unit: Unit,
    pub(crate) digest: u64,
    pub(crate) runs: u32,
}

/// A request as one gate got it.
#[derive(Clone, Debug)]
pub(crate) struct OnceJob {
    pub(crate) request: usize,
    pub(crate) gate: usize,
    pub(crate) incarnation: u64,
    pub(crate) deadline: Millis,
    pub(crate) ran: bool,
    pub(crate) has_ended: bool,
}

/// A run at a backend server.
#[derive(Clone, Copy, Debug)]
struct OnceRun {
    owner: (usize, u64),
    until: Millis,
}

/// One schedule.
pub struct OnceModel {
    pub(crate) rng: StdRng,
    pub(crate) now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, OnceEvent>,
    next_event: u64,
    pub(crate) gates: Vec<OnceGate>,
    pub(crate) settings: GateSettings,
    broken: Option<BrokenRule>,
    pub(crate) requests: Vec<OnceRequest>,
    pub(crate) jobs: BTreeMap<u64, OnceJob>,
    pub(crate) next_ticket: u64,
    runs: BTreeMap<Unit, OnceRun>,
    pub(crate) counts: ViolationCounts,
}

impl OnceModel {
    /// Runs a schedule and returns its counts.
    #[must_use]
    pub fn run(seed: u64, broken: Option<BrokenRule>) -> ViolationCounts {
        let settings = GateSettings {
            slots: 4,
            ramp_start: 4,
            window_ms: 20_000,
            window_entries: 24,
            window_bytes: 120,
            plain_id_ms: PLAIN_REPEAT_MS,
            ..GateSettings::default()
        };
        let mut model = Self {
            rng: jy_testutils::seeds::rng(seed),
            now: BEGIN,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            gates: Vec::new(),
            settings: broken_settings(broken, settings),
            broken,
            requests: Vec::new(),
            jobs: BTreeMap::new(),
            next_ticket: 1,
            runs: BTreeMap::new(),
            counts: ViolationCounts::default(),
        };
        model.begin_owners();
        model.push(10, OnceEvent::Caller);
        while let Some(Reverse((at, number))) = model.queue.pop() {
            model.now = at;
            if let Some(event) = model.events.remove(&number) {
                model.take(event);
            }
        }
        model.counts
    }

    /// Adds an event.
    pub(crate) fn push(&mut self, after_ms: u64, event: OnceEvent) {
        self.next_event += 1;
        let at = self.now.plus(after_ms);
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Whether callers still come.
    pub(crate) fn is_on(&self) -> bool {
        self.now < BEGIN.plus(LENGTH_MS)
    }

    /// Takes an event.
    fn take(&mut self, event: OnceEvent) {
        match event {
            OnceEvent::Caller => self.caller(),
            OnceEvent::Begin(ticket) => self.begin_run(ticket),
            OnceEvent::Ended(ticket, end) => self.end_run(ticket, end),
            OnceEvent::Tick(gate, due) => {
                if self.gates[gate].due == due {
                    self.gates[gate].due = Millis::MAX;
                    self.step(gate, GateEvent::Tick);
                }
            }
            OnceEvent::Owner(event) => self.owner_event(event),
        }
    }

    /// Steps a gate, unless it is frozen: then it hears of the event when it goes on.
    pub(crate) fn step(&mut self, number: usize, event: GateEvent) {
        if self.gates[number].frozen {
            self.gates[number].held.push(event);
            return;
        }
        let event = broken_event(self.broken, event);
        let now = self.now;
        let actions = self.gates[number]
            .state
            .step(|state| state.step(now, event));
        let tick = self.gates[number]
            .state
            .read(jy_gate::core::GateState::next_tick);
        if tick < self.gates[number].due {
            let due = tick.max(now.plus(1));
            self.gates[number].due = due;
            self.push(due.since(now), OnceEvent::Tick(number, due));
        }
        for action in actions {
            self.act(number, action);
        }
    }

    /// Does what a gate wants.
    fn act(&mut self, gate: usize, action: GateAction) {
        match action {
            GateAction::Dispatch {
                ticket, deadline, ..
            } => self.dispatch(ticket, deadline),
            GateAction::Refuse { ticket, refusal } => {
                if refusal.ran == RunState::Unknown {
                    self.counts.unknown += 1;
                }
                let ran = self.jobs.get(&ticket).is_some_and(|job| job.ran);
                if refusal.ran == RunState::No && ran {
                    self.counts.false_not_run += 1;
                }
            }
            GateAction::Replay { ticket, answer } => {
                self.counts.replays += 1;
                let job = self.jobs.get(&ticket).map(|job| job.request);
                let own = job.map(|request| self.requests[request].id.clone());
                if own != Some(answer.body) {
                    self.counts.foreign_answers += 1;
                }
            }
            GateAction::Cancel { ticket } => {
                self.push(1, OnceEvent::Ended(ticket, DispatchOutcome::Unknown));
            }
            GateAction::Release { units, entries } => self.released(gate, units, entries),
        }
    }

    /// A request goes out: at once, held up on its way, or not at all.
    fn dispatch(&mut self, ticket: u64, deadline: Millis) {
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.deadline = deadline;
        }
        match self.rng.random_range(0..20) {
            0 => self.push(1, OnceEvent::Ended(ticket, DispatchOutcome::NotSent)),
            1 => {
                let held_ms = self.rng.random_range(1..200);
                self.push(held_ms, OnceEvent::Begin(ticket));
            }
            _ => self.push(0, OnceEvent::Begin(ticket)),
        }
    }

    /// A request reaches its backend server, which does not run it past its deadline.
    fn begin_run(&mut self, ticket: u64) {
        let Some(job) = self.jobs.get_mut(&ticket).filter(|job| !job.has_ended) else {
            return;
        };
        if self.now >= job.deadline {
            self.push(1, OnceEvent::Ended(ticket, DispatchOutcome::Unknown));
            return;
        }
        job.ran = true;
        let job = job.clone();
        let request = &mut self.requests[job.request];
        request.runs += 1;
        self.counts.runs += 1;
        if request.runs > 1 {
            self.counts.double_runs += 1;
        }
        let (unit, id) = (request.unit, request.id.clone());
        let work_ms = self.rng.random_range(1..80);
        let left_ms = job.deadline.since(self.now);
        let run_ms = work_ms.min(left_ms);
        self.note_run(unit, (job.gate, job.incarnation), run_ms);
        let is_lost = self.rng.random_bool(0.1);
        let end = if is_lost || run_ms < work_ms {
            DispatchOutcome::Unknown
        } else {
            answered(id)
        };
        let told_ms = if is_lost {
            self.rng.random_range(0..=run_ms)
        } else {
            run_ms
        };
        self.push(told_ms, OnceEvent::Ended(ticket, end));
    }

    /// Checks a run against one of the unit's other owners.
    fn note_run(&mut self, unit: Unit, owner: (usize, u64), run_ms: u64) {
        let until = self.now.plus(run_ms);
        let last = self.runs.get(&unit).copied();
        let overlaps = last.is_some_and(|last| last.owner != owner && last.until > self.now);
        if overlaps {
            self.counts.overlaps += 1;
        }
        let same = last.filter(|last| last.owner == owner);
        let until = same.map_or(until, |last| last.until.max(until));
        self.runs.insert(unit, OnceRun { owner, until });
    }

    /// A gate hears how a request ended, if it is the process that sent it.
    fn end_run(&mut self, ticket: u64, end: DispatchOutcome) {
        let Some(job) = self.jobs.get_mut(&ticket).filter(|job| !job.has_ended) else {
            return;
        };
        job.has_ended = true;
        let (gate, incarnation) = (job.gate, job.incarnation);
        if self.gates[gate].incarnation == incarnation {
            self.step(gate, GateEvent::Ended { ticket, end });
        }
    }
}

/// An answer that tells whose it is.
fn answered(id: Name) -> DispatchOutcome {
    DispatchOutcome::Answered {
        shed: false,
        answer: Some(StoredAnswer {
            status: 201,
            content_type: None,
            body: id,
        }),
    }
}
