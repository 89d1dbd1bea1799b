//! Periods of the lease protocol.

use serde::Deserialize;
use serde::Serialize;

/// Periods of the lease protocol, in milliseconds. All agents of a fleet use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTiming {
    /// How long a monitor's support lasts on the holder's clock.
    pub ttl_ms: u64,
    /// How much longer than the TTL a monitor's promise lasts on the monitor's clock; covers clock drift.
    pub drift_margin_ms: u64,
    /// Interval between renewals.
    pub renew_every_ms: u64,
    /// How long after the end of its own lease a monitor still supports other agents.
    pub monitor_grace_ms: u64,
    /// How long a new owner waits after a verdict before it serves.
    pub dispatch_margin_ms: u64,
}

impl LeaseTiming {
    /// How long a monitor's promise lasts on the monitor's clock.
    #[must_use]
    pub const fn promise_ms(&self) -> u64 {
        self.ttl_ms + self.drift_margin_ms
    }

    /// How long after a monitor was found dead all of its support has expired, on the clock of the
    /// process that found it dead.
    ///
    /// The monitor may have given its last support one grace period after the end of its own lease, and
    /// that support lasts one TTL. The drift margin is stated for one TTL, so it is scaled to the whole
    /// wait.
    #[must_use]
    pub const fn ended_wait_ms(&self) -> u64 {
        let unscaled_ms = self.ttl_ms + self.monitor_grace_ms;
        unscaled_ms + (unscaled_ms * self.drift_margin_ms).div_ceil(self.ttl_ms)
    }
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl_ms: 2_000,
            drift_margin_ms: 60,
            renew_every_ms: 500,
            monitor_grace_ms: 4_000,
            dispatch_margin_ms: 250,
        }
    }
}
