//! Counters of the agent, in the text form of OpenMetrics.

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

/// Name of this service.
pub const SERVICE: &str = "metrics";

/// Bounds of the duration histogram, in seconds.
const DURATION_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.012, 0.018, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Outcome of a request that was answered.
const SERVED: &str = "served";

/// Milliseconds of a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Labels of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    workspace: String,
    service: String,
}

/// Labels of one outcome of a service's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    workspace: String,
    service: String,
    outcome: &'static str,
}

/// Makes the histogram of one service.
fn duration_histogram() -> Histogram {
    Histogram::new(DURATION_BOUNDS)
}

/// The agent's counters.
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
    /// Registers the counters of an agent that started at a point of the wall clock.
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

    /// Counts a finished request and, if it was answered, how long that took in milliseconds.
    pub fn note_request(&self, service: &ServiceKey, reply: &ExchangeReply, took_ms: u64) {
        let outcome = match reply {
            ExchangeReply::Answered(_) => SERVED,
            ExchangeReply::Refused(refusal) => refusal.kind.name(),
        };
        let labels = OutcomeLabels {
            workspace: service.0.to_string(),
            service: service.1.to_string(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        if outcome == SERVED {
            self.durations
                .get_or_create(&service_labels(service))
                .observe(seconds(took_ms));
        }
    }

    /// Counts time during which keys of a service could not be served, in milliseconds.
    pub fn note_unavailable(&self, service: &ServiceKey, millis: u64) {
        if millis > 0 {
            self.unavailable
                .get_or_create(&service_labels(service))
                .inc_by(seconds(millis));
        }
    }

    /// Writes all counters as text.
    #[must_use]
    pub fn encode(&self, lease_left_ms: u64, revision: u64, units: usize) -> String {
        self.lease_left.set(seconds(lease_left_ms));
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.units.set(i64::try_from(units).unwrap_or(i64::MAX));
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            log::warn!("the counters could not be written as text");
        }
        text
    }
}

/// Returns milliseconds as seconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds of a date fit 53 bits"
)]
fn seconds(millis: u64) -> f64 {
    millis as f64 / MILLIS_PER_SECOND
}

/// Labels of a service.
fn service_labels(service: &ServiceKey) -> ServiceLabels {
    ServiceLabels {
        workspace: service.0.to_string(),
        service: service.1.to_string(),
    }
}
