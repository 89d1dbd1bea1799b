//! Key range table of a service.

use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::ReleasedRange;
use jy_types::name::Name;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Result with a [`TableError`].
pub type Result<T> = std::result::Result<T, TableError>;

/// Number of keys of a service.
pub const KEY_COUNT: u32 = 65_536;
/// Fences of one era of the store, as a power of two. The first fence of an era exceeds all fences of the eras before
/// it, including those whose record was lost.
const ERA_FENCE_BITS: u32 = 32;

/// Reason why a table cannot be read or written.
#[derive(Debug, Error)]
pub enum TableError {
    /// The text is not a table in JSON, or the table cannot be serialized.
    #[error("cannot convert key range table from or to JSON: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The ranges have gaps or overlap.
    #[error("key range table is not contiguous at key {key}")]
    Uncovered {
        /// Key that follows the last contiguous range; no valid range begins there.
        key: u32,
    },
}

/// Owner of keys: an incarnation of a backend server and the instance it runs on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RangeOwner {
    /// Name of the instance.
    pub node: Name,
    /// The incarnation of its backend server.
    #[serde(rename = "life")]
    pub incarnation: BackendIncarnation,
}

/// A range of keys with its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The current owner.
    pub owner: RangeOwner,
    /// Fence of the grant; the fence of a key only increases.
    pub fence: u64,
    /// State that the previous owner handed over for a warm start; empty if there is none.
    pub handover: Name,
    /// The owner to which the range moves once the current owner has released it.
    #[serde(rename = "next")]
    pub next_owner: Option<RangeOwner>,
}

impl KeyRange {
    /// Returns whether the range contains a key.
    #[must_use]
    pub const fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// All key ranges of a service, in order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTable {
    /// Fence of the next grant.
    next_fence: u64,
    ranges: Vec<KeyRange>,
    /// Era of the store in which the table was written.
    #[serde(default, skip_serializing_if = "is_zero")]
    era: u64,
    /// Whether the era may not be settled: owners may still have to put the ranges that they hold into the table.
    #[serde(default, skip_serializing_if = "is_false")]
    incomplete: bool,
}

/// Whether a number is zero.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Whether a flag is false.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Returns the first fence of an era of the store.
#[must_use]
pub const fn first_fence(era: u64) -> u64 {
    era.saturating_mul(1 << ERA_FENCE_BITS)
}

impl RangeTable {
    /// Divides all keys among owners in proportion to their weights. Returns `None` if the total weight is
    /// zero.
    #[must_use]
    pub fn new(owners: &[(RangeOwner, u32)]) -> Option<Self> {
        let total: u64 = owners.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut ranges = Vec::new();
        let (mut cumulative_weight, mut first) = (0_u64, 0_u32);
        for (owner, weight) in owners {
            cumulative_weight += u64::from(*weight);
            let end = u32::try_from(u64::from(KEY_COUNT) * cumulative_weight / total)
                .unwrap_or(KEY_COUNT);
            if end > first {
                ranges.push(KeyRange {
                    first: key_of(first),
                    last: key_of(end - 1),
                    owner: owner.clone(),
                    fence: 1,
                    handover: "".into(),
                    next_owner: None,
                });
                first = end;
            }
        }
        Some(Self {
            next_fence: 2,
            ranges,
            era: 0,
            incomplete: false,
        })
    }

    /// Parses a table and checks that each key has exactly one owner.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Malformed`] if the text is not a table in JSON, and [`TableError::Uncovered`] if
    /// its ranges have gaps or overlap.
    pub fn parse(text: &str) -> Result<Self> {
        let table: Self = serde_json::from_str(text)?;
        let mut next = 0_u32;
        for range in &table.ranges {
            if u32::from(range.first) != next || range.last < range.first {
                return Err(TableError::Uncovered { key: next });
            }
            next = u32::from(range.last) + 1;
        }
        if next == KEY_COUNT {
            Ok(table)
        } else {
            Err(TableError::Uncovered { key: next })
        }
    }

    /// Serializes the table to JSON.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Malformed`] if serialization fails.
    pub fn to_text(&self) -> Result<Name> {
        Ok(serde_json::to_string(self)?.into())
    }

    /// Returns all ranges in order.
    #[must_use]
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Returns the era of the store in which the table was written.
    #[must_use]
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Whether owners may still have to put the ranges that they hold into the table, after the store came back from
    /// an older copy.
    #[must_use]
    pub const fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Whether the table was written before an era of the store was settled, or its next fence is below the first one of
    /// the era.
    #[must_use]
    pub const fn precedes_era(&self, era: u64) -> bool {
        self.era < era || self.incomplete || self.next_fence < first_fence(era)
    }

    /// Marks the table as written in an era of the store, or in a later one if it is already. Its next fence is above
    /// all that earlier eras gave out.
    #[must_use]
    pub fn with_era(mut self, era: u64) -> Self {
        self.era = self.era.max(era);
        self.next_fence = self.next_fence.max(first_fence(self.era));
        self
    }

    /// Sets whether owners may still have to put the ranges that they hold into the table.
    #[must_use]
    pub const fn with_incomplete(mut self, is_incomplete: bool) -> Self {
        self.incomplete = is_incomplete;
        self
    }

    /// Gives the matching ranges a new fence and cancels their moves.
    #[must_use]
    pub fn with_new_fences(mut self, matches: impl Fn(&KeyRange) -> bool) -> Self {
        let fence = self.next_fence;
        for range in &mut self.ranges {
            if matches(range) {
                range.fence = fence;
                range.next_owner = None;
            }
        }
        self.next_fence = fence + 1;
        self.merged()
    }

