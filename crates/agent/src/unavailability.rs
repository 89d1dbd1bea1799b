//! How long keys could not be served, as this gateway saw it.
//!
//! For each service the time counts once, however many of its slices are out. A slice is out from
//! its first failed attempt to its next answer, or until nobody has asked for it for a while.

use std::collections::BTreeMap;

use jy_feed::view::ServiceKey;
use jy_types::key::SliceId;
use jy_types::time::Millis;

/// A slice that nobody asked for this long is no longer counted as out, in milliseconds.
const ASKED_LIMIT_MS: u64 = 2_000;

/// Slices of one service that are out.
#[derive(Clone, Debug, Default)]
struct ServiceOutage {
    failed: BTreeMap<SliceId, Millis>,
    counted_to: Millis,
}

/// Slices that are out, by service.
#[derive(Clone, Debug, Default)]
pub struct UnavailabilityMeter {
    services: BTreeMap<ServiceKey, ServiceOutage>,
}

impl UnavailabilityMeter {
    /// Makes a meter with nothing out.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a failed attempt and returns the milliseconds to count.
    pub fn note_failed(&mut self, now: Millis, service: &ServiceKey, slice: SliceId) -> u64 {
        let counted = self.count(now, service);
        let outage = self.services.entry(service.clone()).or_default();
        if outage.failed.is_empty() {
            outage.counted_to = now;
        }
        outage.failed.insert(slice, now);
        counted
    }

    /// Notes an answer and returns the milliseconds to count.
    pub fn note_served(&mut self, now: Millis, service: &ServiceKey, slice: SliceId) -> u64 {
        if !self.services.contains_key(service) {
            return 0;
        }
        let counted = self.count(now, service);
        if let Some(outage) = self.services.get_mut(service) {
            outage.failed.remove(&slice);
            if outage.failed.is_empty() {
                self.services.remove(service);
            }
        }
        counted
    }

    /// Returns the milliseconds to count of one service up to now.
    fn count(&mut self, now: Millis, service: &ServiceKey) -> u64 {
        let Some(outage) = self.services.get_mut(service) else {
            return 0;
        };
        let last = outage.failed.values().max().copied().unwrap_or_default();
        let end = now.min(last.plus(ASKED_LIMIT_MS));
        let counted = end.since(outage.counted_to);
        outage.counted_to = now.max(outage.counted_to);
        let asked = |failed: &Millis| now.since(*failed) <= ASKED_LIMIT_MS;
        outage.failed.retain(|_, failed| asked(failed));
        counted
    }
}
