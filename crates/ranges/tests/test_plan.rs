//! Who gets ranges: a leaving owner's, a newcomer's, and those of one with busy keys.

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

/// An owner on an instance of the same name.
fn owner(name: &str) -> RangeOwner {
    RangeOwner {
        node: name.into(),
        incarnation: BackendIncarnation {
            id: name.into(),
            started_at: 1,
        },
    }
}

/// A receiver that uses a share of its capacity.
fn receiver(name: &str, used: f64) -> RangeReceiver {
    RangeReceiver {
        owner: owner(name),
        slots: 6,
        used,
    }
}

/// A table with equal shares.
///
/// # Panics
///
/// If the case can't be set up or does not end.
fn shared(names: &[&str]) -> RangeTable {
    let owners: Vec<(RangeOwner, u32)> = names.iter().map(|name| (owner(name), 6)).collect();
    RangeTable::new(&owners).expect("at least one owner")
}

#[gtest]
fn leave_marks_all_for_those_with_least() {
    let table = shared(&["a", "b", "c"]);
    let next = leave(
        &table,
        &owner("a"),
        &[receiver("b", 0.1), receiver("c", 0.1)],
    );
    let marked = next.owned(&owner("a")).all(|range| range.next.is_some());
    expect_that!(marked, eq(true));
}

#[gtest]
fn share_with_newcomer_only_widest_gives() {
    let table = shared(&["a", "b"]);
    let all = [receiver("a", 0.1), receiver("b", 0.1), receiver("new", 0.0)];
    let gives: Vec<bool> = ["a", "b", "new"]
        .iter()
        .map(|name| split_for_new_owner(&table, &owner(name), &all).is_some())
        .collect();
    expect_that!(gives.iter().filter(|gives| **gives).count(), eq(1));
    expect_that!(gives[2], eq(false));
}

/// Work of equal shares on neighbouring buckets from a key on.
fn busy_from(key: u16, buckets: u16, share: f64) -> BTreeMap<u16, f64> {
    (0..buckets)
        .map(|step| (bucket_of(key + step * BUCKET_KEYS), share))
        .collect()
}

/// Share of the capacity that a move carries.
fn carried(work: &BTreeMap<u16, f64>, step: &RangeMove) -> f64 {
    work.range(bucket_of(step.first)..=bucket_of(step.last))
        .map(|(_, share)| share)
        .sum()
}

#[gtest]
fn relieve_splits_beside_busy_keys() {
    let table = shared(&["a", "b"]);
    let work = busy_from(1_000, 40, 0.03);
    let all = [receiver("a", 1.2), receiver("b", 0.3)];
    let moves = shed_load(&table, &owner("a"), 1.2, &work, &all);
    expect_that!(moves.len(), eq(1));
    expect_that!(moves[0].to, eq(&owner("b")));
    let moved = carried(&work, &moves[0]);
    expect_that!(
        moved,
        all![ge(0.4), le(0.55)],
        "about half of the difference"
    );
}

#[gtest]
fn relieve_divides_one_busy_group_among_several() {
    let table = shared(&["a", "b", "c", "d", "e"]);
    let work = busy_from(2_000, 50, 0.06);
    let mut all = vec![receiver("a", 3.0)];
    all.extend(["b", "c", "d", "e"].map(|name| receiver(name, 0.2)));
    let moves = shed_load(&table, &owner("a"), 3.0, &work, &all);
    expect_that!(moves.len(), eq(4));
    let moved: f64 = moves.iter().map(|step| carried(&work, step)).sum();
    expect_that!(
        3.0 - moved,
        all![ge(0.4), le(1.0)],
        "near the level of 0.76"
    );
    let mut firsts: Vec<u16> = moves.iter().map(|step| step.first).collect();
    firsts.dedup();
    expect_that!(firsts.len(), eq(4), "no key moves twice");
}

#[gtest]
fn relieve_leaves_alone_what_gains_nothing() {
    let table = shared(&["a", "b"]);
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
        "the one busy bucket would only move the trouble"
    );
}
