//! Keys divided among owners of different speeds.

use googletest::prelude::*;
use jy_policy::capacity::weight;

const SLOTS: u32 = 12;

/// Guards against slow owners that are full while fast ones are half idle: with shares by weight, the time that
/// the owners are busy differs little.
#[gtest]
fn weight_owners_of_different_speeds_are_equally_busy() {
    let percents = [70_u32, 70, 160];
    let weights: Vec<u32> = percents
        .iter()
        .map(|percent| weight(SLOTS, Some(*percent)))
        .collect();
    let busy = percents
        .iter()
        .zip(&weights)
        .map(|(percent, weight)| percent * weight);
    let (least, most) = (busy.clone().min(), busy.max());
    expect_that!(
        most.zip(least).map(|(most, least)| most - least),
        some(le(2 * 160))
    );
}

#[gtest]
fn weight_unknown_speed_is_usual() {
    expect_that!(weight(SLOTS, None), eq(weight(SLOTS, Some(100))));
}

/// Guards against an owner that gets no keys, or all, by a distorted measurement.
#[gtest]
fn weight_distorted_measurement_is_bounded() {
    expect_that!(weight(SLOTS, Some(100_000)), gt(0));
    expect_that!(weight(SLOTS, Some(0)), le(4 * weight(SLOTS, None)));
}

/// Guards against an agent that ends, or computes shares of nothing, by an odd number of slots in one record.
#[gtest]
fn weight_impossible_slots_is_bounded() {
    expect_that!(weight(u32::MAX, Some(70)), eq(u32::MAX));
    expect_that!(weight(0, Some(70)), eq(1));
}
