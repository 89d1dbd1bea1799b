//! Load balancing among backend servers of different speeds, some of which are slowed by other load on
//! their machine or shed requests while they look healthy.
//!
//! Every gate reports its load with each answer. A gateway combines the report with its own outstanding
//! requests and prefers the backend server that is expected to answer first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::name::Name;
use jy_types::time::Millis;
use rand::Rng;
use rand::seq::IteratorRandom;

/// Half-life of a reported load: about the service time of two requests.
const REPORT_HALF_LIFE_MS: f64 = 250.0;

/// Number of randomly sampled candidates of the gateway's own availability zone, and of all others, that are
/// compared for one request; more gain little and cost time. In a large fleet with many zones, a common sample
/// would often have none of the own zone.
const MAX_COMPARED_PER_ZONE: usize = 3;

/// Cost factor of an endpoint in another availability zone, since traffic between zones is charged.
const CROSS_ZONE_COST_FACTOR: f64 = 1.15;

/// Cost added to an endpoint in another availability zone for a request with a large body, as a share of the
/// latency objective.
const LARGE_BODY_CROSS_ZONE_COST: f64 = 0.2;

/// Cost added to an endpoint on another instance for a request with a large body, as a share of the latency
/// objective.
const LARGE_BODY_LINK_COST: f64 = 0.2;

/// Time for which an endpoint is avoided after the first failure to reach it; doubled after each further one.
const INITIAL_BACKOFF_MS: u64 = 250;

const MAX_BACKOFF_MS: u64 = 2_000;

/// Weight of the newest outcome in the moving failure ratio.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Cost added per unit of failure ratio: an endpoint at which half of the requests fail counts as four
/// times as slow.
const FAILURE_COST_FACTOR: f64 = 6.0;

/// Assumed service time of an endpoint without a report, relative to the latency objective: low enough that
/// the endpoint is tried soon.
pub const DEFAULT_SERVICE_TIME_RATIO: f64 = 0.3;

/// Load of a backend server as its gate reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GateLoad {
    /// Number of running and waiting requests.
    pub busy: u32,
    /// Number of requests that run at once.
    pub slots: u32,
    /// Expected service time, in percent of the latency objective.
    pub service_time_percent: u32,
    /// Share of the capacity in use, in percent.
    pub used_percent: u32,
    /// Time until the link to the gate would admit another large body, in milliseconds.
    pub transfer_backlog_ms: u32,
}

/// An endpoint that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// Name of the instance.
    pub node: Name,
    /// Whether the instance is in the gateway's availability zone.
    pub is_same_zone: bool,
}

/// What a request asks of the endpoint that is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct PickDemand<'a> {
    /// Instances that are not to be asked again.
    pub tried: &'a BTreeSet<Name>,
    /// The large body of the request, if it has one.
    pub large_body: Option<LargeBody<'a>>,
}

/// A large body that is to be sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct LargeBody<'a> {
    /// Instance that has the body: an endpoint there needs no transfer.
    pub at: &'a str,
    /// Latency objective of the request, in milliseconds.
    pub objective_ms: u64,
}

impl<'a> PickDemand<'a> {
    /// Creates the demand of a request without a large body.
    #[must_use]
    pub const fn new(tried: &'a BTreeSet<Name>) -> Self {
        Self {
            tried,
            large_body: None,
        }
    }

    /// Sets the large body of the request.
    #[must_use]
    pub const fn with_large_body(mut self, body: LargeBody<'a>) -> Self {
        self.large_body = Some(body);
        self
    }
}

/// State that a gateway keeps for one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointState {
    outstanding: u32,
    report: GateLoad,
    reported_at: Millis,
    consecutive_failures: u32,
    backoff_until: Millis,
    failure_ratio: f64,
}

/// State that a gateway keeps for all endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<Name, EndpointState>,
}

