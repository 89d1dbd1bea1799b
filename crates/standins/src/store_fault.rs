//! Faults of the key-value service, set on command, and its counts of calls.

use jy_types::name::Name;
use serde::Deserialize;
use serde::Serialize;

/// Path of [`StoreFault`], by POST.
pub const FAULT_PATH: &str = "/admin/fault";
/// Path of [`CallCounts`], by GET.
pub const COUNTS_PATH: &str = "/admin/counts";

/// How the service is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It refuses every call at once with status 503.
    Refuse,
    /// It answers no call.
    Hang,
}

/// A command that changes the faults. What is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFault {
    /// How the service is out.
    pub outage: Option<Outage>,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: Option<u64>,
    /// The answers of this many writes to come are lost after the writes took effect.
    pub lose_answers: Option<u32>,
    /// The lease that this key is bound to ends now.
    pub lapse_lease_of: Option<Name>,
    /// Deletions are forgotten up to the present revision.
    pub forget_deletions: bool,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultState {
    /// How the service is out.
    pub outage: Outage,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// The answers of this many writes to come are lost.
    pub lose_answers: u32,
}

/// Calls by kind since the start. A waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads: lists.
    pub lists: u64,
    /// Reads: watches.
    pub watches: u64,
    /// Writes: compare-and-swaps.
    pub swaps: u64,
    /// Compare-and-swaps that found another revision.
    pub conflicts: u64,
    /// Writes: leases granted.
    pub lease_grants: u64,
    /// Writes: renewals of leases.
    pub lease_renewals: u64,
    /// Calls refused because of the rate.
    pub limited: u64,
    /// Calls refused or left without an answer by a fault.
    pub faulted: u64,
    /// Bytes of values sent.
    pub bytes_out: u64,
    /// The revision.
    pub revision: u64,
}

impl CallCounts {
    /// Returns all reads.
    #[must_use]
    pub const fn reads(&self) -> u64 {
        self.lists + self.watches
    }

    /// Returns all writes.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.swaps + self.lease_grants + self.lease_renewals
    }
}
