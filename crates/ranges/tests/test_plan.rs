//! Choice of new owners for the ranges of a leaving or overloaded owner, and for an owner without keys.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jy_ranges::plan::BUCKET_KEYS;
use jy_ranges::plan::RangeMove;
use jy_ranges::plan::RangeReceiver;
use jy_ranges::plan::bucket_of;
use jy_ranges::plan::leave;
use jy_ranges::plan::shed_load;
use jy_ranges::plan::split_for_new_owner;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendIncarnation;

/// Creates an owner on the instance `name`.
fn owner(name: &str) -> RangeOwner {
    RangeOwner {
        node: name.into(),
        incarnation: BackendIncarnation {
            id: name.into(),
            started_at: 1,
        },
    }
}

/// Creates a receiver that uses the share `used` of its capacity.
fn receiver(name: &str, used: f64) -> RangeReceiver {
    RangeReceiver {
        owner: owner(name),
        weight: 6,
        used,
    }
}

/// Creates a table with equal shares.
///
/// # Panics
///
/// Panics if `names` is empty.
fn equal_shares(names: &[&str]) -> RangeTable {
    let owners: Vec<(RangeOwner, u32)> = names.iter().map(|name| (owner(name), 6)).collect();
    RangeTable::new(&owners).expect("at least one owner")
}

#[gtest]
fn leave_moves_all_ranges() {
    let table = equal_shares(&["a", "b", "c"]);
    let next = leave(
        &table,
        &owner("a"),
        &[receiver("b", 0.1), receiver("c", 0.1)],
    );
    let is_moving = next
        .owned(&owner("a"))
        .all(|range| range.next_owner.is_some());
    expect_that!(is_moving, eq(true));
}

#[gtest]
fn split_for_new_owner_only_widest_gives_keys() {
    let table = equal_shares(&["a", "b"]);
    let all = [receiver("a", 0.1), receiver("b", 0.1), receiver("new", 0.0)];
    let gives_keys: Vec<bool> = ["a", "b", "new"]
        .iter()
        .map(|name| split_for_new_owner(&table, &owner(name), &all).is_some())
        .collect();
    expect_that!(
        gives_keys.iter().filter(|gives_keys| **gives_keys).count(),
        eq(1)
    );
    expect_that!(gives_keys[2], eq(false));
}

/// Returns work with the same share on each of several adjacent buckets, starting at a key.
fn busy_from(key: u16, buckets: u16, share: f64) -> BTreeMap<u16, f64> {
    (0..buckets)
        .map(|index| (bucket_of(key + index * BUCKET_KEYS), share))
        .collect()
}

/// Returns the share of the owner's capacity that the moved keys use.
fn moved_share(work: &BTreeMap<u16, f64>, range_move: &RangeMove) -> f64 {
    work.range(bucket_of(range_move.first)..=bucket_of(range_move.last))
        .map(|(_, share)| share)
        .sum()
}

#[gtest]
fn shed_load_splits_group_of_busy_keys() {
    let table = equal_shares(&["a", "b"]);
    let work = busy_from(1_000, 40, 0.03);
    let all = [receiver("a", 1.2), receiver("b", 0.3)];
    let moves = shed_load(&table, &owner("a"), 1.2, &work, &all);
    expect_that!(moves.len(), eq(1));
    expect_that!(moves[0].to, eq(&owner("b")));
    let moved_load = moved_share(&work, &moves[0]);
    expect_that!(
        moved_load,
        all![ge(0.4), le(0.55)],
        "about half of the difference"
    );
}

#[gtest]
fn shed_load_divides_group_among_several_receivers() {
    let table = equal_shares(&["a", "b", "c", "d", "e"]);
    let work = busy_from(2_000, 50, 0.06);
    let mut all = vec![receiver("a", 3.0)];
    all.extend(["b", "c", "d", "e"].map(|name| receiver(name, 0.2)));
    let moves = shed_load(&table, &owner("a"), 3.0, &work, &all);
    expect_that!(moves.len(), eq(4));
    let moved_load: f64 = moves
        .iter()
        .map(|range_move| moved_share(&work, range_move))
        .sum();
    expect_that!(
        3.0 - moved_load,
        all![ge(0.4), le(1.0)],
        "close to the mean load of 0.76"
    );
    let mut firsts: Vec<u16> = moves.iter().map(|range_move| range_move.first).collect();
    firsts.dedup();
    expect_that!(firsts.len(), eq(4), "no key moves twice");
}

#[gtest]
fn shed_load_no_gain_moves_nothing() {
    let table = equal_shares(&["a", "b"]);
    let work = BTreeMap::from([(bucket_of(1_000), 1.2)]);
    let none_busy = [receiver("a", 0.5), receiver("b", 0.1)];
    expect_that!(
        shed_load(&table, &owner("a"), 0.5, &work, &none_busy),
        elements_are![]
    );
    let all_busy = [receiver("a", 1.3), receiver("b", 1.2)];
    expect_that!(
        shed_load(&table, &owner("a"), 1.3, &work, &all_busy),
        elements_are![]
    );
    let one_bucket = [receiver("a", 1.3), receiver("b", 0.5)];
    let moves = shed_load(&table, &owner("a"), 1.3, &work, &one_bucket);
    expect_that!(
        moves,
        elements_are![],
        "moving the one busy bucket would only move the overload"
    );
}
