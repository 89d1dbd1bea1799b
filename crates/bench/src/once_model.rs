//! Simulates one random schedule of callers, gates and backend servers for `jybench once`.

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

pub(crate) const GATE_COUNT: usize = 3;

pub(crate) const UNIT_COUNT: u32 = 3;

/// Time during which callers send requests.
const CALLER_PERIOD_MS: u64 = 40_000;

/// Start of a schedule, late enough that earlier times are above zero.
pub(crate) const START_TIME: Millis = Millis(1_000_000);

/// Time of the wall clock when the monotonic clock is at zero.
pub(crate) const WALL_CLOCK_OFFSET_MS: u64 = 1_800_000_000_000;

/// Time within which callers repeat an id that contains no time. The gates keep such ids as long.
pub(crate) const PLAIN_ID_REPEAT_MS: u64 = 8_000;

/// What happened in schedules, with the violations that were found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Requests sent, repeats included.
    pub requests: u64,
    /// Requests that backend servers started to run.
    pub runs: u64,
    /// Repeats answered from a gate's window of stored answers.
    pub replays: u64,
    /// Planned moves of units.
    pub moves: u64,
    /// Agents lost: killed, or frozen past the end of their lease.
    pub losses: u64,
    /// Requests refused with an unknown outcome.
    pub unknown: u64,
    /// Runs of an id that had run before.
    pub double_runs: u64,
    /// Requests that ran but were refused as not run.
    pub false_not_run: u64,
    /// Stored answers that belong to another request.
    pub foreign_answers: u64,
    /// Runs of a unit that overlap a run under another owner.
    pub overlaps: u64,
}

impl ViolationCounts {
    /// Adds the counts of other schedules.
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

    /// Returns the sum of the counts that must be zero.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.double_runs + self.false_not_run + self.foreign_answers + self.overlaps
    }
}

/// Event of a schedule. Requests are named by the ticket of their attempt.
#[derive(Debug)]
pub(crate) enum OnceEvent {
    /// A caller sends a request.
    SendRequest,
    /// A request reaches its backend server.
    StartRun(u64),
    /// The gate learns the outcome of a request.
    Ended(u64, DispatchOutcome),
    /// The timer of a gate expires at the given time.
    Tick(usize, Millis),
    /// An owner's event.
    Owner(OwnerEvent),
}

/// A caller's request, which may be sent several times under its id.
#[derive(Clone, Debug)]
pub(crate) struct OnceRequest {
    pub(crate) id: Name,
    /// Whether the id contains no time.
    pub(crate) has_plain_id: bool,
    pub(crate) first_sent_at: Millis,
    pub(crate) unit: Unit,
    pub(crate) digest: u64,
    pub(crate) runs: u32,
}

/// One arrival of a request at a gate process.
#[derive(Clone, Debug)]
pub(crate) struct OnceAttempt {
    pub(crate) request: usize,
    pub(crate) gate: usize,
    pub(crate) incarnation: u64,
    pub(crate) deadline: Millis,
    pub(crate) ran: bool,
    pub(crate) has_ended: bool,
}

/// Runs of a unit under its latest owner, until the last of them ends.
#[derive(Clone, Copy, Debug)]
struct OnceRun {
    /// Gate and incarnation.
    owner: (usize, u64),
    ends_at: Millis,
}

/// Simulation of one schedule in virtual time.
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
    pub(crate) attempts: BTreeMap<u64, OnceAttempt>,
    pub(crate) next_ticket: u64,
    runs: BTreeMap<Unit, OnceRun>,
    pub(crate) counts: ViolationCounts,
}

impl OnceModel {
    /// Runs the schedule of a seed, optionally with one rule broken, and returns its counts.
    #[must_use]
    pub fn run(seed: u64, broken: Option<BrokenRule>) -> ViolationCounts {
        let settings = GateSettings {
            slots: 4,
            ramp_start: 4,
            window_ms: 20_000,
            window_entries: 24,
            window_bytes: 120,
            plain_id_ms: PLAIN_ID_REPEAT_MS,
            ..GateSettings::default()
        };
        let mut model = Self {
            rng: jy_testutils::seeds::rng(seed),
            now: START_TIME,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            gates: Vec::new(),
            settings: broken_settings(broken, settings),
            broken,
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            next_ticket: 1,
            runs: BTreeMap::new(),
            counts: ViolationCounts::default(),
        };
        model.start_gates();
        model.schedule(10, OnceEvent::SendRequest);
        while let Some(Reverse((at, number))) = model.queue.pop() {
            model.now = at;
            if let Some(event) = model.events.remove(&number) {
                model.handle_event(event);
            }
        }
        model.counts
    }

