//! Choice between endpoints of a service that is not divided by key.
//!
//! Each endpoint has a cost: the requests that wait for it, as its gate told with its last answer
//! and as this gateway knows of its own, times the time that it takes. Of two endpoints drawn at
//! random the cheaper one gets the request.

use std::collections::BTreeMap;

use jy_types::member::AgentId;
use jy_types::time::Millis;
use rand::Rng;

/// What a gate told of its load counts half after this time, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 100.0;

/// A slow answer counts half after this time, in milliseconds.
const TIME_HALF_LIFE_MS: f64 = 300.0;

/// Weight of a new answer that is not slower than the mean.
const TIME_WEIGHT: f64 = 0.1;

/// An endpoint that could not be reached is passed over this long, in milliseconds.
const AVOID_MS: u64 = 1_000;

/// What the gateway knows of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    own: u32,
    reported: u32,
    reported_at: Millis,
    mean_ms: f64,
    mean_at: Millis,
    avoid_until: Millis,
}

impl EndpointLoad {
    /// Expected work before a new request would be done.
    fn cost(&self, now: Millis) -> f64 {
        let age = now.since(self.reported_at) as f64;
        let reported = f64::from(self.reported) * 0.5_f64.powf(age / LOAD_HALF_LIFE_MS);
        let waiting = reported.max(f64::from(self.own));
        (waiting + 1.0) * self.time_ms(now).max(1.0)
    }

    /// Time that the endpoint takes, in milliseconds; it fades while nothing is heard.
    fn time_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.mean_at) as f64;
        self.mean_ms * 0.5_f64.powf(age / TIME_HALF_LIFE_MS)
    }

    /// Takes the time of an answer: a slow one at once, a fast one little by little.
    fn observe(&mut self, now: Millis, elapsed_ms: u64) {
        let elapsed = elapsed_ms as f64;
        let faded = self.time_ms(now);
        self.mean_ms = if elapsed > faded {
            elapsed
        } else {
            faded + (elapsed - faded) * TIME_WEIGHT
        };
        self.mean_at = now;
    }
}

/// Loads of all endpoints that the gateway has sent to.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: BTreeMap<AgentId, EndpointLoad>,
}

impl LoadTable {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops endpoints that are gone and have nothing outstanding.
    pub fn retain(&mut self, is_present: impl Fn(&AgentId) -> bool) {
        self.loads.retain(|id, load| load.own > 0 || is_present(id));
    }

    /// Counts a request that was sent.
    pub fn sent(&mut self, to: &AgentId) {
        if let Some(load) = self.loads.get_mut(to) {
            load.own += 1;
            return;
        }
        let load = EndpointLoad {
            own: 1,
            ..EndpointLoad::default()
        };
        self.loads.insert(to.clone(), load);
    }

    /// Counts the end of an attempt, with the load that the gate told.
    pub fn ended(&mut self, now: Millis, to: &AgentId, reported: Option<u32>) {
        let Some(load) = self.loads.get_mut(to) else {
            return;
        };
        load.own = load.own.saturating_sub(1);
        if let Some(reported) = reported {
            load.reported = reported;
            load.reported_at = now;
        }
    }

    /// Takes the time of an answer.
    pub fn answered(&mut self, now: Millis, to: &AgentId, elapsed_ms: u64) {
        if let Some(load) = self.loads.get_mut(to) {
            load.observe(now, elapsed_ms);
        }
    }

    /// Passes over an endpoint for a moment.
    pub fn avoid(&mut self, now: Millis, to: &AgentId) {
        if let Some(load) = self.loads.get_mut(to) {
            load.avoid_until = now.plus(AVOID_MS);
        }
    }

    /// Chooses the cheaper of two endpoints drawn at random, passing over those that could not be
    /// reached, as long as others are left, and those in `tried`.
    pub fn pick(
        &self,
        now: Millis,
        endpoints: &[AgentId],
        tried: &[AgentId],
        rng: &mut impl Rng,
    ) -> Option<AgentId> {
        let fresh = |id: &&AgentId| !tried.contains(id);
        let reachable = |id: &&AgentId| {
            let load = self.loads.get(*id);
            load.is_none_or(|load| load.avoid_until <= now)
        };
        let best: Vec<&AgentId> = endpoints.iter().filter(fresh).filter(reachable).collect();
        if !best.is_empty() {
            return self.pick_of(now, &best, rng);
        }
        let rest: Vec<&AgentId> = endpoints.iter().filter(fresh).collect();
        self.pick_of(now, &rest, rng)
    }

    /// Chooses the cheaper of two.
    fn pick_of(&self, now: Millis, from: &[&AgentId], rng: &mut impl Rng) -> Option<AgentId> {
        let first = rng.random_range(0..from.len().max(1));
        let one = *from.get(first)?;
        if from.len() == 1 {
            return Some(one.clone());
        }
        let step = rng.random_range(1..from.len());
        let other = from[(first + step) % from.len()];
        let cost = |id: &AgentId| self.loads.get(id).map_or(0.0, |load| load.cost(now));
        let choice = if cost(other) < cost(one) { other } else { one };
        Some(choice.clone())
    }
}
