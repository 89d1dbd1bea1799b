//! Keys, their hashes and the slices of the hash space.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Binary logarithm of [`SLICES`].
///
/// With 460 owners, each owns 35 or 36 of the 16,384 slices: this rounding alone causes an imbalance of 1.1 %.
pub const SLICES_LOG2: u32 = 14;

/// Number of slices of each keyed service.
pub const SLICES: u32 = 1 << SLICES_LOG2;

/// Number of slices in one page of the assignment.
pub const PAGE_SLICES: u32 = 1024;

/// Number of pages of each keyed service.
pub const PAGES: u32 = SLICES / PAGE_SLICES;

/// The 64-bit hash of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key exactly as the caller sent it.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self(xxh3_64(key.as_bytes()))
    }

    /// Returns the slice that contains this key.
    #[must_use]
    pub const fn slice(self) -> SliceId {
        SliceId((self.0 >> (u64::BITS - SLICES_LOG2)) as u32)
    }
}

/// One slice of the hash space of a keyed service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SliceId(pub u32);

impl SliceId {
    /// Returns the number of the page that contains this slice, and the slice's index in the page.
    #[must_use]
    pub const fn page(self) -> (u32, usize) {
        (self.0 / PAGE_SLICES, (self.0 % PAGE_SLICES) as usize)
    }
}

/// The unit of ownership and of moves: a slice, or a single hot key pinned outside its slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// All keys of a slice except the pinned ones.
    Slice(SliceId),
    /// One pinned key.
    Key(KeyHash),
}
