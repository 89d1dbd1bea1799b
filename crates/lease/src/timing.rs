//! Periods of the lease protocol.

use serde::Deserialize;
use serde::Serialize;

/// Periods of the lease protocol, in milliseconds. All agents of a fleet use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
