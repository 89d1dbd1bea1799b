//! Who gets ranges: after a loss, on a planned leave, for a newcomer, and when keys become busy.

use std::collections::BTreeMap;

use crate::table::KeyRange;
use crate::table::RangeOwner;
use crate::table::RangeTable;

/// Keys in one bucket of the load count: far narrower than a group of neighbouring busy keys, so that the
/// group can be divided among several owners.
pub const BUCKET_KEYS: u16 = 4;

/// An owner that is offered more than this share of its capacity gives keys away. Below it, a move's gap,
/// in which nobody serves the keys, costs callers more than the wait at a full backend server: on the
/// grown deployments (docs/measurements/platform.md).
const BUSY_SHARE: f64 = 1.1;

/// A move pays when the receiver has at least this much less of its capacity in use; measured on the same
/// page.
const LEAST_DIFFERENCE: f64 = 0.4;

/// Most moves that an owner begins at once.
const MOST_MOVES: usize = 4;

/// Share of the capacity that one move carries at least; less does not pay for the gap it causes.
const LEAST_MOVE: f64 = 0.04;

/// An owner that may receive keys.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeReceiver {
    /// Who.
    pub owner: RangeOwner,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Share of its capacity in use.
    pub used: f64,
}

/// A move that an owner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Who is to hold it.
    pub to: RangeOwner,
}

/// Chooses receivers for ranges one after the other, each time the one with the fewest keys a slot.
pub struct ReceiverSelector<'a> {
    receivers: &'a [RangeReceiver],
    widths: Vec<u32>,
}

impl<'a> ReceiverSelector<'a> {
    /// Makes a queue over receivers with the keys that they hold in `table`.
    #[must_use]
    pub fn new(table: &RangeTable, receivers: &'a [RangeReceiver]) -> Self {
        let width = |receiver: &RangeReceiver| table.width_of(&receiver.owner);
        Self {
            receivers,
            widths: receivers.iter().map(width).collect(),
        }
    }

    /// Chooses the receiver of a range.
    pub fn choose(&mut self, range: &KeyRange) -> Option<RangeOwner> {
        let share = |index: &usize| {
            let slots = f64::from(self.receivers[*index].slots.max(1));
            f64::from(self.widths[*index]) / slots
        };
        let index =
            (0..self.receivers.len()).min_by(|one, other| share(one).total_cmp(&share(other)))?;
        self.widths[index] += range.width();
        Some(self.receivers[index].owner.clone())
    }
}

/// Marks all ranges of an owner that leaves.
#[must_use]
pub fn leave(table: &RangeTable, owner: &RangeOwner, receivers: &[RangeReceiver]) -> RangeTable {
    let mut queue = ReceiverSelector::new(table, receivers);
    let mut next = table.clone();
    for range in table.owned(owner).filter(|range| range.next.is_none()) {
        if let Some(to) = queue.choose(range) {
            next = next.marked(owner, range.first, range.last, &to);
        }
    }
    next
}

/// Chooses a part of the widest owner's keys for a receiver that has none, if `owner` is that owner.
#[must_use]
pub fn split_for_new_owner(
    table: &RangeTable,
    owner: &RangeOwner,
    receivers: &[RangeReceiver],
) -> Option<RangeMove> {
    let newcomer = receivers
        .iter()
        .find(|receiver| table.width_of(&receiver.owner) == 0 && receiver.owner != *owner)?;
    let widest = receivers
        .iter()
        .max_by_key(|receiver| (table.width_of(&receiver.owner), receiver.owner.clone()))?;
    if widest.owner != *owner {
        return None;
    }
    let range = table
        .owned(owner)
        .filter(|range| range.next.is_none())
        .max_by_key(|range| range.width())?;
    if range.width() < 2 {
        return None;
    }
    let half = u16::try_from(range.width() / 2).ok()?;
    Some(RangeMove {
        first: range.last - (half - 1),
        last: range.last,
        to: newcomer.owner.clone(),
    })
}

/// Chooses ranges that a busy owner gives to those with room, so that all come near the same level.
/// `work` holds the share of the owner's capacity that each bucket of [`BUCKET_KEYS`] keys uses.
#[must_use]
pub fn shed_load(
    table: &RangeTable,
    owner: &RangeOwner,
    used: f64,
    work: &BTreeMap<u16, f64>,
    receivers: &[RangeReceiver],
) -> Vec<RangeMove> {
    if used < BUSY_SHARE || table.owned(owner).any(|range| range.next.is_some()) {
        return Vec::new();
    }
    let mut known: Vec<(&RangeReceiver, f64)> = receivers
        .iter()
        .filter(|receiver| receiver.owner != *owner)
        .map(|receiver| (receiver, receiver.used))
        .filter(|(_, room)| used - room >= LEAST_DIFFERENCE)
        .collect();
    known.sort_by(|(_, one), (_, other)| one.total_cmp(other));
    known.truncate(MOST_MOVES);
    let sum: f64 = known.iter().map(|(_, room)| room).sum();
    let level = (used + sum) / (known.len() + 1) as f64;
    let mut left = table.clone();
    let mut moves = Vec::new();
    for (receiver, room) in known {
        let Some(step) = part_of(&left, owner, work, level - room, receiver) else {
            continue;
        };
        left = left.marked(owner, step.first, step.last, &step.to);
        moves.push(step);
    }
    moves
}

/// Chooses a part of an owner's unmarked ranges that uses about `wanted` of its capacity.
fn part_of(
    table: &RangeTable,
    owner: &RangeOwner,
    work: &BTreeMap<u16, f64>,
    wanted: f64,
    receiver: &RangeReceiver,
) -> Option<RangeMove> {
    if wanted < LEAST_MOVE {
        return None;
    }
    let (first, last, moved) = table
        .owned(owner)
        .filter(|range| range.next.is_none())
        .flat_map(|range| {
            [
                from_start(range, work, wanted),
                from_end(range, work, wanted),
            ]
        })
        .flatten()
        .min_by(|one, other| one.2.total_cmp(&other.2))?;
    // More than twice the wanted part would only move the trouble.
    (moved <= wanted * 2.0).then(|| RangeMove {
        first,
        last,
        to: receiver.owner.clone(),
    })
}

/// Finds the part at the start of a range that uses about `wanted`.
fn from_start(range: &KeyRange, work: &BTreeMap<u16, f64>, wanted: f64) -> Option<(u16, u16, f64)> {
    let mut sum = 0.0;
    for (bucket, share) in work.range(bucket_of(range.first)..=bucket_of(range.last)) {
        sum += share;
        if sum >= wanted {
            let last = bucket_end(*bucket).min(range.last);
            return (last < range.last).then_some((range.first, last, sum));
        }
    }
    None
}

/// Finds the part at the end of a range that uses about `wanted`.
fn from_end(range: &KeyRange, work: &BTreeMap<u16, f64>, wanted: f64) -> Option<(u16, u16, f64)> {
    let mut sum = 0.0;
    let buckets = work.range(bucket_of(range.first)..=bucket_of(range.last));
    for (bucket, share) in buckets.rev() {
        sum += share;
        if sum >= wanted {
            let first = (bucket * BUCKET_KEYS).max(range.first);
            return (first > range.first).then_some((first, range.last, sum));
        }
    }
    None
}

/// Bucket of a key.
#[must_use]
pub const fn bucket_of(key: u16) -> u16 {
    key / BUCKET_KEYS
}

/// Last key of a bucket.
const fn bucket_end(bucket: u16) -> u16 {
    bucket * BUCKET_KEYS + (BUCKET_KEYS - 1)
}
