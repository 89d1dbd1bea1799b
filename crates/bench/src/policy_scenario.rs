//! Scenarios of the policy trials, and the records that their gateways see.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_gate::api::GateSettings;
use jy_types::member::AgentId;
use jy_types::record::Record;
use jy_types::record::member_key;
use jy_types::record::workspace_key;
use jy_types::time::Millis;
use serde_json::json;

use crate::policy_backend::WarmupModel;

/// How a backend server restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartKind {
    /// A new process starts and announces that it is cold.
    Announced,
    /// A new process starts and does not announce that it is cold.
    Unannounced,
    /// The same process becomes cold, without any announcement.
    Silent,
}

/// Factor on the run time, by time and endpoint.
pub type SlowdownFn = Rc<dyn Fn(Millis, usize) -> f64>;

/// Requests per second, by time.
pub type RateFn = Rc<dyn Fn(Millis) -> f64>;

/// Fleet, load and faults of one simulation run.
#[derive(Clone)]
pub struct PolicyScenario {
    /// Whether gateways and gates apply the routing policy. Otherwise the baseline runs: round robin,
    /// three attempts, no limits.
    pub uses_policy: bool,
    /// Number of backend servers, each with its own gateway and gate.
    pub endpoints: usize,
    /// Requests that a warm backend server runs concurrently.
    pub slots: u32,
    /// Minimum time between two increases of a gate's concurrency limit during a cold start.
    pub ramp_step_ms: u64,
    /// Mean run time of a request at a backend server.
    pub mean_run_ms: f64,
    /// Time after which a caller gives up.
    pub timeout_ms: u64,
    /// Share of requests that are idempotent.
    pub idempotent_share: f64,
    /// Arrival rate of requests.
    pub rate: RateFn,
    /// How many times slower an endpoint runs requests.
    pub slowdown: SlowdownFn,
    /// Times of restarts and the endpoints that restart.
    pub restarts: Vec<(Millis, usize)>,
    /// Kind of all these restarts.
    pub restart_kind: RestartKind,
    /// Time during a restart in which the backend server accepts no connections.
    pub down_ms: u64,
    /// How a cold backend server warms up.
    pub warmup: WarmupModel,
    /// Time at which requests stop arriving.
    pub arrivals_until: Millis,
    /// Whether the events of the first gate are recorded as a trace.
    pub records_trace: bool,
}

/// Arrival rate, in requests per second, while the gates raise their limits from a cold start.
const WARM_UP_RATE_PER_S: f64 = 300.0;

/// Start of the measurements. The gates have reached all slots by then.
pub const MEASURE_FROM: Millis = Millis(20_000);

