//! Virtual time for the policy trials: callers, gateways, gates and backend servers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_gate::api::GateEvent;
use jy_gate::api::GateSettings;
use jy_gate::core::GateState;
use jy_gate::replay::GateTraceEvent;
use jy_route::api::AttemptOutcome;
use jy_route::api::RouteEvent;
use jy_route::api::RouteRequest;
use jy_route::api::RouteSettings;
use jy_route::core::RouteState;
use jy_types::member::AgentId;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::time::Millis;
use jy_types::workspace::Urgency;
use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;

use crate::policy_backend::BackendModel;
use crate::policy_scenario::PolicyScenario;
use crate::policy_scenario::fleet_view;

/// Time between two announcements of a backend server, in milliseconds.
pub(crate) const ANNOUNCE_MS: u64 = 500;

/// A gate's load is told as it was up to this long ago, in milliseconds.
const LOAD_LAG_MS: u64 = 500;

/// Time from one agent to another, in milliseconds.
pub(crate) const HOP_MS: u64 = 1;

/// Attempts of the baseline, which has no budget.
pub(crate) const BASELINE_ATTEMPTS: u32 = 3;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// With an answer.
    Answered,
    /// With a refusal.
    Refused(RefusalKind, RunState),
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Class of urgency.
    pub urgency: Urgency,
    /// When it came.
    pub arrived: Millis,
    /// When its caller gives up.
    pub deadline: Millis,
    /// When and how it ended.
    pub end: Option<(Millis, CallerOutcome)>,
    /// Sends to a gate.
    pub sends: u32,
    /// Runs at a backend server.
    pub runs: u32,
}

/// What happens in virtual time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ModelEvent {
    Arrival,
    AtGate(u64),
    CancelAtGate(u64),
    AtGateway(u64),
    Done(u64),
    GatewayTick(usize),
    GateTick(usize),
    Restart(usize),
    Up(usize),
    Announce(usize),
    SampleLoad,
}

/// One attempt of a request on its way.
#[derive(Clone, Debug)]
pub(crate) struct AttemptJob {
    pub(crate) request: usize,
    pub(crate) attempt: u32,
    pub(crate) gate: usize,
    pub(crate) end: Option<AttemptOutcome>,
}

/// Steps and the processor time that they took.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCost {
    /// Number of steps.
    pub steps: u64,
    /// Processor time, in nanoseconds.
    pub nanos: u64,
}

impl StepCost {
    /// Mean of a step, in microseconds.
    #[must_use]
    pub fn mean_us(self) -> f64 {
        self.nanos as f64 / self.steps.max(1) as f64 / 1_000.0
    }
}

/// The whole of one trial.
pub struct PolicyModel {
    pub(crate) scenario: PolicyScenario,
    pub(crate) rng: StdRng,
    pub(crate) work: LogNormal<f64>,
    pub(crate) now: Millis,
    pub(crate) queue: BinaryHeap<Reverse<(Millis, u64, ModelEvent)>>,
    pub(crate) next_event: u64,
    pub(crate) gateways: Vec<Option<RouteState>>,
    pub(crate) gates: Vec<Option<GateState>>,
    /// The backend servers.
    pub backends: Vec<BackendModel>,
    /// All requests.
    pub requests: Vec<CallerRequest>,
    pub(crate) jobs: BTreeMap<u64, AttemptJob>,
    pub(crate) next_job: u64,
    pub(crate) reported_loads: Vec<u32>,
    /// When the next tick of each gateway and gate is due.
    pub(crate) gateway_due: Vec<Millis>,
    pub(crate) gate_due: Vec<Millis>,
    pub(crate) names: BTreeMap<AgentId, usize>,
    pub(crate) next_robin: usize,
    /// When the last caller came, finer than events are.
    pub(crate) arrival_ms: f64,
    /// Cost of the gates' steps.
    pub gate_cost: StepCost,
    /// Cost of the gateways' steps.
    pub route_cost: StepCost,
    /// When each gate gave its backend server all slots again after a restart.
    pub warm_again: Vec<Option<Millis>>,
    /// Events of the first gate, to be kept as a trace.
    pub recorded: Vec<(Millis, GateTraceEvent)>,
}

