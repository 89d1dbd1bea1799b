//! Backend servers of unlike speed, some slowed by their neighbours or shedding while they look
//! healthy.
//!
//! Every gate tells its load with each answer. A gateway adds what it has sent since, and prefers the
//! backend server that is expected to answer first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::name::Name;
use jy_types::time::Millis;
use rand::Rng;
use rand::seq::IteratorRandom;

/// What a gate told counts half after this time, in milliseconds: about two requests' work.
const TOLD_HALF_LIFE_MS: f64 = 250.0;

/// Most candidates that are compared for one request; more gain little and cost time.
const MOST_COMPARED: usize = 5;

/// An endpoint in another availability zone must be this much better, since bytes between zones cost.
const OTHER_ZONE_FACTOR: f64 = 1.15;

/// An endpoint that failed is passed over this long after the first failure, in milliseconds; twice as
/// long after each further one.
const FIRST_PASS_OVER_MS: u64 = 250;

/// Longest time for which an endpoint is passed over, in milliseconds.
const LONGEST_PASS_OVER_MS: u64 = 2_000;

/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.1;

/// How much a failing endpoint is avoided: at a share of failures of one half it counts as four times
/// as slow.
const FAILURE_FACTOR: f64 = 6.0;

/// Pace of an endpoint of which nothing is known: fast enough to be tried soon.
pub const UNKNOWN_PACE: f64 = 0.3;

/// What a gate tells of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GateLoad {
    /// Requests that run or wait.
    pub busy: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Time that work takes, in percent of its latency objective.
    pub pace_percent: u32,
    /// Share of the capacity in use, in percent.
    pub used_percent: u32,
}

/// An endpoint that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// Name of the instance.
    pub node: Name,
    /// Whether it lies in the gateway's availability zone.
    pub is_near: bool,
}

/// What a gateway knows of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointView {
    own: u32,
    told: GateLoad,
    told_at: Millis,
    failures: u32,
    pass_over_until: Millis,
    failed_share: f64,
}

/// What a gateway knows of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    views: BTreeMap<Name, EndpointView>,
}

impl EndpointTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, node: &Name) {
        self.views.entry(Name::clone(node)).or_default().own += 1;
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, node: &Name) {
        if let Some(view) = self.views.get_mut(node) {
            view.own = view.own.saturating_sub(1);
        }
    }

    /// Takes in the load that a gate reports.
    pub fn record_report(&mut self, now: Millis, node: &Name, load: GateLoad) {
        let view = self.views.entry(Name::clone(node)).or_default();
        view.told = load;
        view.told_at = now;
        view.failures = 0;
        view.pass_over_until = Millis::default();
    }

    /// Takes note that an endpoint ran a request, well or not.
    pub fn outcome(&mut self, node: &Name, is_good: bool) {
        let view = self.views.entry(Name::clone(node)).or_default();
        let failed = if is_good { 0.0 } else { 1.0 };
        view.failed_share += (failed - view.failed_share) * OUTCOME_WEIGHT;
    }

    /// Takes note that an instance could not be reached.
    pub fn unreachable(&mut self, now: Millis, node: &Name) {
        let view = self.views.entry(Name::clone(node)).or_default();
        let pass_over = FIRST_PASS_OVER_MS << view.failures.min(4);
        view.failures += 1;
        view.pass_over_until = now.plus(pass_over.min(LONGEST_PASS_OVER_MS));
    }

    /// Whether an instance could not be reached a moment ago.
    #[must_use]
    pub fn is_passed_over(&self, now: Millis, node: &Name) -> bool {
        let view = self.views.get(node);
        view.is_some_and(|view| now < view.pass_over_until)
    }

    /// Share of its capacity that an endpoint uses, if it was told within `age_ms`.
    #[must_use]
    pub fn used(&self, now: Millis, node: &Name, age_ms: u64) -> Option<f64> {
        let view = self.views.get(node)?;
        let is_fresh = view.told.slots > 0 && now.since(view.told_at) <= age_ms;
        is_fresh.then(|| f64::from(view.told.used_percent) / 100.0)
    }

    /// Drops endpoints that are gone and have nothing outstanding.
    pub fn retain(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.views
            .retain(|node, view| view.own > 0 || is_present(node));
    }

    /// Chooses an endpoint, leaving out those in `tried`. Those that could not be reached a moment ago
    /// come last.
    pub fn pick(
        &self,
        now: Millis,
        choices: &[RouteChoice],
        tried: &BTreeSet<Name>,
        rng: &mut impl Rng,
    ) -> Option<Name> {
        let fresh: Vec<&RouteChoice> = choices
            .iter()
            .filter(|choice| !tried.contains(&choice.node))
            .collect();
        let reachable: Vec<&RouteChoice> = fresh
            .iter()
            .copied()
            .filter(|choice| !self.is_passed_over(now, &choice.node))
            .collect();
        let from = if reachable.is_empty() {
            fresh
        } else {
            reachable
        };
        let compared = from.into_iter().choose_multiple(rng, MOST_COMPARED);
        let cost = |choice: &&RouteChoice| self.cost(now, choice);
        let best = compared
            .iter()
            .min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
        Some(Name::clone(&best.node))
    }

    /// Expected time to an answer, relative to an idle endpoint of the usual speed.
    fn cost(&self, now: Millis, choice: &RouteChoice) -> f64 {
        let distance = if choice.is_near {
            1.0
        } else {
            OTHER_ZONE_FACTOR
        };
        let Some(view) = self.views.get(&choice.node) else {
            return distance * UNKNOWN_PACE;
        };
        let age = now.since(view.told_at) as f64;
        let fade = 0.5_f64.powf(age / TOLD_HALF_LIFE_MS);
        let slots = f64::from(view.told.slots.max(1));
        let busy = (f64::from(view.told.busy) * fade).max(f64::from(view.own));
        let pace = if view.told.pace_percent == 0 {
            UNKNOWN_PACE
        } else {
            f64::from(view.told.pace_percent) / 100.0
        };
        let crowd = (busy / slots).powi(2);
        let wait = (busy + 1.0 - slots).max(0.0) / slots;
        let failing = 1.0 + view.failed_share * FAILURE_FACTOR;
        distance * pace.max(0.05) * (1.0 + crowd + wait) * failing
    }
}
