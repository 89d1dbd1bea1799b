//! Periods of the lease protocol.

use serde::Deserialize;
use serde::Serialize;

/// Periods of the lease protocol, in milliseconds. All agents of a fleet use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTiming {
    /// A support lasts this long on the holder's clock.
    pub ttl_ms: u64,
    /// A monitor's promise lasts this much longer on its own clock; covers clock drift.
    pub drift_margin_ms: u64,
    /// Time between renewals.
    pub renew_every_ms: u64,
    /// A monitor supports others until its own lease has been over for this long.
    pub monitor_grace_ms: u64,
    /// A new owner waits this long after a verdict before it serves.
    pub dispatch_margin_ms: u64,
}

impl LeaseTiming {
    /// How long a monitor's promise lasts on its own clock.
    #[must_use]
    pub const fn promise_ms(&self) -> u64 {
        self.ttl_ms + self.drift_margin_ms
    }

    /// How long after a monitor was found over nobody counts on its supports any more, on the
    /// finder's clock.
    ///
    /// The monitor may have given its last support one grace after its own lease, and that support
    /// lasts one TTL. The drift margin is stated for one TTL, so it grows with the whole wait.
    #[must_use]
    pub const fn ended_wait_ms(&self) -> u64 {
        let span = self.ttl_ms + self.monitor_grace_ms;
        span + (span * self.drift_margin_ms).div_ceil(self.ttl_ms)
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
