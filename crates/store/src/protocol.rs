//! Calls of the platform's key-value service, sent as JSON over HTTP POST.
//!
//! Only this module defines the interface of the service. It is provisional: the users' own bench will define
//! the final one.

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

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Lists the records whose keys begin with a prefix. A complete key may be given as the prefix.
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
    /// Records written after this revision are returned.
    pub after: u64,
    /// Maximum wait for such a record, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to [`ListCall`] and [`WatchCall`]: the latest record of each key, complete up to a revision. The
/// answer to a watch contains a deleted key without a value. If the service no longer stores the deletions
/// after the requested revision, it answers with status 410 and the caller must list again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsAnswer {
    /// The records.
    pub records: Vec<Record>,
    /// Revision up to which the records are complete.
    pub revision: u64,
}

/// Writes a key if its revision is the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwapCall {
    /// Key to write.
    pub key: Name,
    /// Expected revision of the key; zero if the key must not exist.
    pub expect: u64,
    /// New value; none deletes the key.
    pub value: Option<Name>,
    /// Lease to which the key is bound; the key is deleted when the lease expires.
    pub lease: Option<u64>,
}

/// Answer to [`SwapCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapAnswer {
    /// The write took effect.
    Swapped {
        /// Revision that the service gave the write.
        revision: u64,
    },
    /// The key does not have the expected revision.
    Conflict {
        /// Current record of the key; none if there is none.
        current: Option<Record>,
    },
}

/// Requests a new lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantCall {
    /// Time from the last renewal until the lease expires, in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to [`GrantCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Id of the lease.
    pub lease: u64,
}

/// Renews a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewCall {
    /// Id of the lease.
    pub lease: u64,
}

/// Answer to [`RenewCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// False if the lease has expired.
    pub renewed: bool,
}
