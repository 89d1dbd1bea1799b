//! Load balancing between the endpoints of a service, for requests without a key.
//!
//! Of two endpoints drawn at random, the one with the lower cost gets the request. The cost of an endpoint is
//! its latency times the number of its outstanding requests, counting the new one. The outstanding requests
//! are the larger of two counts: the load that its gate reported with the last answer, and the attempts of
//! this gateway that are in flight.

use std::collections::BTreeMap;

use jy_types::member::AgentId;
use jy_types::time::Millis;
use rand::Rng;

/// Half-life of the load that a gate reported, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 100.0;

/// Half-life of the latency estimate while no answer arrives, in milliseconds.
const LATENCY_HALF_LIFE_MS: f64 = 300.0;

/// Weight of the latency of an answer that is not slower than the estimate.
const FAST_ANSWER_WEIGHT: f64 = 0.1;

/// How long an unavailable endpoint is avoided, in milliseconds.
const AVOIDANCE_MS: u64 = 1_000;

/// Load and latency of one endpoint as seen by this gateway.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    outstanding: u32,
    reported: u32,
    reported_at: Millis,
    latency_ms: f64,
    latency_at: Millis,
    avoid_until: Millis,
}

impl EndpointLoad {
    /// Returns the expected time until a new request is answered, in milliseconds.
    fn cost(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.reported_at) as f64;
        let reported = f64::from(self.reported) * 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS);
        let waiting = reported.max(f64::from(self.outstanding));
        (waiting + 1.0) * self.decayed_latency_ms(now).max(1.0)
    }

    /// Returns the latency estimate in milliseconds, decayed by the time since the last answer.
    fn decayed_latency_ms(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.latency_at) as f64;
        self.latency_ms * 0.5_f64.powf(age_ms / LATENCY_HALF_LIFE_MS)
    }

    /// Updates the latency estimate: a slower answer replaces it, a faster one lowers it gradually.
    fn update_latency(&mut self, now: Millis, elapsed_ms: u64) {
        let latency = elapsed_ms as f64;
        let decayed = self.decayed_latency_ms(now);
        self.latency_ms = if latency > decayed {
            latency
        } else {
            decayed + (latency - decayed) * FAST_ANSWER_WEIGHT
        };
        self.latency_at = now;
    }
}

/// Loads of all endpoints to which the gateway has sent requests.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: BTreeMap<AgentId, EndpointLoad>,
}

impl LoadTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes endpoints that are not present and have no outstanding requests.
    pub fn retain(&mut self, is_present: impl Fn(&AgentId) -> bool) {
        self.loads
            .retain(|id, load| load.outstanding > 0 || is_present(id));
    }

    /// Counts an attempt that was sent.
    pub fn record_send(&mut self, to: &AgentId) {
        if let Some(load) = self.loads.get_mut(to) {
            load.outstanding += 1;
            return;
        }
        let load = EndpointLoad {
            outstanding: 1,
            ..EndpointLoad::default()
        };
        self.loads.insert(to.clone(), load);
    }

    /// Counts an attempt that ended, and stores the load that the gate reported with it.
    pub fn record_end(&mut self, now: Millis, to: &AgentId, reported: Option<u32>) {
        let Some(load) = self.loads.get_mut(to) else {
            return;
        };
        load.outstanding = load.outstanding.saturating_sub(1);
        if let Some(reported) = reported {
            load.reported = reported;
            load.reported_at = now;
        }
    }

    /// Records the latency of an answer.
    pub fn record_latency(&mut self, now: Millis, to: &AgentId, elapsed_ms: u64) {
        if let Some(load) = self.loads.get_mut(to) {
            load.update_latency(now, elapsed_ms);
        }
    }

    /// Avoids an unavailable endpoint for `AVOIDANCE_MS`.
    pub fn avoid(&mut self, now: Millis, to: &AgentId) {
        if let Some(load) = self.loads.get_mut(to) {
            load.avoid_until = now.plus(AVOIDANCE_MS);
        }
    }

    /// Chooses the endpoint with the lower cost of two drawn at random. Endpoints in `tried` are excluded;
    /// avoided endpoints are drawn only if no other is left.
    pub fn pick(
        &self,
        now: Millis,
        endpoints: &[AgentId],
        tried: &[AgentId],
        rng: &mut impl Rng,
    ) -> Option<AgentId> {
        let is_untried = |id: &&AgentId| !tried.contains(id);
        let is_not_avoided = |id: &&AgentId| {
            let load = self.loads.get(*id);
            load.is_none_or(|load| load.avoid_until <= now)
        };
        let preferred: Vec<&AgentId> = endpoints
            .iter()
            .filter(is_untried)
            .filter(is_not_avoided)
            .collect();
        if !preferred.is_empty() {
            return self.pick_cheaper(now, &preferred, rng);
        }
        let untried: Vec<&AgentId> = endpoints.iter().filter(is_untried).collect();
        self.pick_cheaper(now, &untried, rng)
    }

    /// Draws two endpoints and returns the one with the lower cost.
    fn pick_cheaper(&self, now: Millis, from: &[&AgentId], rng: &mut impl Rng) -> Option<AgentId> {
        let first_index = rng.random_range(0..from.len().max(1));
        let first_id = *from.get(first_index)?;
        if from.len() == 1 {
            return Some(first_id.clone());
        }
        let offset = rng.random_range(1..from.len());
        let second_id = from[(first_index + offset) % from.len()];
        let cost = |id: &AgentId| self.loads.get(id).map_or(0.0, |load| load.cost(now));
        let choice = if cost(second_id) < cost(first_id) {
            second_id
        } else {
            first_id
        };
        Some(choice.clone())
    }
}