    /// Schedules an event after a delay.
    pub(crate) fn schedule(&mut self, after_ms: u64, event: OnceEvent) {
        self.next_event += 1;
        let at = self.now.plus(after_ms);
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Whether callers still send requests.
    pub(crate) fn has_active_callers(&self) -> bool {
        self.now < START_TIME.plus(CALLER_PERIOD_MS)
    }

    fn handle_event(&mut self, event: OnceEvent) {
        match event {
            OnceEvent::SendRequest => self.send_request(),
            OnceEvent::StartRun(ticket) => self.start_run(ticket),
            OnceEvent::Ended(ticket, outcome) => self.end_run(ticket, outcome),
            OnceEvent::Tick(gate, next_tick_at) => {
                if self.gates[gate].next_tick_at == next_tick_at {
                    self.gates[gate].next_tick_at = Millis::MAX;
                    self.step(gate, GateEvent::Tick);
                }
            }
            OnceEvent::Owner(event) => self.handle_owner_event(event),
        }
    }

    /// Applies an event to a gate. A frozen gate gets the event after it resumes.
    pub(crate) fn step(&mut self, number: usize, event: GateEvent) {
        if self.gates[number].frozen {
            self.gates[number].deferred_events.push(event);
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
        if tick < self.gates[number].next_tick_at {
            let next_tick_at = tick.max(now.plus(1));
            self.gates[number].next_tick_at = next_tick_at;
            self.schedule(
                next_tick_at.since(now),
                OnceEvent::Tick(number, next_tick_at),
            );
        }
        for action in actions {
            self.apply_action(number, action);
        }
    }

    /// Carries out an action of a gate and counts the violations that it shows.
    fn apply_action(&mut self, gate: usize, action: GateAction) {
        match action {
            GateAction::Dispatch {
                ticket, deadline, ..
            } => self.dispatch(ticket, deadline),
            GateAction::Refuse { ticket, refusal } => {
                if refusal.ran == RunState::Unknown {
                    self.counts.unknown += 1;
                }
                let ran = self
                    .attempts
                    .get(&ticket)
                    .is_some_and(|attempt| attempt.ran);
                if refusal.ran == RunState::No && ran {
                    self.counts.false_not_run += 1;
                }
            }
            GateAction::Replay { ticket, answer } => {
                self.counts.replays += 1;
                let request = self.attempts.get(&ticket).map(|attempt| attempt.request);
                let requested_id = request.map(|request| self.requests[request].id.clone());
                if requested_id != Some(answer.body) {
                    self.counts.foreign_answers += 1;
                }
            }
            GateAction::Cancel { ticket } => {
                self.schedule(1, OnceEvent::Ended(ticket, DispatchOutcome::Unknown));
            }
            GateAction::Release { units, entries } => self.transfer_released(gate, units, entries),
        }
    }

    /// Sends a request to its backend server: at once, after a delay, or not at all.
    fn dispatch(&mut self, ticket: u64, deadline: Millis) {
        if let Some(attempt) = self.attempts.get_mut(&ticket) {
            attempt.deadline = deadline;
        }
        match self.rng.random_range(0..20) {
            0 => self.schedule(1, OnceEvent::Ended(ticket, DispatchOutcome::NotSent)),
            1 => {
                let delay_ms = self.rng.random_range(1..200);
                self.schedule(delay_ms, OnceEvent::StartRun(ticket));
            }
            _ => self.schedule(0, OnceEvent::StartRun(ticket)),
        }
    }

    /// Runs a request at its backend server, which does not run it past its deadline: a late request does
    /// not start, and a run ends at the deadline. The connection may break before the answer arrives.
    fn start_run(&mut self, ticket: u64) {
        let Some(attempt) = self
            .attempts
            .get_mut(&ticket)
            .filter(|attempt| !attempt.has_ended)
        else {
            return;
        };
        if self.now >= attempt.deadline {
            self.schedule(1, OnceEvent::Ended(ticket, DispatchOutcome::Unknown));
            return;
        }
        attempt.ran = true;
        let attempt = attempt.clone();
        let request = &mut self.requests[attempt.request];
        request.runs += 1;
        self.counts.runs += 1;
        if request.runs > 1 {
            self.counts.double_runs += 1;
        }
        let (unit, id) = (request.unit, request.id.clone());
        let work_ms = self.rng.random_range(1..80);
        let left_ms = attempt.deadline.since(self.now);
        let run_ms = work_ms.min(left_ms);
        self.record_run(unit, (attempt.gate, attempt.incarnation), run_ms);
        let connection_broken = self.rng.random_bool(0.1);
        let outcome = if connection_broken || run_ms < work_ms {
            DispatchOutcome::Unknown
        } else {
            answered_with(id)
        };
        let reported_after_ms = if connection_broken {
            self.rng.random_range(0..=run_ms)
        } else {
            run_ms
        };
        self.schedule(reported_after_ms, OnceEvent::Ended(ticket, outcome));
    }

    /// Records a run and checks whether it overlaps a run of the unit under another owner.
    fn record_run(&mut self, unit: Unit, owner: (usize, u64), run_ms: u64) {
        let ends_at = self.now.plus(run_ms);
        let last = self.runs.get(&unit).copied();
        let overlaps = last.is_some_and(|last| last.owner != owner && last.ends_at > self.now);
        if overlaps {
            self.counts.overlaps += 1;
        }
        let same_owner = last.filter(|last| last.owner == owner);
        let ends_at = same_owner.map_or(ends_at, |last| last.ends_at.max(ends_at));
        self.runs.insert(unit, OnceRun { owner, ends_at });
    }

    /// Reports the outcome of a request to its gate, if the process that sent it still runs.
    fn end_run(&mut self, ticket: u64, outcome: DispatchOutcome) {
        let Some(attempt) = self
            .attempts
            .get_mut(&ticket)
            .filter(|attempt| !attempt.has_ended)
        else {
            return;
        };
        attempt.has_ended = true;
        let (gate, incarnation) = (attempt.gate, attempt.incarnation);
        if self.gates[gate].incarnation == incarnation {
            self.step(
                gate,
                GateEvent::Ended {
                    ticket,
                    end: outcome,
                },
            );
        }
    }
}

/// Makes an answer whose body is the id of its request.
fn answered_with(id: Name) -> DispatchOutcome {
    DispatchOutcome::Answered {
        shed: false,
        answer: Some(StoredAnswer {
            status: 201,
            content_type: None,
            body: id,
        }),
    }
}
