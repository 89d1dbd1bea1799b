//! Wait limit for requests whose key is moving from one backend server to another.

use googletest::prelude::*;
use jy_policy::moving::TYPICAL_MOVE_GAP_MS;
use jy_policy::moving::max_wait_ms;
use jy_policy::moving::wait_objective;
use jy_types::time::Millis;

#[gtest]
fn max_wait_ms_much_time_left_covers_typical_gap() {
    let wait_ms = max_wait_ms(Millis(0), Millis(800), Millis(3_000));
    expect_that!(wait_ms, ge(TYPICAL_MOVE_GAP_MS));
    expect_that!(wait_ms, lt(3_000 - 800), "time is left for the work");
}

#[gtest]
fn max_wait_ms_call_of_running_request_is_short() {
    let wait_ms = max_wait_ms(Millis(0), Millis(60), Millis(200));
    expect_that!(
        wait_ms,
        le(60 / 8),
        "the calling request holds a slot meanwhile"
    );
}

#[gtest]
fn max_wait_ms_past_objective_is_zero() {
    let wait_ms = max_wait_ms(Millis(2_000), Millis(800), Millis(3_000));
    expect_that!(wait_ms, eq(0));
}

/// Guards against returning callers whose requests do not wait, and against a wait beyond the deadline.
#[gtest]
fn wait_objective_past_counts_from_now() {
    let objective = |deadline| wait_objective(Millis(2_000), Millis(800), 600, deadline);
    expect_that!(objective(Millis(3_000)), eq(Millis(2_600)));
    expect_that!(objective(Millis(2_300)), eq(Millis(2_300)));
}
