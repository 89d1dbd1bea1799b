//! Whether a request may run with its API key now.
//!
//! Load pattern: requests with keys of tenants while the store is out of reach, and in agents that were frozen. A key may
//! be withdrawn at any time, so an agent relies on its configuration only for a limited time after the last proof that
//! there is nothing newer. Short outages of the store must not affect any request.

use jy_types::time::Millis;

/// Time before the end of the period within which a withdrawn key must be refused, in milliseconds, from which on
/// requests with a key are refused. It covers what the proof's time may be off: one interval of the watch on the
/// store, during which a store that drops its history reports no change.
pub const REVOKE_MARGIN_MS: u64 = 500;

/// Age of the proof, in milliseconds, from which on a key that the configuration does not know may be newer than the
/// configuration. A new configuration is in force everywhere within this time.
pub const MAX_UNKNOWN_KEY_PROOF_AGE_MS: u64 = 2_500;

/// Retry delay of requests that are refused until the next proof, in milliseconds: the interval of the proofs while
/// the store is in reach, if `revoke_ms` is set or the agents of a zone read from one another. In other zones it is
/// twice as long.
pub const NEXT_PROOF_RETRY_MS: u64 = 500;

/// How recent an agent's configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationAge {
    /// Time up to which no newer configuration is missing.
    pub proved_until: Millis,
    /// Time after which a withdrawn key must be refused everywhere, in milliseconds; `None` if there is no such limit.
    pub revoke_ms: Option<u64>,
}

/// Decision on a request that needs an API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The request may run. It must be dispatched before `valid_until`.
    Allowed {
        /// Point until which the key is certain not to be withdrawn for too long.
        valid_until: Millis,
    },
    /// No configuration that may be in force allows the request.
    Rejected,
    /// The configuration may be too old to decide. The request is refused as not run.
    Outdated,
}

impl ConfigurationAge {
    /// Returns the point until which requests with a known key may run.
    #[must_use]
    pub const fn certain_until(self) -> Millis {
        match self.revoke_ms {
            Some(revoke_ms) => self.proved_until.plus(revoke_ms).minus(REVOKE_MARGIN_MS),
            None => Millis::MAX,
        }
    }

    /// Decides whether a request with a key may run now. `is_known` says whether a tenant of the configuration holds
    /// the key.
    #[must_use]
    pub fn decide(self, now: Millis, is_known: bool) -> KeyDecision {
        let valid_until = self.certain_until();
        if !may_dispatch(now, valid_until) {
            return KeyDecision::Outdated;
        }
        if is_known {
            return KeyDecision::Allowed { valid_until };
        }
        if now.since(self.proved_until) > MAX_UNKNOWN_KEY_PROOF_AGE_MS {
            return KeyDecision::Outdated;
        }
        KeyDecision::Rejected
    }
}

/// Whether a request whose key is valid until `valid_until` may be dispatched now. That point is excluded, so that a
/// request is never dispatched with no time left.
#[must_use]
pub fn may_dispatch(now: Millis, valid_until: Millis) -> bool {
    now < valid_until
}
