//! Scenarios of the policy trials, and the records that their gateways know.

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
    /// As a new process that says that it is cold.
    Announced,
    /// As a new process that says nothing.
    Unannounced,
    /// It loses its warmth and nothing else changes.
    Silent,
}

/// A figure by time and endpoint.
pub type SlownessFn = Rc<dyn Fn(Millis, usize) -> f64>;

/// A figure by time.
pub type RateFn = Rc<dyn Fn(Millis) -> f64>;

/// What is tried.
#[derive(Clone)]
pub struct PolicyScenario {
    /// Whether the product decides; else the baseline: round robin, three attempts, no limits.
    pub policy: bool,
    /// Backend servers, each beside a gateway and a gate.
    pub endpoints: usize,
    /// Requests that a warm backend server runs at once.
    pub slots: u32,
    /// Least time before a gate gives a cold backend server one request more, in milliseconds.
    pub ramp_step_ms: u64,
    /// Mean time of a run, in milliseconds.
    pub work_ms: f64,
    /// A caller gives up after this time, in milliseconds.
    pub timeout_ms: u64,
    /// Share of requests that may run twice.
    pub idempotent_share: f64,
    /// Requests a second.
    pub rate: RateFn,
    /// How many times slower an endpoint runs.
    pub slowness: SlownessFn,
    /// Which endpoints restart, and when.
    pub restarts: Vec<(Millis, usize)>,
    /// How they do.
    pub restart_kind: RestartKind,
    /// How long no connection is taken at a restart, in milliseconds.
    pub down_ms: u64,
    /// How a cold backend server grows warm.
    pub warmup: WarmupModel,
    /// Callers come until then.
    pub until: Millis,
    /// Whether the events of the first gate are kept.
    pub records: bool,
}

/// Requests a second while the gates grow warm.
const WARM_UP_RATE: f64 = 300.0;

/// The gates have grown warm by then.
pub const MEASURE_FROM: Millis = Millis(20_000);

impl PolicyScenario {
    /// Makes a quiet minute at a rate.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            policy: true,
            endpoints: 3,
            slots: 6,
            ramp_step_ms: GateSettings::default().ramp_step_ms,
            work_ms: 6.0,
            timeout_ms: 500,
            idempotent_share: 0.8,
            rate: Rc::new(move |_| rate),
            slowness: Rc::new(|_, _| 1.0),
            restarts: Vec::new(),
            restart_kind: RestartKind::Announced,
            down_ms: 100,
            warmup: WarmupModel::ByAnswers(10),
            until: MEASURE_FROM.plus(60_000),
            records: false,
        }
        .with_rate(move |_| rate)
    }

    /// Sets the rate after the warm-up.
    #[must_use]
    pub fn with_rate(mut self, rate: impl Fn(Millis) -> f64 + 'static) -> Self {
        self.rate = Rc::new(move |now| {
            if now < MEASURE_FROM.minus(2_000) {
                WARM_UP_RATE
            } else {
                rate(now)
            }
        });
        self
    }

    /// Sets how slow endpoints are.
    #[must_use]
    pub fn with_slowness(mut self, slowness: impl Fn(Millis, usize) -> f64 + 'static) -> Self {
        self.slowness = Rc::new(slowness);
        self
    }

    /// Sets restarts.
    #[must_use]
    pub fn with_restarts(mut self, kind: RestartKind, restarts: &[(u64, usize)]) -> Self {
        self.restart_kind = kind;
        let at = |(after_ms, number): &(u64, usize)| (MEASURE_FROM.plus(*after_ms), *number);
        self.restarts = restarts.iter().map(at).collect();
        self
    }

    /// Sets how a cold backend server grows warm.
    #[must_use]
    pub const fn with_warmup(mut self, warmup: WarmupModel) -> Self {
        self.warmup = warmup;
        self
    }

    /// Leaves the decisions to the baseline.
    #[must_use]
    pub const fn with_baseline(mut self) -> Self {
        self.policy = false;
        self
    }

    /// Sets when callers stop, after the warm-up.
    #[must_use]
    pub const fn with_length(mut self, length_ms: u64) -> Self {
        self.until = MEASURE_FROM.plus(length_ms);
        self
    }

    /// A short trial of slow work with a restart that nobody announces, whose events are kept.
    #[must_use]
    pub fn recorded_cold_start() -> Self {
        let mut scenario = Self::new(0.0);
        scenario.rate = Rc::new(|_| 300.0);
        scenario.work_ms = 40.0;
        scenario.ramp_step_ms = 50;
        scenario.restarts = vec![(Millis(1_500), 0)];
        scenario.restart_kind = RestartKind::Unannounced;
        scenario.until = Millis(3_000);
        scenario.records = true;
        scenario
    }

    /// Requests a second that the backend servers can run.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.endpoints as f64;
        slots * 1_000.0 / self.work_ms
    }
}

impl fmt::Debug for PolicyScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PolicyScenario")
            .field("policy", &self.policy)
            .field("restarts", &self.restarts)
            .finish_non_exhaustive()
    }
}

/// Makes the records of one service that is not divided by key.
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

/// Makes the record of the workspace.
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

/// Makes the record of an agent.
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