impl EndpointTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request as sent to an endpoint.
    pub fn record_sent(&mut self, node: &Name) {
        self.endpoints
            .entry(Name::clone(node))
            .or_default()
            .outstanding += 1;
    }

    /// Counts a request to an endpoint as ended.
    pub fn record_ended(&mut self, node: &Name) {
        if let Some(endpoint) = self.endpoints.get_mut(node) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
    }

    /// Records the load that a gate reports. A report also ends the time for which the endpoint is avoided.
    pub fn record_report(&mut self, now: Millis, node: &Name, load: GateLoad) {
        let endpoint = self.endpoints.entry(Name::clone(node)).or_default();
        endpoint.report = load;
        endpoint.reported_at = now;
        endpoint.consecutive_failures = 0;
        endpoint.backoff_until = Millis::default();
    }

    /// Records whether a request that an endpoint ran succeeded.
    pub fn record_outcome(&mut self, node: &Name, is_good: bool) {
        let endpoint = self.endpoints.entry(Name::clone(node)).or_default();
        let failed = if is_good { 0.0 } else { 1.0 };
        endpoint.failure_ratio += (failed - endpoint.failure_ratio) * OUTCOME_WEIGHT;
    }

    /// Records a failure to reach an instance.
    pub fn record_unreachable(&mut self, now: Millis, node: &Name) {
        let endpoint = self.endpoints.entry(Name::clone(node)).or_default();
        let backoff_ms = INITIAL_BACKOFF_MS << endpoint.consecutive_failures.min(4);
        endpoint.consecutive_failures += 1;
        endpoint.backoff_until = now.plus(backoff_ms.min(MAX_BACKOFF_MS));
    }

    /// Returns whether an instance is avoided because it could not be reached.
    #[must_use]
    pub fn is_backing_off(&self, now: Millis, node: &Name) -> bool {
        let endpoint = self.endpoints.get(node);
        endpoint.is_some_and(|endpoint| now < endpoint.backoff_until)
    }

    /// Returns the share of its capacity that an endpoint uses, if reported within the last `age_ms`.
    #[must_use]
    pub fn used_share(&self, now: Millis, node: &Name, age_ms: u64) -> Option<f64> {
        let endpoint = self.endpoints.get(node)?;
        let is_fresh = endpoint.report.slots > 0 && now.since(endpoint.reported_at) <= age_ms;
        is_fresh.then(|| f64::from(endpoint.report.used_percent) / 100.0)
    }

    /// Removes endpoints that are no longer present and have no outstanding requests.
    pub fn retain(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.endpoints
            .retain(|node, endpoint| endpoint.outstanding > 0 || is_present(node));
    }

    /// Chooses an endpoint that is not in `tried`. Endpoints that are avoided because they could not be
    /// reached are chosen only if there is no other.
    pub fn pick(
        &self,
        now: Millis,
        choices: &[RouteChoice],
        demand: PickDemand<'_>,
        rng: &mut impl Rng,
    ) -> Option<Name> {
        let untried: Vec<&RouteChoice> = choices
            .iter()
            .filter(|choice| !demand.tried.contains(&choice.node))
            .collect();
        let reachable: Vec<&RouteChoice> = untried
            .iter()
            .copied()
            .filter(|choice| !self.is_backing_off(now, &choice.node))
            .collect();
        let candidates = if reachable.is_empty() {
            untried
        } else {
            reachable
        };
        // A large body costs so much more than a comparison that all endpoints are compared.
        let compared = if demand.large_body.is_some() {
            candidates
        } else {
            sample_both_zones(candidates, rng)
        };
        let cost = |choice: &&RouteChoice| {
            self.cost(now, choice) + self.transfer_cost(now, choice, demand.large_body)
        };
        let best = compared
            .iter()
            .min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
        Some(Name::clone(&best.node))
    }

    /// Returns the cost of sending a large body to an endpoint: the expected wait for its link, the
    /// transfer and the traffic between zones, as a multiple of the latency objective.
    fn transfer_cost(
        &self,
        now: Millis,
        choice: &RouteChoice,
        large_body: Option<LargeBody<'_>>,
    ) -> f64 {
        let Some(body) = large_body.filter(|body| *body.at != *choice.node) else {
            return 0.0;
        };
        let endpoint = self.endpoints.get(&choice.node);
        let backlog_ms = endpoint.map_or(0.0, |endpoint| {
            let reported_ms = f64::from(endpoint.report.transfer_backlog_ms);
            (reported_ms - now.since(endpoint.reported_at) as f64).max(0.0)
        });
        let link_cost = if choice.is_same_zone {
            LARGE_BODY_LINK_COST
        } else {
            LARGE_BODY_LINK_COST + LARGE_BODY_CROSS_ZONE_COST
        };
        backlog_ms / body.objective_ms.max(1) as f64 + link_cost
    }

    /// Returns the expected time to an answer as a multiple of the latency objective, increased for an endpoint
    /// in another availability zone and for failures.
    fn cost(&self, now: Millis, choice: &RouteChoice) -> f64 {
        let zone_factor = if choice.is_same_zone {
            1.0
        } else {
            CROSS_ZONE_COST_FACTOR
        };
        let Some(endpoint) = self.endpoints.get(&choice.node) else {
            return zone_factor * DEFAULT_SERVICE_TIME_RATIO;
        };
        let age = now.since(endpoint.reported_at) as f64;
        let decay = 0.5_f64.powf(age / REPORT_HALF_LIFE_MS);
        let slots = f64::from(endpoint.report.slots.max(1));
        let busy = (f64::from(endpoint.report.busy) * decay).max(f64::from(endpoint.outstanding));
        let service_time = if endpoint.report.service_time_percent == 0 {
            DEFAULT_SERVICE_TIME_RATIO
        } else {
            f64::from(endpoint.report.service_time_percent) / 100.0
        };
        let contention = (busy / slots).powi(2);
        let wait = (busy + 1.0 - slots).max(0.0) / slots;
        let failure_factor = 1.0 + endpoint.failure_ratio * FAILURE_COST_FACTOR;
        zone_factor * service_time.max(0.05) * (1.0 + contention + wait) * failure_factor
    }
}

/// Samples up to [`MAX_COMPARED_PER_ZONE`] endpoints of the gateway's availability zone and as many of others.
fn sample_both_zones<'a>(
    candidates: Vec<&'a RouteChoice>,
    rng: &mut impl Rng,
) -> Vec<&'a RouteChoice> {
    let (own_zone, others): (Vec<&RouteChoice>, Vec<&RouteChoice>) = candidates
        .into_iter()
        .partition(|choice| choice.is_same_zone);
    let mut sampled = own_zone
        .into_iter()
        .choose_multiple(rng, MAX_COMPARED_PER_ZONE);
    sampled.extend(
        others
            .into_iter()
            .choose_multiple(rng, MAX_COMPARED_PER_ZONE),
    );
    sampled
}
