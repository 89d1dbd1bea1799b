//! Places for callers that return after a refusal.

use googletest::prelude::*;
use jy_policy::places::RetryPlaces;
use jy_policy::places::ReturnWindow;
use jy_types::time::Millis;

const CLASS: u32 = 3;

/// Guards against callers that are refused together and return together.
#[gtest]
fn assign_spaces_callers_by_free_capacity() {
    let mut places = RetryPlaces::new();
    let window = ReturnWindow {
        earliest: Millis(1_200),
        latest: Millis(2_000),
    };
    let mut assign = || places.assign(Millis(1_000), CLASS, window, 150.0);
    let assigned: Vec<Millis> = (0..3).map(|_| assign()).collect();
    expect_that!(assigned, eq(&[Millis(1_200), Millis(1_350), Millis(1_500)]));
}

/// Guards against a delay that callers ignore, and against one delay for all of those without a place.
#[gtest]
fn assign_without_place_spreads_callers_at_end_of_window() {
    let mut places = RetryPlaces::new();
    let window = ReturnWindow {
        earliest: Millis(9_000),
        latest: Millis(2_000),
    };
    let mut assigned: Vec<u64> = (0..20)
        .map(|_| places.assign(Millis(1_000), CLASS, window, f64::INFINITY).0)
        .collect();
    assigned.sort_unstable();
    expect_that!(assigned, each(all![ge(&1_750), le(&2_000)]));
    let gaps = assigned.windows(2).map(|pair| pair[1] - pair[0]);
    expect_that!(gaps.max(), some(le(30)));
}

/// Guards against places that callers of one class take from more urgent ones.
#[gtest]
fn assign_keeps_classes_apart() {
    let mut places = RetryPlaces::new();
    let window = ReturnWindow {
        earliest: Millis(1_200),
        latest: Millis(2_000),
    };
    places.assign(Millis(1_000), CLASS, window, 500.0);
    let urgent = places.assign(Millis(1_000), CLASS - 1, window, 500.0);
    expect_that!(urgent, eq(Millis(1_200)));
}

/// Guards against places that stay taken for minutes after one caller was refused while almost no capacity was free.
#[gtest]
fn assign_little_free_capacity_blocks_one_window() {
    let mut places = RetryPlaces::new();
    let window_at = |now: u64| ReturnWindow {
        earliest: Millis(now),
        latest: Millis(now + 1_600),
    };
    places.assign(Millis(1_000), CLASS, window_at(1_000), 1e6);
    let blocked = places.assign(Millis(1_100), CLASS, window_at(1_000), 20.0);
    expect_that!(blocked, gt(Millis(1_000)));
    let next = places.assign(Millis(3_000), CLASS, window_at(3_000), 20.0);
    expect_that!(next, eq(Millis(3_000)));
}
