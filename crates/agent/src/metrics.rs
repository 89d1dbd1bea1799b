//! Metrics of the agent, in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;

use jy_feed::view::ServiceKey;
use jy_types::status::DURATION_METRIC;
use jy_types::status::REQUESTS_METRIC;
use jy_types::status::START_METRIC;
use jy_types::status::UNAVAILABLE_METRIC;
use jy_types::time::WallMillis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::exchange::ExchangeReply;

/// Name of this service in the registry.
pub const SERVICE: &str = "metrics";

/// Upper bounds of the buckets of the duration histogram.
const DURATION_BOUNDS_S: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.012, 0.018, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Label value of requests that were answered.
const SERVED_OUTCOME: &str = "served";

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Labels of metrics by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    workspace: String,
    service: String,
}

/// Labels of metrics by service and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    workspace: String,
    service: String,
    outcome: &'static str,
}

/// Creates the duration histogram of one service.
fn duration_histogram() -> Histogram {
    Histogram::new(DURATION_BOUNDS_S)
}

/// Metrics of the agent and the registry that encodes them.
pub struct AgentMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    durations: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    unavailable: Family<ServiceLabels, Counter<f64, AtomicU64>>,
    lease_left: Gauge<f64, AtomicU64>,
    revision: Gauge,
    units: Gauge,
}

impl AgentMetrics {
    /// Creates and registers the metrics of an agent whose process started at the wall-clock time `started`.
    #[must_use]
    pub fn new(started: WallMillis) -> Self {
        let mut registry = Registry::default();
        let requests = Family::default();
        registry.register(
            REQUESTS_METRIC,
            "Finished requests by outcome",
            requests.clone(),
        );
        let durations = Family::new_with_constructor(duration_histogram as fn() -> Histogram);
        registry.register(
            DURATION_METRIC,
            "Duration of finished requests",
            durations.clone(),
        );
        let unavailable = Family::default();
        registry.register(
            UNAVAILABLE_METRIC,
            "Time during which keys could not be served",
            unavailable.clone(),
        );
        let start: Gauge<f64, AtomicU64> = Gauge::default();
        start.set(seconds(started.0));
        registry.register(START_METRIC, "Start of the process", start);
        let lease_left = Gauge::default();
        registry.register(
            "jy_lease_left_seconds",
            "Time left on the agent's lease",
            lease_left.clone(),
        );
        let revision = Gauge::default();
        registry.register(
            "jy_replica_revision",
            "Revision that the replica is complete to",
            revision.clone(),
        );
        let units = Gauge::default();
        registry.register("jy_units_owned", "Units that the agent owns", units.clone());
        Self {
            registry,
            requests,
            durations,
            unavailable,
            lease_left,
            revision,
            units,
        }
    }

    /// Counts a finished request and, if it was answered, records its duration in milliseconds.
    pub fn record_request(&self, service: &ServiceKey, reply: &ExchangeReply, duration_ms: u64) {
        let outcome = match reply {
            ExchangeReply::Answered(_) => SERVED_OUTCOME,
            ExchangeReply::Refused(refusal) => refusal.kind.name(),
        };
        let labels = OutcomeLabels {
            workspace: service.0.to_string(),
            service: service.1.to_string(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        if outcome == SERVED_OUTCOME {
            self.durations
                .get_or_create(&service_labels(service))
                .observe(seconds(duration_ms));
        }
    }

    /// Adds time during which keys of a service could not be served, in milliseconds.
    pub fn record_unavailable(&self, service: &ServiceKey, millis: u64) {
        if millis > 0 {
            self.unavailable
                .get_or_create(&service_labels(service))
                .inc_by(seconds(millis));
        }
    }

    /// Encodes all metrics as text, with the given current values of the gauges.
    #[must_use]
    pub fn encode(&self, lease_left_ms: u64, revision: u64, units: usize) -> String {
        self.lease_left.set(seconds(lease_left_ms));
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.units.set(i64::try_from(units).unwrap_or(i64::MAX));
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            log::warn!("could not encode the metrics as text");
        }
        text
    }
}

/// Converts milliseconds to seconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds since the Unix epoch fit in 53 bits"
)]
fn seconds(millis: u64) -> f64 {
    millis as f64 / MILLIS_PER_SECOND
}

/// Returns the labels of a service.
fn service_labels(service: &ServiceKey) -> ServiceLabels {
    ServiceLabels {
        workspace: service.0.to_string(),
        service: service.1.to_string(),
    }
}