impl PolicyScenario {
    /// Makes a scenario of one minute at a constant rate without faults, after the warm-up.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            uses_policy: true,
            endpoints: 3,
            slots: 6,
            ramp_step_ms: GateSettings::default().ramp_step_ms,
            mean_run_ms: 6.0,
            timeout_ms: 500,
            idempotent_share: 0.8,
            rate: Rc::new(move |_| rate),
            slowdown: Rc::new(|_, _| 1.0),
            restarts: Vec::new(),
            restart_kind: RestartKind::Announced,
            down_ms: 100,
            warmup: WarmupModel::ByAnswers(10),
            arrivals_until: MEASURE_FROM.plus(60_000),
            records_trace: false,
        }
        .with_rate(move |_| rate)
    }

    /// Sets the arrival rate; the warm-up rate applies until 2 s before the measurements.
    #[must_use]
    pub fn with_rate(mut self, rate: impl Fn(Millis) -> f64 + 'static) -> Self {
        self.rate = Rc::new(move |now| {
            if now < MEASURE_FROM.minus(2_000) {
                WARM_UP_RATE_PER_S
            } else {
                rate(now)
            }
        });
        self
    }

    /// Sets how many times slower endpoints run requests.
    #[must_use]
    pub fn with_slowdown(mut self, slowdown: impl Fn(Millis, usize) -> f64 + 'static) -> Self {
        self.slowdown = Rc::new(slowdown);
        self
    }

    /// Sets restarts, in milliseconds after the start of the measurements.
    #[must_use]
    pub fn with_restarts(mut self, kind: RestartKind, restarts: &[(u64, usize)]) -> Self {
        self.restart_kind = kind;
        let at = |(after_ms, number): &(u64, usize)| (MEASURE_FROM.plus(*after_ms), *number);
        self.restarts = restarts.iter().map(at).collect();
        self
    }

    /// Sets how a cold backend server warms up.
    #[must_use]
    pub const fn with_warmup(mut self, warmup: WarmupModel) -> Self {
        self.warmup = warmup;
        self
    }

    /// Runs the baseline in place of the policy.
    #[must_use]
    pub const fn with_baseline(mut self) -> Self {
        self.uses_policy = false;
        self
    }

    /// Sets how long requests arrive after the warm-up.
    #[must_use]
    pub const fn with_length(mut self, length_ms: u64) -> Self {
        self.arrivals_until = MEASURE_FROM.plus(length_ms);
        self
    }

    /// Makes a short scenario of slow requests and an unannounced restart that records a trace.
    #[must_use]
    pub fn recorded_cold_start() -> Self {
        let mut scenario = Self::new(0.0);
        scenario.rate = Rc::new(|_| 300.0);
        scenario.mean_run_ms = 40.0;
        scenario.ramp_step_ms = 50;
        scenario.restarts = vec![(Millis(1_500), 0)];
        scenario.restart_kind = RestartKind::Unannounced;
        scenario.arrivals_until = Millis(3_000);
        scenario.records_trace = true;
        scenario
    }

    /// Returns the requests per second that the backend servers can run when warm.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.endpoints as f64;
        slots * 1_000.0 / self.mean_run_ms
    }
}

impl fmt::Debug for PolicyScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PolicyScenario")
            .field("policy", &self.uses_policy)
            .field("restarts", &self.restarts)
            .finish_non_exhaustive()
    }
}

/// Makes a view of one unkeyed service, and the ids of its agents.
#[must_use]
pub fn fleet_view(endpoints: usize, slots: u32) -> (Arc<FleetView>, Vec<AgentId>) {
    let ids: Vec<AgentId> = (1..=endpoints as u64)
        .map(|number| AgentId::new(format!("a{number}"), number))
        .collect();
    let mut records = vec![workspace_record(slots)];
    records.extend(ids.iter().map(|id| member_record(id, slots)));
    let (view, _) = FleetView::new().with_records(&records, 1);
    (Arc::new(view), ids)
}

/// Makes the record of a workspace with one unkeyed service.
fn workspace_record(slots: u32) -> Record {
    let target = json!({"availability_percent": 99.9, "latency_percent": 99.0, "latency_ms": 18,
        "key_unavailable_ms": 5000});
    let service = json!({"name": "s", "keyed": false, "slots": slots, "connections": 110,
        "timeout_ms": 1000, "target": target});
    let value = json!({"name": "w", "zones": ["z1"], "services": [service]});
    Record {
        key: workspace_key("w"),
        revision: 1,
        value: Some(value.to_string().into()),
    }
}

/// Makes the record of a live agent.
fn member_record(id: &AgentId, slots: u32) -> Record {
    let addr = "127.0.0.1:1";
    let value = json!({"id": id, "state": "live",
        "place": {"region": "r", "zone": "z1", "rack": "k"},
        "rpc_addr": addr, "forward_addr": addr, "operator_addr": addr,
        "endpoint": {"workspace": "w", "service": "s", "slots": slots, "checks_fence": true},
        "monitors": {"epoch": 0, "monitors": []}, "next_monitors": null, "term": 1});
    Record {
        key: member_key(id),
        revision: 1,
        value: Some(value.to_string().into()),
    }
}
