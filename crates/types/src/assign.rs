//! The assignment of units to owners, as the store records it.

use serde::Deserialize;
use serde::Serialize;

use crate::key::KeyHash;
use crate::member::AgentId;

/// Grows with every grant of a unit: the controller's term above a counter within the term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// Bits of the counter within a term.
    const COUNTER_BITS: u32 = 32;

    /// Makes the fence of the `counter`-th grant of `term`.
    #[must_use]
    pub const fn new(term: u64, counter: u32) -> Self {
        Self((term << Self::COUNTER_BITS) | counter as u64)
    }
}

/// Who owns one unit. Owners are indices into the `owners` of the page around it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The owner, or none while the unit is unassigned.
    #[serde(rename = "o", skip_serializing_if = "Option::is_none", default)]
    pub owner: Option<u16>,
    /// The fence of the owner's grant.
    #[serde(rename = "f")]
    pub fence: Fence,
    /// The owner to come during a planned move.
    #[serde(rename = "n", skip_serializing_if = "Option::is_none", default)]
    pub next: Option<u16>,
    /// Whether this is the first grant ever of the unit: no earlier owner knows of requests.
    #[serde(rename = "i", skip_serializing_if = "is_false", default)]
    pub initial: bool,
}

/// Whether a flag is not set and so left out of the record.
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
    /// Its owner.
    #[serde(flatten)]
    pub grant: Grant,
}

/// One page of the assignment of a keyed service.
///
/// Page numbers below [`PAGES`](crate::key::PAGES) hold slices; the one at `PAGES` holds the
/// pinned keys. The pinned key's first owner is the owner of its slice: it becomes another's only
/// by the planned move that every unit takes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// The controller's term that wrote the page. A lower one is refused by every reader.
    pub term: u64,
    /// Grows with every write of the page.
    pub generation: u64,
    /// Token of the write, to recognise it when its answer was lost.
    pub token: u64,
    /// Owners that the grants refer to.
    pub owners: Vec<AgentId>,
    /// Grants of the page's slices, in order; empty in the page of pinned keys.
    pub slices: Vec<Grant>,
    /// Pinned keys; empty in the pages of slices.
    pub pins: Vec<PinnedKey>,
}

/// The controller's claim, changed only by compare-and-swap to a higher term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: u64,
    /// The agent that holds it.
    pub holder: AgentId,
}