impl PolicyModel {
    /// Runs a trial to its end.
    ///
    /// # Panics
    ///
    /// Never: the distribution's parameters are constants that it accepts.
    #[must_use]
    pub fn run(scenario: PolicyScenario, seed: u64) -> Self {
        let endpoints = scenario.endpoints;
        let (view, ids) = fleet_view(endpoints, scenario.slots);
        let spread: f64 = 0.5;
        let mean_of_log = scenario.work_ms.ln() - spread * spread / 2.0;
        let gate_settings = GateSettings {
            keyed: false,
            slots: scenario.slots,
            ramp_step_ms: scenario.ramp_step_ms,
            ..GateSettings::default()
        };
        let route = |number| RouteState::new(RouteSettings::default(), seed + number as u64);
        let backend = || BackendModel::new(scenario.slots, scenario.warmup);
        let mut model = Self {
            rng: jy_testutils::seeds::rng(seed),
            work: LogNormal::new(mean_of_log, spread).expect("the parameters are valid"),
            now: Millis(0),
            queue: BinaryHeap::new(),
            next_event: 0,
            gateways: (0..endpoints).map(|number| Some(route(number))).collect(),
            gates: (0..endpoints)
                .map(|_| Some(GateState::new(gate_settings.clone())))
                .collect(),
            backends: (0..endpoints).map(|_| backend()).collect(),
            requests: Vec::new(),
            jobs: BTreeMap::new(),
            next_job: 1,
            reported_loads: vec![0; endpoints],
            gateway_due: vec![Millis::MAX; endpoints],
            gate_due: vec![Millis::MAX; endpoints],
            names: ids.iter().cloned().zip(0..).collect(),
            next_robin: 0,
            arrival_ms: 1.0,
            gate_cost: StepCost::default(),
            route_cost: StepCost::default(),
            warm_again: vec![None; endpoints],
            recorded: Vec::new(),
            scenario,
        };
        model.begin(&view);
        while let Some(Reverse((at, _, event))) = model.queue.pop() {
            model.now = at;
            model.take(event);
        }
        model
    }

    /// Sets the first events.
    pub(crate) fn begin(&mut self, view: &Arc<FleetView>) {
        for number in 0..self.scenario.endpoints {
            self.route(number, RouteEvent::View(Arc::clone(view)));
            self.announce(number);
        }
        for (at, number) in self.scenario.restarts.clone() {
            self.push(at, ModelEvent::Restart(number));
        }
        self.push(Millis(0), ModelEvent::SampleLoad);
        self.push(Millis(1), ModelEvent::Arrival);
    }

    /// Adds an event.
    pub(crate) fn push(&mut self, at: Millis, event: ModelEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event, event)));
    }

    /// Adds a repeated event, while callers come.
    pub(crate) fn repeat(&mut self, after_ms: u64, event: ModelEvent) {
        let at = self.now.plus(after_ms);
        if at <= self.scenario.until {
            self.push(at, event);
        }
    }

    /// Takes an event.
    pub(crate) fn take(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrival => self.arrival(),
            ModelEvent::AtGate(job) => self.at_gate(job),
            ModelEvent::CancelAtGate(ticket) => self.cancel_at_gate(ticket),
            ModelEvent::AtGateway(job) => self.at_gateway(job),
            ModelEvent::Done(job) => self.done(job),
            ModelEvent::GatewayTick(number) if self.gateway_due[number] == self.now => {
                self.gateway_due[number] = Millis::MAX;
                self.route(number, RouteEvent::Tick);
            }
            ModelEvent::GateTick(number) if self.gate_due[number] == self.now => {
                self.gate_due[number] = Millis::MAX;
                self.gate(number, GateEvent::Tick);
            }
            ModelEvent::GatewayTick(_) | ModelEvent::GateTick(_) => {}
            ModelEvent::Restart(number) => self.restart(number),
            ModelEvent::Up(number) => self.backends[number].up = true,
            ModelEvent::Announce(number) => self.announce(number),
            ModelEvent::SampleLoad => {
                let loads = self.gates.iter().flatten();
                self.reported_loads = loads.map(|gate| gate.in_flight() + gate.queued()).collect();
                self.repeat(LOAD_LAG_MS, ModelEvent::SampleLoad);
            }
        }
    }

    /// A caller's request reaches a gateway.
    pub(crate) fn arrival(&mut self) {
        let rate = (self.scenario.rate)(self.now);
        let gap = Exp::new(rate / 1_000.0).map_or(1.0, |gaps| gaps.sample(&mut self.rng));
        self.push_next_arrival(gap);
        let share = self.rng.random::<f64>();
        let urgency = match share {
            share if share < 0.25 => Urgency::Urgent,
            share if share < 0.6 => Urgency::Normal,
            _ => Urgency::Deferrable,
        };
        let idempotent = self.rng.random_bool(self.scenario.idempotent_share);
        let number = self.requests.len();
        let deadline = self.now.plus(self.scenario.timeout_ms);
        self.requests.push(CallerRequest {
            idempotent,
            urgency,
            arrived: self.now,
            deadline,
            end: None,
            sends: 0,
            runs: 0,
        });
        if !self.scenario.policy {
            self.baseline_send(number);
            return;
        }
        let request = RouteRequest {
            ticket: number as u64,
            workspace: "w".into(),
            service: "s".into(),
            key: None,
            idempotent,
            deadline,
        };
        self.route(self.gateway_of(number), RouteEvent::Arrive(request));
    }

    /// Sets the next arrival; several may fall into one millisecond.
    pub(crate) fn push_next_arrival(&mut self, gap_ms: f64) {
        self.arrival_ms += gap_ms;
        let at = Millis(self.arrival_ms as u64).max(self.now);
        if at <= self.scenario.until {
            self.push(at, ModelEvent::Arrival);
        }
    }

    /// A caller hears how its request ended.
    pub(crate) fn finish(&mut self, request: usize, outcome: CallerOutcome) {
        let record = &mut self.requests[request];
        if record.end.is_none() {
            record.end = Some((self.now, outcome));
        }
    }
}