    /// Assigns ranges that `owner` holds to it again, under the fences of its grants, and cancels their moves. The
    /// store has lost the writes by which the owner got them.
    #[must_use]
    pub fn with_held(mut self, owner: &RangeOwner, held: &[GrantedRange]) -> Self {
        for grant in held {
            self.split(grant.first);
            if grant.last < u16::MAX {
                self.split(grant.last + 1);
            }
            for range in &mut self.ranges {
                if range.first >= grant.first && range.last <= grant.last {
                    range.owner = owner.clone();
                    range.fence = grant.fence;
                    range.handover = Name::clone(&grant.handover);
                    range.next_owner = None;
                }
            }
        }
        self.merged()
    }

    /// Whether the table names `owner` as the owner of all keys of `held`, under the fences of its grants.
    #[must_use]
    pub fn lists(&self, owner: &RangeOwner, held: &[GrantedRange]) -> bool {
        held.iter().all(|grant| {
            let mut overlapping = self
                .ranges
                .iter()
                .filter(|range| range.first <= grant.last && grant.first <= range.last);
            overlapping.all(|range| range.owner == *owner && range.fence == grant.fence)
        })
    }

    /// Returns the range that contains a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&KeyRange> {
        let index = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(index)
    }

    /// Iterates over the ranges of an owner.
    pub fn owned<'a>(&'a self, owner: &'a RangeOwner) -> impl Iterator<Item = &'a KeyRange> {
        self.ranges
            .iter()
            .filter(move |range| range.owner == *owner)
    }

    /// Returns the number of keys that an owner will hold after all pending moves.
    #[must_use]
    pub fn width_of(&self, owner: &RangeOwner) -> u32 {
        let holds = |range: &&KeyRange| range.next_owner.as_ref().unwrap_or(&range.owner) == owner;
        self.ranges.iter().filter(holds).map(KeyRange::width).sum()
    }

    /// Reassigns the ranges of lost owners without a release, since those owners are known to hold them no
    /// longer. Cancels moves to lost owners.
    ///
    /// `choose` returns the new owner of each range.
    #[must_use]
    pub fn with_reassigned(
        mut self,
        is_lost: impl Fn(&RangeOwner) -> bool,
        mut choose: impl FnMut(&KeyRange) -> Option<RangeOwner>,
    ) -> Self {
        let fence = self.next_fence;
        for range in &mut self.ranges {
            if range.next_owner.as_ref().is_some_and(&is_lost) {
                range.next_owner = None;
            }
            if !is_lost(&range.owner) {
                continue;
            }
            if let Some(owner) = choose(range) {
                range.owner = owner;
                range.fence = fence;
                range.handover = "".into();
                range.next_owner = None;
            }
        }
        self.next_fence = fence + 1;
        self.merged()
    }

    /// Marks the keys of `owner` from `first` to `last` for a move to `next` once `owner` has released them.
    #[must_use]
    pub fn with_move(
        mut self,
        owner: &RangeOwner,
        first: u16,
        last: u16,
        next: &RangeOwner,
    ) -> Self {
        self.split(first);
        if last < u16::MAX {
            self.split(last + 1);
        }
        for range in &mut self.ranges {
            if range.owner == *owner && range.first >= first && range.last <= last {
                range.next_owner = Some(next.clone());
            }
        }
        self
    }

    /// Cancels the moves of the matching ranges.
    #[must_use]
    pub fn without_moves(mut self, matches: impl Fn(&KeyRange) -> bool) -> Self {
        for range in &mut self.ranges {
            if matches(range) {
                range.next_owner = None;
            }
        }
        self.merged()
    }

    /// Assigns the moving ranges of `owner` for which `is_released` holds to their next owners, with the
    /// handover state that `released` has for them.
    #[must_use]
    pub fn with_moves_completed(
        mut self,
        owner: &RangeOwner,
        released: &[ReleasedRange],
        is_released: impl Fn(&KeyRange) -> bool,
    ) -> Self {
        let fence = self.next_fence;
        for range in &mut self.ranges {
            if range.owner != *owner || !is_released(range) {
                continue;
            }
            if let Some(next) = range.next_owner.take() {
                range.owner = next;
                range.fence = fence;
                range.handover = handover_for(range, released);
            }
        }
        self.next_fence = fence + 1;
        self.merged()
    }

    /// Splits the range that contains `key` so that a range begins at `key`.
    fn split(&mut self, key: u16) {
        let Some(index) = self.ranges.iter().position(|range| range.contains(key)) else {
            return;
        };
        let range = &mut self.ranges[index];
        if range.first == key {
            return;
        }
        let mut upper = range.clone();
        upper.first = key;
        range.last = key - 1;
        self.ranges.insert(index + 1, upper);
    }

    /// Merges adjacent ranges that differ only in their keys.
    fn merged(mut self) -> Self {
        let mut merged: Vec<KeyRange> = Vec::with_capacity(self.ranges.len());
        for range in self.ranges.drain(..) {
            match merged.last_mut() {
                Some(previous)
                    if previous.owner == range.owner
                        && previous.fence == range.fence
                        && previous.next_owner == range.next_owner
                        && previous.handover == range.handover =>
                {
                    previous.last = range.last;
                }
                _ => merged.push(range),
            }
        }
        self.ranges = merged;
        self
    }
}

/// Returns the state that the previous owner handed over for a range, or an empty name if there is none.
fn handover_for(range: &KeyRange, released: &[ReleasedRange]) -> Name {
    let covers =
        |released: &&ReleasedRange| released.first <= range.first && range.last <= released.last;
    released
        .iter()
        .find(covers)
        .map_or_else(|| "".into(), |released| Name::clone(&released.handover))
}

/// Converts a number below [`KEY_COUNT`] to a key.
fn key_of(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
