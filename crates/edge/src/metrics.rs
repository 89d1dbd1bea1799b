//! Metrics of the agent, in the Prometheus text format.

use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Upper bound of the first latency bucket, in milliseconds. Each further bound is twice the one before.
const FIRST_BUCKET_MS: f64 = 2.0;
/// The last bucket ends at 8 s, past the longest time limit.
const BUCKET_COUNT: u16 = 13;

/// Labels of the request counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Route name; empty if no route was found.
    pub route: String,
    /// Outcome of the request for its caller.
    pub outcome: String,
}

/// Labels of the counter of requests that the gate's queue refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// When it was refused: `at-once`, `overtaken` or `waited`.
    pub point: &'static str,
}

/// All metrics of an agent.
#[derive(Debug)]
pub struct EdgeMetrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from the last byte of a request to its answer, in milliseconds.
    pub caller_ms: Histogram,
    /// Time from a dispatch to the backend server's answer, in milliseconds.
    pub backend_ms: Histogram,
    /// Requests that the backend server rejected.
    pub shed: Counter,
    /// Sends to a further backend server, for retries and hedges.
    pub extra_sends: Counter,
    /// Callers that disconnected before their answer.
    pub gone: Counter,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Live agents.
    pub instances: Gauge,
    /// Time since the store's last answer, in milliseconds.
    pub store_age_ms: Gauge,
    /// Age of the proof that there is no newer configuration, in milliseconds.
    pub configuration_proof_age_ms: Gauge,
    /// Time for which the agent may still grant keys, in milliseconds.
    pub authority_ms: Gauge,
    /// Requests at the gate, queued or running.
    pub gate_busy: Gauge,
    /// Share of the backend server's capacity in use, in percent.
    pub gate_used_percent: Gauge,
    /// Requests that wait at the gate.
    pub gate_waiting: Gauge,
    /// Requests that wait at the gate although they will be late.
    pub gate_waiting_late: Gauge,
    /// Requests that the gate's queue refused.
    pub gate_refused: Family<RefusalLabels, Counter>,
    /// Ranges of keys that the backend server owns.
    pub ranges: Gauge,
    /// Requests of tenants with a quota that got credit.
    pub quota_admitted: Counter,
    /// Requests that were refused because their tenant's quota is used up.
    pub quota_refused: Counter,
    /// Requests that were refused because no holder of their tenant's quota could be reached.
    pub quota_unreachable: Counter,
    /// Credit that this agent lent, in requests, to itself included.
    pub quota_lent: Counter,
    /// Credit requests sent to other agents.
    pub quota_messages: Counter,
    /// Quota slots that this agent holds.
    pub quota_slots: Gauge,
    /// Era of the store in which the agents' records were read.
    pub store_era: Gauge,
    /// Time for which claims are still held back after a new era began, in milliseconds.
    pub held_back_ms: Gauge,
    /// Memory that connections use.
    pub memory: MemoryMetrics,
}

/// Metrics of the memory that connections use. All but the counters are in bytes.
#[derive(Debug, Default)]
pub struct MemoryMetrics {
    /// Budget for all connections.
    pub limit: Gauge,
    /// Largest use so far.
    pub peak: Gauge,
    /// Use for heads of requests and read-ahead.
    pub heads: Gauge,
    /// Use for bodies of requests.
    pub bodies: Gauge,
    /// Use for responses.
    pub responses: Gauge,
    /// Number of responses that are not read on while there is no memory.
    pub waiting: Gauge,
    /// Requests refused for lack of memory.
    pub refused: Counter,
    /// Callers disconnected that did not read their responses.
    pub stalled: Counter,
    /// Bytes of requests that the backend server holds.
    pub held: Gauge,
    /// Bound on them; 0 if there is none.
    pub held_bound: Gauge,
    /// Requests refused since the backend server can't hold them.
    pub held_refused: Counter,
}

