//! Rate limit for a backend server in cold start.

use googletest::prelude::*;
use jy_policy::cold::ColdStartLimiter;
use jy_types::time::Millis;

/// Request rate that the backend server sustains in its cold start.
const RATE_PER_S: f64 = 14.0;

/// Creates a limit whose cold start begins at `started_at`.
fn cold_start_limiter(started_at: Millis) -> ColdStartLimiter {
    let mut limiter = ColdStartLimiter::new();
    limiter.set_rate(RATE_PER_S);
    limiter.set_cold_until(started_at, started_at.plus(10_000));
    limiter
}

#[gtest]
fn try_acquire_any_second_stays_within_limit() {
    let mut limiter = cold_start_limiter(Millis(0));
    let mut taken: Vec<u64> = Vec::new();
    for now in 0..5_000 {
        if limiter.try_acquire(Millis(now)) {
            taken.push(now);
        }
    }
    let max_in_second = taken
        .iter()
        .map(|from| {
            taken
                .iter()
                .filter(|at| (*from..from + 1_000).contains(*at))
                .count()
        })
        .max();
    // The platform allows 14 requests per second, half as many again, and five more.
    expect_that!(max_in_second, some(le(26)));
    expect_that!(taken.len(), ge(60), "the allowed rate is used");
}

#[gtest]
fn try_acquire_unlimited_when_warm() {
    let mut limiter = ColdStartLimiter::new();
    limiter.set_rate(RATE_PER_S);
    let taken = (0..100).filter(|_| limiter.try_acquire(Millis(5))).count();
    expect_that!(taken, eq(100));
}

#[gtest]
fn set_cold_until_new_cold_start_has_no_tokens() {
    let mut limiter = cold_start_limiter(Millis(0));
    limiter.set_cold_until(Millis(3_000), Millis(3_000));
    expect_that!(limiter.try_acquire(Millis(3_100)), eq(true));
    limiter.set_cold_until(Millis(4_000), Millis(7_000));
    expect_that!(limiter.try_acquire(Millis(4_000)), eq(false));
    expect_that!(limiter.next_available_at(Millis(4_000)), eq(Millis(4_072)));
}
