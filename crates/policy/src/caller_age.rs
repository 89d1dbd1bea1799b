//! Age of the first attempt of a caller that returns after a refusal.
//!
//! Load pattern: backend servers are offered 1.4 to 3 times their capacity. Refused callers return once or twice,
//! each time with a new request id and less time left, and would rank behind all callers that came since. First
//! attempts on a route usually all state the same time limit, so that a smaller one tells how long ago the caller
//! first came.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::routing::RouteRule;
use jy_types::time::Millis;

/// Counts are halved after this time, in milliseconds, so that a limit that callers no longer state is forgotten.
const HALVING_INTERVAL_MS: u64 = 30_000;

/// Number of requests from which a limit is learned.
const MIN_REQUESTS: f64 = 8.0;

/// Share of a route's requests that must state the limit before it is learned.
const LEARN_SHARE: f64 = 0.5;

/// Share below which a learned limit is given up. In an overload, each first attempt is followed by up to two
/// others.
const KEEP_SHARE: f64 = 0.25;

/// Share of requests that may state more than the limit. If it is larger, the limits of first attempts vary.
const MAX_ABOVE_SHARE: f64 = 0.05;

/// Share of requests from which a smaller value is another limit that first attempts state, rather than the rest
/// of the usual one: returning callers state values that differ from each other.
const OTHER_LIMIT_SHARE: f64 = 0.1;

/// Largest number of values that are counted for one route. Returning callers state new values all the time.
const MAX_VALUES: usize = 64;

/// Largest number of routes with counts.
const MAX_ROUTES: usize = 256;

/// Learns the time limit that first attempts state, for each route.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: BTreeMap<Name, RouteLimits>,
}

/// Time limits that the requests of one route state.
#[derive(Clone, Debug)]
struct RouteLimits {
    /// The route as it was when counting began.
    rule: RouteRule,
    values: BTreeMap<u64, ValueCount>,
    total: f64,
    halved_at: Millis,
    limit_ms: Option<u64>,
}

/// How often one value was stated.
#[derive(Clone, Copy, Debug, Default)]
struct ValueCount {
    count: f64,
    last_seen: Millis,
}

impl CallerAges {
    /// Creates an object that has learned nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the time limit that a caller's request states, and returns the age of its first attempt, in
    /// milliseconds. It is zero for first attempts, for limits that are not a rest of the usual one, and on routes
    /// without a usual limit.
    pub fn observe(&mut self, now: Millis, rule: &RouteRule, stated_ms: u64) -> u64 {
        if !self.routes.contains_key(&rule.name) && self.routes.len() >= MAX_ROUTES {
            let is_recent =
                |limits: &RouteLimits| now.since(limits.halved_at) < 2 * HALVING_INTERVAL_MS;
            self.routes.retain(|_, limits| is_recent(limits));
            if self.routes.len() >= MAX_ROUTES {
                return 0;
            }
        }
        let limits = self
            .routes
            .entry(Name::clone(&rule.name))
            .or_insert_with(|| RouteLimits::new(now, rule));
        if !limits.is_of(rule) {
            *limits = RouteLimits::new(now, rule);
        }
        limits.count(now, stated_ms);
        limits.learn();
        limits.age_ms(stated_ms)
    }
}

impl RouteLimits {
    fn new(now: Millis, rule: &RouteRule) -> Self {
        Self {
            rule: rule.clone(),
            values: BTreeMap::new(),
            total: 0.0,
            halved_at: now,
            limit_ms: None,
        }
    }

    /// Whether the counts still hold for a route: it has the same callers, who were told the same times.
    fn is_of(&self, rule: &RouteRule) -> bool {
        let known = &self.rule;
        known.host == rule.host
            && known.prefix == rule.prefix
            && known.timeout_ms == rule.timeout_ms
            && known.objective_ms == rule.objective_ms
    }

    /// Counts a value.
    fn count(&mut self, now: Millis, stated_ms: u64) {
        let intervals = now.since(self.halved_at) / HALVING_INTERVAL_MS;
        if intervals > 0 {
            let factor = 0.5_f64.powf(intervals as f64);
            self.total *= factor;
            for value in self.values.values_mut() {
                value.count *= factor;
            }
            self.halved_at = self.halved_at.plus(intervals * HALVING_INTERVAL_MS);
        }
        if self.values.len() >= MAX_VALUES && !self.values.contains_key(&stated_ms) {
            let rarest = self.values.iter().min_by(|(_, one), (_, other)| {
                let by_count = one.count.total_cmp(&other.count);
                by_count.then(one.last_seen.cmp(&other.last_seen))
            });
            if let Some(rarest) = rarest.map(|(value, _)| *value) {
                self.values.remove(&rarest);
            }
        }
        let value = self.values.entry(stated_ms).or_default();
        value.count += 1.0;
        value.last_seen = now;
        self.total += 1.0;
    }

    /// Learns the limit of first attempts, or gives it up.
    fn learn(&mut self) {
        let has_share = |value: u64, share: f64| self.count_of(value) >= self.total * share;
        let most = self.values.iter();
        let most = most.max_by(|(_, one), (_, other)| one.count.total_cmp(&other.count));
        let candidate = most
            .map(|(value, _)| *value)
            .filter(|value| has_share(*value, LEARN_SHARE));
        let kept = self.limit_ms.filter(|limit| has_share(*limit, KEEP_SHARE));
        self.limit_ms = candidate
            .or(kept)
            .filter(|limit| self.total >= MIN_REQUESTS && self.is_largest(*limit));
    }

    /// Whether hardly any request states more than `limit_ms`.
    fn is_largest(&self, limit_ms: u64) -> bool {
        let above = self.values.range(limit_ms.saturating_add(1)..);
        let above: f64 = above.map(|(_, value)| value.count).sum();
        above <= self.total * MAX_ABOVE_SHARE
    }

    /// Returns how often a value was stated.
    fn count_of(&self, value: u64) -> f64 {
        self.values.get(&value).map_or(0.0, |value| value.count)
    }

    /// Returns the age of the first attempt of a request that states `stated_ms`.
    fn age_ms(&self, stated_ms: u64) -> u64 {
        let is_other_limit = self.count_of(stated_ms) >= self.total * OTHER_LIMIT_SHARE;
        let limit = self.limit_ms.filter(|_| !is_other_limit);
        limit.map_or(0, |limit| limit.saturating_sub(stated_ms))
    }
}
