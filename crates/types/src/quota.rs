//! Slots of the tenants' quotas, and the messages by which agents lend credit to each other.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Number of parts into which a tenant's quota is divided.
pub const QUOTA_PARTS: u8 = 3;
/// Number of groups over which tenants are distributed.
pub const QUOTA_GROUPS: u8 = 16;

/// One part of the quotas of one group of tenants. One agent holds it at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotId {
    /// Part, below [`QUOTA_PARTS`].
    pub part: u8,
    /// Group, below [`QUOTA_GROUPS`].
    pub group: u8,
}

/// Error of parsing a slot's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidSlot;

impl SlotId {
    /// Iterates over all slots.
    pub fn all() -> impl Iterator<Item = Self> {
        let groups = |part| (0..QUOTA_GROUPS).map(move |group| Self { part, group });
        (0..QUOTA_PARTS).flat_map(groups)
    }
}

impl fmt::Display for SlotId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.part, self.group)
    }
}

impl FromStr for SlotId {
    type Err = InvalidSlot;

    fn from_str(text: &str) -> Result<Self, InvalidSlot> {
        let (part, group) = text.split_once('-').ok_or(InvalidSlot)?;
        let (part, group) = (part.parse::<u8>(), group.parse::<u8>());
        let (Ok(part), Ok(group)) = (part, group) else {
            return Err(InvalidSlot);
        };
        let slot = Self { part, group };
        // The names are unique, so that no slot has two records.
        let is_valid = part < QUOTA_PARTS && group < QUOTA_GROUPS && slot.to_string() == text;
        is_valid.then_some(slot).ok_or(InvalidSlot)
    }
}

/// The store's record of a slot's holder. The store deletes it when the lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// Instance of the holder.
    pub node: Name,
    /// Run of the holder.
    pub run: Name,
    /// Lease under which the record was written.
    pub lease: u64,
}

/// Credit that was lent and is returned unused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedCredit {
    /// Stamp under which it was lent.
    pub stamp: u64,
    /// Number of requests.
    pub amount: u32,
}

/// A credit request of an agent to the holder of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Tenant.
    pub tenant: Name,
    /// Part of the tenant's quota.
    pub part: u8,
    /// Version of the borrower's configuration.
    pub version: u64,
    /// Number of requests that wait for credit.
    pub needed: u32,
    /// Number of requests for which credit is wanted, those that wait included.
    pub wanted: u32,
    /// Credit that the borrower will not use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<ReturnedCredit>,
}

/// What a holder lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Version of the holder's configuration.
    pub version: u64,
    /// Number of requests for which credit is lent.
    pub lent: u32,
    /// Time from the sending of the credit request for which the credit is valid, in milliseconds.
    pub valid_ms: u64,
    /// Stamp under which the credit is returned.
    pub stamp: u64,
    /// Time until there is credit again, in milliseconds; zero if all that is wanted was lent.
    pub wait_ms: u64,
    /// Time in which credit for one more request accrues at the holder, in milliseconds.
    pub spacing_ms: u64,
}

/// A holder's reply to a credit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CreditReply {
    /// The agent does not hold the slot, or must not lend from it.
    NotHolder,
    /// The agent holds the slot.
    Grant(CreditGrant),
}
