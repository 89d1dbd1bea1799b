//! Discrete-event simulation of the policy trials: callers, gateways, gates and backend servers.

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

pub(crate) const ANNOUNCE_INTERVAL_MS: u64 = 500;

/// Interval between samples of the gates' loads; the load reported to a gateway is at most this old.
const LOAD_SAMPLE_INTERVAL_MS: u64 = 500;

/// One-way network delay between two agents.
pub(crate) const HOP_MS: u64 = 1;

/// Attempts per request of the baseline, which has no retry budget.
pub(crate) const MAX_BASELINE_ATTEMPTS: u32 = 3;

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The caller received an answer.
    Answered,
    /// The caller received a refusal.
    Refused(RefusalKind, RunState),
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Urgency class, which decides what is refused first under overload.
    pub urgency: Urgency,
    /// Arrival at the gateway.
    pub arrived_at: Millis,
    /// Time at which the caller gives up.
    pub deadline: Millis,
    /// Time and outcome, once there is one.
    pub completion: Option<(Millis, CallerOutcome)>,
    /// Attempts sent to gates.
    pub sends: u32,
    /// Runs started on backend servers.
    pub runs: u32,
}

/// An event of the simulation, with the id of the job or the number of the endpoint that it is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ModelEvent {
    Arrival,
    AttemptAtGate(u64),
    CancelAtGate(u64),
    OutcomeAtGateway(u64),
    RunFinished(u64),
    GatewayTick(usize),
    GateTick(usize),
    BackendRestart(usize),
    BackendUp(usize),
    Announce(usize),
    SampleLoad,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct AttemptJob {
    pub(crate) request: usize,
    pub(crate) attempt: u32,
    pub(crate) gate: usize,
    /// Outcome, once it is on the way back to the gateway.
    pub(crate) attempt_outcome: Option<AttemptOutcome>,
}

/// Number of state machine steps and the processor time that they took.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCost {
    /// Number of steps taken.
    pub steps: u64,
    /// Total processor time, in nanoseconds.
    pub nanos: u64,
}

impl StepCost {
    /// Returns the mean processor time of a step, in microseconds.
    #[must_use]
    pub fn mean_us(self) -> f64 {
        self.nanos as f64 / self.steps.max(1) as f64 / 1_000.0
    }
}

/// State of one simulation run.
pub struct PolicyModel {
    pub(crate) scenario: PolicyScenario,
    pub(crate) rng: StdRng,
    /// Distribution of the run time at a backend server, in milliseconds.
    pub(crate) run_time: LogNormal<f64>,
    pub(crate) now: Millis,
    /// Pending events, ordered by time and, at the same time, by the order of scheduling.
    pub(crate) queue: BinaryHeap<Reverse<(Millis, u64, ModelEvent)>>,
    pub(crate) events_scheduled: u64,
    pub(crate) gateways: Vec<Option<RouteState>>,
    pub(crate) gates: Vec<Option<GateState>>,
    /// Backend servers, by endpoint number.
    pub backends: Vec<BackendModel>,
    /// All requests since the start, including those of the warm-up.
    pub requests: Vec<CallerRequest>,
    pub(crate) jobs: BTreeMap<u64, AttemptJob>,
    pub(crate) next_job: u64,
    pub(crate) reported_loads: Vec<u32>,
    /// Time of the next scheduled tick of each gateway.
    pub(crate) gateway_tick_at: Vec<Millis>,
    /// Time of the next scheduled tick of each gate.
    pub(crate) gate_tick_at: Vec<Millis>,
    pub(crate) endpoint_by_agent: BTreeMap<AgentId, usize>,
    /// Endpoint that the baseline used last.
    pub(crate) last_baseline_endpoint: usize,
    /// Time of the last scheduled arrival, at a finer resolution than that of events.
    pub(crate) last_arrival_ms: f64,
    /// Processor time of all gates.
    pub gate_cost: StepCost,
    /// Processor time of all gateways.
    pub gateway_cost: StepCost,
    /// Time from which each gate has allowed all slots of its backend server again after a restart.
    pub warm_since: Vec<Option<Millis>>,
    /// Events of the first gate, if the scenario records a trace.
    pub recorded_events: Vec<(Millis, GateTraceEvent)>,
}

impl PolicyModel {
    /// Runs a scenario until no event is left.
    ///
    /// # Panics
    ///
    /// Never: the log-normal distribution accepts its constant standard deviation.
    #[must_use]
    pub fn run(scenario: PolicyScenario, seed: u64) -> Self {
        let endpoints = scenario.endpoints;
        let (view, ids) = fleet_view(endpoints, scenario.slots);
        let log_std_dev: f64 = 0.5;
        let log_mean = scenario.mean_run_ms.ln() - log_std_dev * log_std_dev / 2.0;
        let gate_settings = GateSettings {
            keyed: false,
            slots: scenario.slots,
            ramp_step_ms: scenario.ramp_step_ms,
            ..GateSettings::default()
        };
        let gateway = |endpoint| RouteState::new(RouteSettings::default(), seed + endpoint as u64);
        let backend = || BackendModel::new(scenario.slots, scenario.warmup);
        let mut model = Self {
            rng: jy_testutils::seeds::rng(seed),
            run_time: LogNormal::new(log_mean, log_std_dev)
                .expect("the standard deviation is finite and positive"),
            now: Millis(0),
            queue: BinaryHeap::new(),
            events_scheduled: 0,
            gateways: (0..endpoints)
                .map(|endpoint| Some(gateway(endpoint)))
                .collect(),
            gates: (0..endpoints)
                .map(|_| Some(GateState::new(gate_settings.clone())))
                .collect(),
            backends: (0..endpoints).map(|_| backend()).collect(),
            requests: Vec::new(),
            jobs: BTreeMap::new(),
            next_job: 1,
            reported_loads: vec![0; endpoints],
            gateway_tick_at: vec![Millis::MAX; endpoints],
            gate_tick_at: vec![Millis::MAX; endpoints],
            endpoint_by_agent: ids.iter().cloned().zip(0..).collect(),
            last_baseline_endpoint: 0,
            last_arrival_ms: 1.0,
            gate_cost: StepCost::default(),
            gateway_cost: StepCost::default(),
            warm_since: vec![None; endpoints],
            recorded_events: Vec::new(),
            scenario,
        };
        model.schedule_first_events(&view);
        while let Some(Reverse((at, _, event))) = model.queue.pop() {
            model.now = at;
            model.handle(event);
        }
        model
    }

