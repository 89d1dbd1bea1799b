//! A backend server in cold start gets no more than it bears.

use googletest::prelude::*;
use jy_policy::cold::ColdLimit;
use jy_types::time::Millis;

/// Requests a second that the backend server of these tests bears.
const PER_S: f64 = 14.0;

/// A limit in a cold start from `began` on.
fn cold_limit(began: Millis) -> ColdLimit {
    let mut limit = ColdLimit::new();
    limit.set_rate(PER_S);
    limit.set_cold_until(began, began.plus(10_000));
    limit
}

#[gtest]
fn take_any_second_stays_in_bound() {
    let mut limit = cold_limit(Millis(0));
    let mut taken: Vec<u64> = Vec::new();
    for now in 0..5_000 {
        if limit.take(Millis(now)) {
            taken.push(now);
        }
    }
    let most = taken
        .iter()
        .map(|from| {
            taken
                .iter()
                .filter(|at| (*from..from + 1_000).contains(*at))
                .count()
        })
        .max();
    // The platform's bound is 14 a second, half as much again, and five.
    expect_that!(most, some(le(26)));
    expect_that!(taken.len(), ge(60), "the rate that it bears is used");
}

#[gtest]
fn take_unlimited_when_warm() {
    let mut limit = ColdLimit::new();
    limit.set_rate(PER_S);
    let taken = (0..100).filter(|_| limit.take(Millis(5))).count();
    expect_that!(taken, eq(100));
}

#[gtest]
fn announced_cold_again_starts_without_credit() {
    let mut limit = cold_limit(Millis(0));
    limit.set_cold_until(Millis(3_000), Millis(3_000));
    expect_that!(limit.take(Millis(3_100)), eq(true));
    limit.set_cold_until(Millis(4_000), Millis(7_000));
    expect_that!(limit.take(Millis(4_000)), eq(false));
    expect_that!(limit.next_leave(Millis(4_000)), eq(Millis(4_072)));
}
