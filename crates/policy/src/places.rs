//! Places for callers that return after a refusal.
//!
//! Load pattern: a crowd is refused within a short time. Callers that are all told the same delay return together
//! and are refused together again.

use std::collections::BTreeMap;

use jy_types::time::Millis;

/// Share of the longest delay over which callers are spread for whom no place is free in time.
const SPREAD_SHARE: f64 = 0.25;

/// Step of the sequence that spreads callers: the fraction of the golden ratio. Any number of successive multiples
/// is nearly even.
const SPREAD_STEP: f64 = 0.618_034;

/// The range of times at which a caller may return.
#[derive(Clone, Copy, Debug)]
pub struct ReturnWindow {
    /// Capacity is not expected to be free before.
    pub earliest: Millis,
    /// The caller ignores a later time.
    pub latest: Millis,
}

/// Next free place of each class in the capacity that is expected to be free.
#[derive(Clone, Debug, Default)]
pub struct RetryPlaces {
    next: BTreeMap<u32, Millis>,
    /// Position in the sequence that spreads callers without a place, from 0 to 1.
    spread: f64,
}

impl RetryPlaces {
    /// Creates places none of which is assigned.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns when a caller is to return. The free capacity serves one caller in `spacing_ms`; infinite if there is
    /// none. A caller for whom no place is free returns as late as it can, which is when a crowd has most likely
    /// ended.
    pub fn assign(
        &mut self,
        now: Millis,
        class: u32,
        window: ReturnWindow,
        spacing_ms: f64,
    ) -> Millis {
        let next = self.next.entry(class).or_default();
        let place = window.earliest.max(*next);
        if place <= window.latest && spacing_ms.is_finite() {
            // The capacity may soon be free again: no class is without places beyond the present window.
            let after_window = window.latest.plus(1);
            *next = place.plus(spacing_ms.ceil() as u64).min(after_window);
            return place;
        }
        self.spread = (self.spread + SPREAD_STEP).fract();
        let longest_ms = window.latest.since(now) as f64;
        window
            .latest
            .minus((longest_ms * SPREAD_SHARE * self.spread) as u64)
    }
}
