//! Who gets ranges: a leaving owner's, a newcomer's, and those of one with busy keys.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jy_ranges::plan::BUCKET_KEYS;
use jy_ranges::plan::RangeReceiver;
use jy_ranges::plan::bucket_of;
use jy_ranges::plan::leave;
use jy_ranges::plan::relieve;
use jy_ranges::plan::share_with_newcomer;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendLife;

/// An owner on an instance of the same name.
fn owner(name: &str) -> RangeOwner {
    RangeOwner {
        node: name.into(),
        life: BackendLife {
            id: name.into(),
            born: 1,
        },
    }
}

/// A receiver that uses a share of its capacity.
fn receiver(name: &str, used: f64) -> RangeReceiver {
    RangeReceiver {
        owner: owner(name),
        slots: 6,
        used: Some(used),
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
        .map(|name| share_with_newcomer(&table, &owner(name), &all).is_some())
        .collect();
    expect_that!(gives.iter().filter(|gives| **gives).count(), eq(1));
    expect_that!(gives[2], eq(false));
}

#[gtest]
fn relieve_splits_beside_busy_keys() {
    let table = shared(&["a", "b"]);
    let hot = 1_000_u16;
    let work: BTreeMap<u16, f64> = (0..40)
        .map(|step| (bucket_of(hot + step * BUCKET_KEYS), 0.03))
        .collect();
    let all = [receiver("a", 1.2), receiver("b", 0.3)];
    let step = relieve(&table, &owner("a"), 1.2, &work, &all).expect("one is busy, one has room");
    expect_that!(step.to, eq(&owner("b")));
    let moved: f64 = work
        .range(bucket_of(step.first)..=bucket_of(step.last))
        .map(|(_, share)| share)
        .sum();
    expect_that!(
        moved,
        all![ge(0.4), le(0.55)],
        "about half of the difference"
    );
}

#[gtest]
fn relieve_leaves_alone_what_gains_nothing() {
    let table = shared(&["a", "b"]);
    let work = BTreeMap::from([(bucket_of(1_000), 0.9)]);
    let none_busy = [receiver("a", 0.5), receiver("b", 0.1)];
    expect_that!(relieve(&table, &owner("a"), 0.5, &work, &none_busy), none());
    let all_busy = [receiver("a", 1.1), receiver("b", 1.0)];
    expect_that!(relieve(&table, &owner("a"), 1.1, &work, &all_busy), none());
    let one_bucket = [receiver("a", 1.0), receiver("b", 0.5)];
    let step = relieve(&table, &owner("a"), 1.0, &work, &one_bucket);
    expect_that!(
        step,
        none(),
        "the one busy bucket would only move the trouble"
    );
}
