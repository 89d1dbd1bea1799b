//! Store records of the assignment of units to owners.

use serde::Deserialize;
use serde::Serialize;

use crate::key::KeyHash;
use crate::member::AgentId;

/// A fencing token that increases with every grant of a unit. The high bits hold the controller's term, the low
/// bits a counter within the term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    const COUNTER_BITS: u32 = 32;

    /// Creates the fence of the `counter`-th grant of `term`.
    #[must_use]
    pub const fn new(term: u64, counter: u32) -> Self {
        Self((term << Self::COUNTER_BITS) | counter as u64)
    }
}

/// The ownership of one unit. Owners are indices into the `owners` of the page that contains the grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The owner, or none while the unit is unassigned.
    #[serde(rename = "o", skip_serializing_if = "Option::is_none", default)]
    pub owner: Option<u16>,
    /// The fence of the owner's grant.
    #[serde(rename = "f")]
    pub fence: Fence,
    /// The next owner during a planned move.
    #[serde(rename = "n", skip_serializing_if = "Option::is_none", default)]
    pub next_owner: Option<u16>,
    /// Whether this is the first grant of the unit, so that no earlier owner remembers requests.
    #[serde(rename = "i", skip_serializing_if = "is_false", default)]
    pub initial: bool,
}

/// Whether a flag is unset, in which case serde omits it from the record.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// A single key owned apart from its slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinnedKey {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Its ownership.
    #[serde(flatten)]
    pub grant: Grant,
}

/// One page of the assignment of a keyed service.
///
/// Pages with numbers below [`PAGES`](crate::key::PAGES) contain slices; page `PAGES` contains the pinned keys.
/// The first owner of a pinned key is the owner of its slice. Like every unit, it changes owners only by a
/// planned move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Term of the controller that wrote the page. Every reader rejects a lower term.
    pub term: u64,
    /// Increases with every write of the page.
    pub generation: u64,
    /// Token of the write, which identifies it if the store's reply was lost.
    pub token: u64,
    /// Owners to which the grants refer by index.
    pub owners: Vec<AgentId>,
    /// Grants of the page's slices, in order; empty in the page of pinned keys.
    pub slices: Vec<Grant>,
    /// Pinned keys; empty in the pages of slices.
    pub pins: Vec<PinnedKey>,
}

/// The controller's claim to its role, changed only by compare-and-swap to a higher term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: u64,
    /// The agent that is the controller in this term.
    pub holder: AgentId,
}
