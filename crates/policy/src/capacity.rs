//! Capacity of backend servers of one service that differ in speed.
//!
//! Load pattern: a third of the owners of keys takes more than twice as long for a request as the others. With
//! equal shares of the keys, these owners are full, and their callers wait, while the others are half idle.

/// Service time of a usual backend server, in percent.
const USUAL_PERCENT: u32 = 100;

/// Range of plausible service times, in percent: other load on the machine distorts a measurement.
const MIN_PERCENT: u32 = 25;
const MAX_PERCENT: u32 = 250;

/// Weight of one slot of a usual backend server.
const SLOT_WEIGHT: u32 = 100;

/// Number of measurements of an idle backend server, the shortest of which counts.
pub const MEASUREMENTS: u32 = 3;

/// Time between two measurements, in milliseconds: other load on the machine comes and goes several times a
/// second.
pub const MEASUREMENT_INTERVAL_MS: u64 = 150;

/// Returns the weight of a backend server when keys are divided, from its number of slots and its service time
/// in percent of a usual one's, if known.
#[must_use]
pub fn weight(slots: u32, service_time_percent: Option<u32>) -> u32 {
    let percent = service_time_percent.unwrap_or(USUAL_PERCENT);
    let percent = percent.clamp(MIN_PERCENT, MAX_PERCENT);
    let weight = u64::from(slots) * u64::from(SLOT_WEIGHT * USUAL_PERCENT) / u64::from(percent);
    u32::try_from(weight).unwrap_or(u32::MAX).max(1)
}
