//! Measures how long keys could not be served, as observed by this gateway.
//!
//! For each service the time is counted once, no matter how many of its slices are unavailable. A slice is
//! unavailable from its first failed attempt until its next answer, or until it has received no request for
//! [`IDLE_SLICE_TIMEOUT_MS`].

use std::collections::BTreeMap;

use jy_feed::view::ServiceKey;
use jy_types::key::SliceId;
use jy_types::time::Millis;

/// A slice that has received no request for this long, in milliseconds, is no longer counted as unavailable.
const IDLE_SLICE_TIMEOUT_MS: u64 = 2_000;

/// Unavailable slices of one service.
#[derive(Clone, Debug, Default)]
struct UnavailableSlices {
    last_failures: BTreeMap<SliceId, Millis>,
    counted_to: Millis,
}

/// Unavailable slices of all services.
#[derive(Clone, Debug, Default)]
pub struct UnavailabilityMeter {
    services: BTreeMap<ServiceKey, UnavailableSlices>,
}

impl UnavailabilityMeter {
    /// Creates a meter without unavailable slices.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed attempt and returns the unavailable milliseconds to add for the service.
    pub fn record_failure(&mut self, now: Millis, service: &ServiceKey, slice: SliceId) -> u64 {
        let counted = self.count(now, service);
        let unavailable = self.services.entry(service.clone()).or_default();
        if unavailable.last_failures.is_empty() {
            unavailable.counted_to = now;
        }
        unavailable.last_failures.insert(slice, now);
        counted
    }

    /// Records an answered attempt and returns the unavailable milliseconds to add for the service.
    pub fn record_success(&mut self, now: Millis, service: &ServiceKey, slice: SliceId) -> u64 {
        if !self.services.contains_key(service) {
            return 0;
        }
        let counted = self.count(now, service);
        if let Some(unavailable) = self.services.get_mut(service) {
            unavailable.last_failures.remove(&slice);
            if unavailable.last_failures.is_empty() {
                self.services.remove(service);
            }
        }
        counted
    }

    /// Returns the unavailable milliseconds of a service that have not been counted yet, and removes slices
    /// that have received no request recently.
    fn count(&mut self, now: Millis, service: &ServiceKey) -> u64 {
        let Some(unavailable) = self.services.get_mut(service) else {
            return 0;
        };
        let last_failure = unavailable
            .last_failures
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        let end = now.min(last_failure.plus(IDLE_SLICE_TIMEOUT_MS));
        let counted = end.since(unavailable.counted_to);
        unavailable.counted_to = now.max(unavailable.counted_to);
        let is_recent = |failure: &Millis| now.since(*failure) <= IDLE_SLICE_TIMEOUT_MS;
        unavailable
            .last_failures
            .retain(|_, failure| is_recent(failure));
        counted
    }
}