impl EdgeMetrics {
    /// Creates and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let buckets = || exponential_buckets(FIRST_BUCKET_MS, 2.0, BUCKET_COUNT);
        let mut metrics = Self {
            registry: Registry::with_prefix("jy"),
            requests: Family::default(),
            caller_ms: Histogram::new(buckets()),
            backend_ms: Histogram::new(buckets()),
            shed: Counter::default(),
            extra_sends: Counter::default(),
            gone: Counter::default(),
            configuration: Gauge::default(),
            instances: Gauge::default(),
            store_age_ms: Gauge::default(),
            configuration_proof_age_ms: Gauge::default(),
            authority_ms: Gauge::default(),
            gate_busy: Gauge::default(),
            gate_used_percent: Gauge::default(),
            gate_waiting: Gauge::default(),
            gate_waiting_late: Gauge::default(),
            gate_refused: Family::default(),
            ranges: Gauge::default(),
            quota_admitted: Counter::default(),
            quota_refused: Counter::default(),
            quota_unreachable: Counter::default(),
            quota_lent: Counter::default(),
            quota_messages: Counter::default(),
            quota_slots: Gauge::default(),
            store_era: Gauge::default(),
            held_back_ms: Gauge::default(),
            memory: MemoryMetrics::default(),
        };
        metrics.register();
        metrics.register_quota();
        metrics
    }

    /// Registers each metric under its name and help text.
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by route and outcome",
            self.requests.clone(),
        );
        registry.register(
            "caller_ms",
            "Request to answer, in ms",
            self.caller_ms.clone(),
        );
        registry.register(
            "backend_ms",
            "Dispatch to answer, in ms",
            self.backend_ms.clone(),
        );
        registry.register("shed", "Rejected by the backend server", self.shed.clone());
        registry.register("extra_sends", "Sent once more", self.extra_sends.clone());
        registry.register("gone", "Callers that left early", self.gone.clone());
        registry.register(
            "configuration",
            "Version in force",
            self.configuration.clone(),
        );
        registry.register("instances", "Live agents", self.instances.clone());
        registry.register(
            "store_age_ms",
            "Store's last answer, ms ago",
            self.store_age_ms.clone(),
        );
        registry.register(
            "configuration_proof_age_ms",
            "Proof that nothing newer is in the store, ms ago",
            self.configuration_proof_age_ms.clone(),
        );
        registry.register(
            "authority_ms",
            "Leave to grant keys, in ms",
            self.authority_ms.clone(),
        );
        registry.register("gate_busy", "Requests at the gate", self.gate_busy.clone());
        registry.register(
            "gate_used_percent",
            "Capacity in use",
            self.gate_used_percent.clone(),
        );
        registry.register(
            "gate_waiting",
            "Requests waiting at the gate",
            self.gate_waiting.clone(),
        );
        registry.register(
            "gate_waiting_late",
            "Waiting requests that will be late",
            self.gate_waiting_late.clone(),
        );
        registry.register(
            "gate_refused",
            "Requests that the gate's queue refused",
            self.gate_refused.clone(),
        );
        registry.register("ranges", "Ranges of keys owned", self.ranges.clone());
        registry.register("store_era", "Era of the store", self.store_era.clone());
        registry.register(
            "held_back_ms",
            "Time for which claims are held back",
            self.held_back_ms.clone(),
        );
        let memory = &self.memory;
        let gauges = [
            ("memory_limit_bytes", "Budget of connections", &memory.limit),
            ("memory_peak_bytes", "Largest use", &memory.peak),
            ("memory_head_bytes", "Heads and read-ahead", &memory.heads),
            ("memory_body_bytes", "Bodies of requests", &memory.bodies),
            ("memory_response_bytes", "Responses", &memory.responses),
            ("memory_waiting", "Responses not read on", &memory.waiting),
            ("held_bytes", "Requests in flight", &memory.held),
            ("held_bound_bytes", "Bound on them", &memory.held_bound),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let refused = memory.refused.clone();
        registry.register("memory_refused", "Refused for lack of memory", refused);
        let held_refused = memory.held_refused.clone();
        registry.register("held_refused", "Refused beyond the bound", held_refused);
        let stalled = memory.stalled.clone();
        registry.register("stalled_callers", "Callers that read nothing", stalled);
    }

    /// Sets the metrics of the memory that connections use.
    pub fn set_memory(&self, budget: &MemoryBudget) {
        let memory = &self.memory;
        let set = |gauge: &Gauge, number: usize| {
            gauge.set(i64::try_from(number).unwrap_or(i64::MAX));
        };
        set(&memory.limit, budget.limit_bytes());
        set(&memory.peak, budget.peak_bytes());
        set(&memory.heads, budget.used_bytes_of(MemoryKind::Head));
        set(&memory.bodies, budget.used_bytes_of(MemoryKind::Body));
        set(
            &memory.responses,
            budget.used_bytes_of(MemoryKind::Response)
                + budget.used_bytes_of(MemoryKind::BackendResponse),
        );
        set(&memory.waiting, budget.waiting());
        let refused = &memory.refused;
        refused.inc_by(budget.refused().saturating_sub(refused.get()));
        let stalled = &memory.stalled;
        stalled.inc_by(budget.stalled().saturating_sub(stalled.get()));
    }

    /// Sets the metrics of the bytes that the backend server holds.
    pub fn set_held(&self, held_bytes: u64, bound: Option<u64>) {
        let set = |gauge: &Gauge, number: u64| {
            gauge.set(i64::try_from(number).unwrap_or(i64::MAX));
        };
        set(&self.memory.held, held_bytes);
        set(&self.memory.held_bound, bound.unwrap_or_default());
    }

    /// Registers the metrics of quotas under their names and help texts.
    fn register_quota(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "quota_admitted",
            "Requests that got credit",
            self.quota_admitted.clone(),
        );
        registry.register(
            "quota_refused",
            "Requests beyond a quota",
            self.quota_refused.clone(),
        );
        registry.register(
            "quota_unreachable",
            "Requests without a lender",
            self.quota_unreachable.clone(),
        );
        registry.register("quota_lent", "Credit lent", self.quota_lent.clone());
        registry.register(
            "quota_messages",
            "Credit requests sent to other agents",
            self.quota_messages.clone(),
        );
        registry.register("quota_slots", "Slots held", self.quota_slots.clone());
    }

    /// Counts a request's outcome.
    pub fn count(&self, route: &str, outcome: &str) {
        let labels = OutcomeLabels {
            route: route.into(),
            outcome: outcome.into(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a request that the gate's queue refused.
    pub fn count_gate_refusal(&self, point: &'static str) {
        let labels = RefusalLabels { point };
        self.gate_refused.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn to_text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        Self::new()
    }
}
