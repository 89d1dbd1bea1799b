//! Cold start: what counts as one, and how the limit grows.

use googletest::prelude::*;
use jy_gate::ramp::ConcurrencyRamp;
use jy_gate::ramp::RampPace;
use jy_types::time::Millis;

/// A pace of four slots, one more after two answers and 100 ms.
const PACE: RampPace = RampPace {
    slots: 4,
    start: 1,
    step_answers: 2,
    step_ms: 100,
};

/// A ramp of an announced process, brought to its limit.
fn warm(now: Millis) -> ConcurrencyRamp {
    let mut ramp = ConcurrencyRamp::new(PACE);
    ramp.announced(Millis(0), 1, 4, false);
    for step in 1..=200 {
        ramp.answered(Millis(step * now.0 / 200), ramp.epoch(), 4);
    }
    ramp
}

#[gtest]
fn answered_grows_by_answers_and_time() {
    let mut ramp = ConcurrencyRamp::new(PACE);
    ramp.announced(Millis(0), 1, 4, true);
    ramp.answered(Millis(10), ramp.epoch(), 4);
    ramp.answered(Millis(20), ramp.epoch(), 4);
    expect_that!(ramp.limit(), eq(1), "two answers, but too early");
    ramp.answered(Millis(100), ramp.epoch(), 4);
    expect_that!(ramp.limit(), eq(2));
    ramp.answered(Millis(300), ramp.epoch(), 4);
    expect_that!(ramp.limit(), eq(2), "late enough, but one answer only");
}

#[gtest]
fn new_process_is_cold_whatever_it_says() {
    let mut ramp = warm(Millis(2_000));
    expect_that!(ramp.limit(), eq(4));
    ramp.announced(Millis(2_100), 2, 4, false);
    expect_that!(ramp.limit(), eq(1));
}

#[gtest]
fn repeated_announcement_keeps_limit() {
    let mut ramp = ConcurrencyRamp::new(PACE);
    ramp.announced(Millis(0), 1, 4, true);
    for at in [50, 100, 150, 200] {
        ramp.answered(Millis(at), ramp.epoch(), 4);
        ramp.announced(Millis(at), 1, 4, true);
    }
    expect_that!(ramp.limit(), eq(3));
}

#[gtest]
fn doubt_ends_with_same_process() {
    let mut ramp = warm(Millis(2_000));
    ramp.suspect_restart(Millis(2_000));
    ramp.suspect_restart(Millis(2_010));
    expect_that!(ramp.limit(), eq(1));
    ramp.announced(Millis(2_100), 1, 4, false);
    expect_that!(ramp.limit(), eq(1), "may have been sent before the sign");
    ramp.announced(Millis(2_300), 1, 4, false);
    expect_that!(ramp.limit(), eq(4));
}

#[gtest]
fn answer_from_before_restart_counts_not() {
    let mut ramp = warm(Millis(2_000));
    let before = ramp.epoch();
    ramp.announced(Millis(2_000), 2, 4, true);
    for at in 2_100..2_110 {
        ramp.answered(Millis(at), before, 4);
    }
    expect_that!(ramp.limit(), eq(1));
}

#[gtest]
fn slower_than_ever_is_a_cold_start() {
    let mut ramp = warm(Millis(2_000));
    ramp.answered(Millis(2_050), ramp.epoch(), 60);
    expect_that!(ramp.limit(), eq(1));
}

#[gtest]
fn shed_lowers_limit() {
    let mut ramp = warm(Millis(2_000));
    ramp.shed(Millis(2_000));
    expect_that!(ramp.limit(), eq(3));
}
