//! Choice of new owners for key ranges: after the loss of an owner, before a planned shutdown, for an owner
//! without keys, and for an overloaded owner.

use std::collections::BTreeMap;

use crate::table::KeyRange;
use crate::table::RangeOwner;
use crate::table::RangeTable;

/// Number of keys in one bucket of the load counts. A bucket is much narrower than a group of neighbouring
/// busy keys, so that the group can be divided among several owners.
pub const BUCKET_KEYS: u16 = 4;

/// An owner that is offered at least this share of its capacity moves keys to other owners. Below it, on the
/// grown deployments, the gap of a move, in which the keys are unavailable, costs callers more than the wait
/// at a full backend server (docs/measurements/platform.md).
const OVERLOAD_SHARE: f64 = 1.1;

/// Smallest difference in the used share of capacity between owner and receiver at which a move is worth its
/// gap (docs/measurements/platform.md).
const MIN_LOAD_DIFFERENCE: f64 = 0.4;

const MAX_CONCURRENT_MOVES: usize = 4;

/// Smallest share of the owner's capacity that is worth the gap that its move causes.
const MIN_MOVE_SHARE: f64 = 0.04;

/// An owner that can receive keys.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeReceiver {
    /// The owner.
    pub owner: RangeOwner,
    /// Its share of the keys relative to other receivers.
    pub weight: u32,
    /// Share of its capacity in use.
    pub used: f64,
}

/// A planned move of an owner's keys to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The new owner.
    pub to: RangeOwner,
}

/// Chooses receivers for ranges one after the other, each time the receiver with the fewest keys for its
/// weight.
pub struct ReceiverSelector<'a> {
    receivers: &'a [RangeReceiver],
    widths: Vec<u32>,
}

impl<'a> ReceiverSelector<'a> {
    /// Creates a selector among receivers, starting from the keys that they hold in `table`.
    #[must_use]
    pub fn new(table: &RangeTable, receivers: &'a [RangeReceiver]) -> Self {
        let width = |receiver: &RangeReceiver| table.width_of(&receiver.owner);
        Self {
            receivers,
            widths: receivers.iter().map(width).collect(),
        }
    }

    /// Chooses the receiver of a range, or returns `None` if there are no receivers.
    pub fn choose(&mut self, range: &KeyRange) -> Option<RangeOwner> {
        let keys_per_weight = |index: &usize| {
            let weight = f64::from(self.receivers[*index].weight.max(1));
            f64::from(self.widths[*index]) / weight
        };
        let index = (0..self.receivers.len())
            .min_by(|one, other| keys_per_weight(one).total_cmp(&keys_per_weight(other)))?;
        self.widths[index] += range.width();
        Some(self.receivers[index].owner.clone())
    }
}

/// Starts the move of all ranges of a leaving owner to the receivers.
#[must_use]
pub fn leave(table: &RangeTable, owner: &RangeOwner, receivers: &[RangeReceiver]) -> RangeTable {
    let mut selector = ReceiverSelector::new(table, receivers);
    let mut next = table.clone();
    for range in table
        .owned(owner)
        .filter(|range| range.next_owner.is_none())
    {
        if let Some(to) = selector.choose(range) {
            next = next.with_move(owner, range.first, range.last, &to);
        }
    }
    next
}

/// Chooses keys of `owner` to move to a receiver without keys, if `owner` has the most keys of all receivers.
///
/// The move takes the upper half of the owner's widest range that is not moving yet.
#[must_use]
pub fn split_for_new_owner(
    table: &RangeTable,
    owner: &RangeOwner,
    receivers: &[RangeReceiver],
) -> Option<RangeMove> {
    let new_owner = receivers
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
        .filter(|range| range.next_owner.is_none())
        .max_by_key(|range| range.width())?;
    if range.width() < 2 {
        return None;
    }
    let half = u16::try_from(range.width() / 2).ok()?;
    Some(RangeMove {
        first: range.last - (half - 1),
        last: range.last,
        to: new_owner.owner.clone(),
    })
}

/// Chooses ranges that an overloaded owner moves to less loaded receivers, so that all of them approach the
/// same load.
///
/// `work` holds the share of the owner's capacity that each bucket of [`BUCKET_KEYS`] keys uses.
#[must_use]
pub fn shed_load(
    table: &RangeTable,
    owner: &RangeOwner,
    used: f64,
    work: &BTreeMap<u16, f64>,
    receivers: &[RangeReceiver],
) -> Vec<RangeMove> {
    if used < OVERLOAD_SHARE || table.owned(owner).any(|range| range.next_owner.is_some()) {
        return Vec::new();
    }
    let mut candidates: Vec<(&RangeReceiver, f64)> = receivers
        .iter()
        .filter(|receiver| receiver.owner != *owner)
        .map(|receiver| (receiver, receiver.used))
        .filter(|(_, receiver_used)| used - receiver_used >= MIN_LOAD_DIFFERENCE)
        .collect();
    candidates.sort_by(|(_, one), (_, other)| one.total_cmp(other));
    candidates.truncate(MAX_CONCURRENT_MOVES);
    let used_sum: f64 = candidates
        .iter()
        .map(|(_, receiver_used)| receiver_used)
        .sum();
    let target_used = (used + used_sum) / (candidates.len() + 1) as f64;
    let mut planned = table.clone();
    let mut moves = Vec::new();
    for (receiver, receiver_used) in candidates {
        let Some(range_move) =
            choose_part(&planned, owner, work, target_used - receiver_used, receiver)
        else {
            continue;
        };
        planned = planned.with_move(owner, range_move.first, range_move.last, &range_move.to);
        moves.push(range_move);
    }
    moves
}

/// Chooses a part of the ranges of an owner that are not moving yet, such that the part uses about `wanted` of
/// the owner's capacity.
fn choose_part(
    table: &RangeTable,
    owner: &RangeOwner,
    work: &BTreeMap<u16, f64>,
    wanted: f64,
    receiver: &RangeReceiver,
) -> Option<RangeMove> {
    if wanted < MIN_MOVE_SHARE {
        return None;
    }
    let (first, last, moved) = table
        .owned(owner)
        .filter(|range| range.next_owner.is_none())
        .flat_map(|range| {
            [
                find_prefix(range, work, wanted),
                find_suffix(range, work, wanted),
            ]
        })
        .flatten()
        .min_by(|one, other| one.2.total_cmp(&other.2))?;
    // Moving more than twice the wanted load would only move the overload to the receiver.
    (moved <= wanted * 2.0).then(|| RangeMove {
        first,
        last,
        to: receiver.owner.clone(),
    })
}

/// Finds the fewest buckets at the start of a range that use at least `wanted` of the owner's capacity.
/// Returns `None` if that takes the whole range.
fn find_prefix(
    range: &KeyRange,
    work: &BTreeMap<u16, f64>,
    wanted: f64,
) -> Option<(u16, u16, f64)> {
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

/// Finds the fewest buckets at the end of a range that use at least `wanted` of the owner's capacity.
/// Returns `None` if that takes the whole range.
fn find_suffix(
    range: &KeyRange,
    work: &BTreeMap<u16, f64>,
    wanted: f64,
) -> Option<(u16, u16, f64)> {
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

/// Returns the bucket of a key.
#[must_use]
pub const fn bucket_of(key: u16) -> u16 {
    key / BUCKET_KEYS
}

/// Returns the last key of a bucket.
const fn bucket_end(bucket: u16) -> u16 {
    bucket * BUCKET_KEYS + (BUCKET_KEYS - 1)
}
