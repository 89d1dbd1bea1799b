//! The table of a service and its changes.

use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::ReleasedRange;
use jy_types::name::Name;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Result of this module.
pub type Result<T> = std::result::Result<T, TableError>;

/// Number of keys of a service.
pub const KEY_COUNT: u32 = 65_536;

/// Why a table from the store is not taken up.
#[derive(Debug, Error)]
pub enum TableError {
    /// It is not JSON of a table.
    #[error("the table of key ranges is not understood: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Its ranges leave keys out or overlap.
    #[error("key {key} has no owner or two in the table of key ranges")]
    Uncovered {
        /// First key that is wrong.
        key: u32,
    },
}

/// Who holds keys: an incarnation of a backend server and the instance it runs on.
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
    /// Who holds it.
    pub owner: RangeOwner,
    /// Fence of the grant; a key's fence only grows.
    pub fence: u64,
    /// What the last owner left for a warm start; empty if it left nothing.
    pub handover: Name,
    /// Who is to hold it once the owner has released it.
    pub next: Option<RangeOwner>,
}

impl KeyRange {
    /// Whether a key lies in the range.
    #[must_use]
    pub const fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Number of keys.
    #[must_use]
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// All ranges of a service, in order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTable {
    /// The next grant's fence.
    next_fence: u64,
    ranges: Vec<KeyRange>,
}

impl RangeTable {
    /// Divides all keys among owners by their weights; none without an owner.
    #[must_use]
    pub fn new(owners: &[(RangeOwner, u32)]) -> Option<Self> {
        let total: u64 = owners.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut ranges = Vec::new();
        let (mut passed, mut first) = (0_u64, 0_u32);
        for (owner, weight) in owners {
            passed += u64::from(*weight);
            let end = u32::try_from(u64::from(KEY_COUNT) * passed / total).unwrap_or(KEY_COUNT);
            if end > first {
                ranges.push(KeyRange {
                    first: key_of(first),
                    last: key_of(end - 1),
                    owner: owner.clone(),
                    fence: 1,
                    handover: "".into(),
                    next: None,
                });
                first = end;
            }
        }
        Some(Self {
            next_fence: 2,
            ranges,
        })
    }

    /// Reads a table and checks that each key has one owner.
    ///
    /// # Errors
    ///
    /// [`TableError`].
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

    /// Writes the table down.
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`].
    pub fn to_text(&self) -> Result<Name> {
        Ok(serde_json::to_string(self)?.into())
    }

    /// All ranges in order.
    #[must_use]
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Finds the range of a key.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&KeyRange> {
        let index = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(index)
    }

    /// All ranges of an owner.
    pub fn owned<'a>(&'a self, owner: &'a RangeOwner) -> impl Iterator<Item = &'a KeyRange> {
        self.ranges
            .iter()
            .filter(move |range| range.owner == *owner)
    }

    /// Number of keys that an owner holds or is to hold.
    #[must_use]
    pub fn width_of(&self, owner: &RangeOwner) -> u32 {
        let holds = |range: &&KeyRange| range.next.as_ref().unwrap_or(&range.owner) == owner;
        self.ranges.iter().filter(holds).map(KeyRange::width).sum()
    }

    /// Gives keys of `from` to owners without its release: it is known to hold them no longer.
    /// `choose` names the new owner of each range.
    #[must_use]
    pub fn reassigned(
        mut self,
        is_lost: impl Fn(&RangeOwner) -> bool,
        mut choose: impl FnMut(&KeyRange) -> Option<RangeOwner>,
    ) -> Self {
        let fence = self.next_fence;
        for range in &mut self.ranges {
            if range.next.as_ref().is_some_and(&is_lost) {
                range.next = None;
            }
            if !is_lost(&range.owner) {
                continue;
            }
            if let Some(owner) = choose(range) {
                range.owner = owner;
                range.fence = fence;
                range.handover = "".into();
                range.next = None;
            }
        }
        self.next_fence = fence + 1;
        self.joined()
    }

    /// Marks the keys from `first` to `last` of one owner to be moved once it has released them.
    #[must_use]
    pub fn marked(mut self, owner: &RangeOwner, first: u16, last: u16, next: &RangeOwner) -> Self {
        self.split(first);
        if last < u16::MAX {
            self.split(last + 1);
        }
        for range in &mut self.ranges {
            if range.owner == *owner && range.first >= first && range.last <= last {
                range.next = Some(next.clone());
            }
        }
        self
    }

    /// Takes back the marks of an owner's moves that match.
    #[must_use]
    pub fn unmarked(mut self, matches: impl Fn(&KeyRange) -> bool) -> Self {
        for range in &mut self.ranges {
            if matches(range) {
                range.next = None;
            }
        }
        self.joined()
    }

    /// Moves the marked ranges of an owner that `is_free` names to their next owners.
    #[must_use]
    pub fn moved(
        mut self,
        owner: &RangeOwner,
        freed: &[ReleasedRange],
        is_free: impl Fn(&KeyRange) -> bool,
    ) -> Self {
        let fence = self.next_fence;
        for range in &mut self.ranges {
            if range.owner != *owner || !is_free(range) {
                continue;
            }
            if let Some(next) = range.next.take() {
                range.owner = next;
                range.fence = fence;
                range.handover = handover_for(range, freed);
            }
        }
        self.next_fence = fence + 1;
        self.joined()
    }

    /// Makes a range begin at `key`.
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

    /// Joins neighbours that differ in nothing but their keys.
    fn joined(mut self) -> Self {
        let mut joined: Vec<KeyRange> = Vec::with_capacity(self.ranges.len());
        for range in self.ranges.drain(..) {
            match joined.last_mut() {
                Some(before)
                    if before.owner == range.owner
                        && before.fence == range.fence
                        && before.next == range.next
                        && before.handover == range.handover =>
                {
                    before.last = range.last;
                }
                _ => joined.push(range),
            }
        }
        self.ranges = joined;
        self
    }
}

/// Finds what an old owner left for a range.
fn handover_for(range: &KeyRange, freed: &[ReleasedRange]) -> Name {
    let covers = |freed: &&ReleasedRange| freed.first <= range.first && range.last <= freed.last;
    freed
        .iter()
        .find(covers)
        .map_or_else(|| "".into(), |freed| Name::clone(&freed.handover))
}

/// Narrows a number below [`KEY_COUNT`].
fn key_of(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
