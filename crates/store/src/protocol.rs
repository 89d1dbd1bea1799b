//! Calls of the platform's key-value service, as JSON over HTTP POST.
//!
//! This is the one place that knows the service's interface; the users' own bench will define it
//! later.

use jy_types::name::Name;
use jy_types::record::Record;
use serde::Deserialize;
use serde::Serialize;

/// Path of [`ListCall`].
pub const LIST_PATH: &str = "/v1/list";
/// Path of [`SwapCall`].
pub const SWAP_PATH: &str = "/v1/swap";
/// Path of [`WatchCall`].
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of [`GrantCall`].
pub const LEASE_GRANT_PATH: &str = "/v1/lease/grant";
/// Path of [`RenewCall`].
pub const LEASE_RENEW_PATH: &str = "/v1/lease/renew";

/// Largest value, in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;

/// Lists records by prefix; an exact key is its own prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListCall {
    /// Prefix of the keys.
    pub prefix: Name,
}

/// Waits for records newer than a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCall {
    /// Prefix of the keys.
    pub prefix: Name,
    /// Only records written after this revision.
    pub after: u64,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to [`ListCall`] and [`WatchCall`]: the newest of each key, and the revision up to which
/// that is all. A deleted key appears in a watch with no value. If the service no longer has the
/// deletions after the asked revision it answers status 410 and the caller lists again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsAnswer {
    /// The records.
    pub records: Vec<Record>,
    /// The service's revision.
    pub revision: u64,
}

/// Writes a key if its revision is the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwapCall {
    /// The key.
    pub key: Name,
    /// The revision it must have; zero if it must not be there.
    pub expect: u64,
    /// The value, or none to delete.
    pub value: Option<Name>,
    /// Lease that the key is bound to: it goes when the lease ends.
    pub lease: Option<u64>,
}

/// Answer to [`SwapCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapAnswer {
    /// It took effect at this revision.
    Swapped {
        /// The service's revision of the write.
        revision: u64,
    },
    /// The key has another revision.
    Conflict {
        /// What is there, or none.
        current: Option<Record>,
    },
}

/// Grants a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantCall {
    /// It ends this long after its last renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to [`GrantCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// The lease.
    pub lease: u64,
}

/// Renews a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewCall {
    /// The lease.
    pub lease: u64,
}

/// Answer to [`RenewCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// Whether the lease was still there.
    pub renewed: bool,
}
