//! Commands that inject faults into the key-value service, and its counters of calls.

use jy_types::name::Name;
use serde::Deserialize;
use serde::Serialize;

/// Path of [`StoreFault`], by POST.
pub const FAULT_PATH: &str = "/admin/fault";
/// Path of [`CallCounts`], by GET.
pub const COUNTS_PATH: &str = "/admin/counts";

/// Kind of an outage of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage: calls are answered.
    #[default]
    None,
    /// Every call is refused at once with status 503.
    Refuse,
    /// Calls are not answered.
    Hang,
}

/// A command that changes the faults. Fields that are left out change nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFault {
    /// Outage from now on.
    pub outage: Option<Outage>,
    /// Delay of every call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of next writes that take effect but whose answers are lost.
    pub lose_answers: Option<u32>,
    /// Key whose lease ends now.
    pub lapse_lease_of: Option<Name>,
    /// Whether to discard all deletions up to the current revision, so that earlier watches must list again.
    pub forget_deletions: bool,
}

/// Faults in effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultState {
    /// Current outage.
    pub outage: Outage,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes whose answers are lost.
    pub lose_answers: u32,
}

/// Counters of calls since the process started. A waiting watch counts as one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Lists, which count as reads.
    pub lists: u64,
    /// Watches, which count as reads.
    pub watches: u64,
    /// Compare-and-swaps, which count as writes.
    pub swaps: u64,
    /// Compare-and-swaps that failed: the key had another revision or the lease had ended.
    pub conflicts: u64,
    /// Calls to grant a lease, which count as writes.
    pub lease_grants: u64,
    /// Calls to renew a lease, which count as writes.
    pub lease_renewals: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
    /// Calls that a fault refused or left without an answer.
    pub faulted: u64,
    /// Bytes of values sent in answers.
    pub bytes_out: u64,
    /// Revision of the last write.
    pub revision: u64,
}

impl CallCounts {
    /// Returns the number of all reads.
    #[must_use]
    pub const fn reads(&self) -> u64 {
        self.lists + self.watches
    }

    /// Returns the number of all writes.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.swaps + self.lease_grants + self.lease_renewals
    }
}