    /// Gives the gateways their view, announces the backend servers and schedules the first events.
    pub(crate) fn schedule_first_events(&mut self, view: &Arc<FleetView>) {
        for endpoint in 0..self.scenario.endpoints {
            self.step_gateway(endpoint, RouteEvent::View(Arc::clone(view)));
            self.announce_backend(endpoint);
        }
        for (at, endpoint) in self.scenario.restarts.clone() {
            self.schedule(at, ModelEvent::BackendRestart(endpoint));
        }
        self.schedule(Millis(0), ModelEvent::SampleLoad);
        self.schedule(Millis(1), ModelEvent::Arrival);
    }

    pub(crate) fn schedule(&mut self, at: Millis, event: ModelEvent) {
        self.events_scheduled += 1;
        self.queue.push(Reverse((at, self.events_scheduled, event)));
    }

    /// Schedules the next occurrence of a periodic event, unless arrivals have ended by then.
    pub(crate) fn schedule_repeat(&mut self, after_ms: u64, event: ModelEvent) {
        let at = self.now.plus(after_ms);
        if at <= self.scenario.arrivals_until {
            self.schedule(at, event);
        }
    }

    pub(crate) fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrival => self.add_caller_request(),
            ModelEvent::AttemptAtGate(job) => self.receive_at_gate(job),
            ModelEvent::CancelAtGate(job) => self.cancel_at_gate(job),
            ModelEvent::OutcomeAtGateway(job) => self.receive_outcome_at_gateway(job),
            ModelEvent::RunFinished(job) => self.finish_job(job),
            ModelEvent::GatewayTick(endpoint) if self.gateway_tick_at[endpoint] == self.now => {
                self.gateway_tick_at[endpoint] = Millis::MAX;
                self.step_gateway(endpoint, RouteEvent::Tick);
            }
            ModelEvent::GateTick(endpoint) if self.gate_tick_at[endpoint] == self.now => {
                self.gate_tick_at[endpoint] = Millis::MAX;
                self.step_gate(endpoint, GateEvent::Tick);
            }
            ModelEvent::GatewayTick(_) | ModelEvent::GateTick(_) => {}
            ModelEvent::BackendRestart(endpoint) => self.restart_backend(endpoint),
            ModelEvent::BackendUp(endpoint) => self.backends[endpoint].accepts_connections = true,
            ModelEvent::Announce(endpoint) => self.announce_backend(endpoint),
            ModelEvent::SampleLoad => {
                let loads = self.gates.iter().flatten();
                self.reported_loads = loads.map(|gate| gate.in_flight() + gate.queued()).collect();
                self.schedule_repeat(LOAD_SAMPLE_INTERVAL_MS, ModelEvent::SampleLoad);
            }
        }
    }

    /// Draws a caller's request, gives it to a gateway and schedules the next arrival.
    pub(crate) fn add_caller_request(&mut self) {
        let rate = (self.scenario.rate)(self.now);
        let gap_ms = Exp::new(rate / 1_000.0).map_or(1.0, |gaps| gaps.sample(&mut self.rng));
        self.schedule_next_arrival(gap_ms);
        let draw = self.rng.random::<f64>();
        let urgency = match draw {
            draw if draw < 0.25 => Urgency::Urgent,
            draw if draw < 0.6 => Urgency::Normal,
            _ => Urgency::Deferrable,
        };
        let idempotent = self.rng.random_bool(self.scenario.idempotent_share);
        let index = self.requests.len();
        let deadline = self.now.plus(self.scenario.timeout_ms);
        self.requests.push(CallerRequest {
            idempotent,
            urgency,
            arrived_at: self.now,
            deadline,
            completion: None,
            sends: 0,
            runs: 0,
        });
        if !self.scenario.uses_policy {
            self.send_baseline_attempt(index);
            return;
        }
        let request = RouteRequest {
            ticket: index as u64,
            workspace: "w".into(),
            service: "s".into(),
            key: None,
            idempotent,
            deadline,
        };
        self.step_gateway(self.gateway_of(index), RouteEvent::Arrive(request));
    }

    /// Schedules the next arrival; several may fall into one millisecond.
    pub(crate) fn schedule_next_arrival(&mut self, gap_ms: f64) {
        self.last_arrival_ms += gap_ms;
        let at = Millis(self.last_arrival_ms as u64).max(self.now);
        if at <= self.scenario.arrivals_until {
            self.schedule(at, ModelEvent::Arrival);
        }
    }

    /// Records the outcome of a request, unless it has one already.
    pub(crate) fn complete_request(&mut self, request: usize, outcome: CallerOutcome) {
        let record = &mut self.requests[request];
        if record.completion.is_none() {
            record.completion = Some((self.now, outcome));
        }
    }
}
