//! Tests of the concurrency limit: what begins a cold start, and how the limit grows.

use googletest::prelude::*;
use jy_gate::ramp::ConcurrencyRamp;
use jy_gate::ramp::RampPace;
use jy_types::time::Millis;

/// Raises the limit from 1 to 4, by one after every two answers and 100 ms.
const PACE: RampPace = RampPace {
    slots: 4,
    start_limit: 1,
    step_answers: 2,
    step_ms: 100,
};

/// Returns a ramp of an announced process that has reached its warm limit at `now`.
fn warmed_ramp(now: Millis) -> ConcurrencyRamp {
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
    expect_that!(ramp.limit(), eq(1), "two answers, but before the step time");
    ramp.answered(Millis(100), ramp.epoch(), 4);
    expect_that!(ramp.limit(), eq(2));
    ramp.answered(Millis(300), ramp.epoch(), 4);
    expect_that!(
        ramp.limit(),
        eq(2),
        "after the step time, but only one answer"
    );
}

#[gtest]
fn announced_new_process_is_cold() {
    let mut ramp = warmed_ramp(Millis(2_000));
    expect_that!(ramp.limit(), eq(4));
    ramp.announced(Millis(2_100), 2, 4, false);
    expect_that!(ramp.limit(), eq(1));
}

#[gtest]
fn announced_again_keeps_limit() {
    let mut ramp = ConcurrencyRamp::new(PACE);
    ramp.announced(Millis(0), 1, 4, true);
    for at in [50, 100, 150, 200] {
        ramp.answered(Millis(at), ramp.epoch(), 4);
        ramp.announced(Millis(at), 1, 4, true);
    }
    expect_that!(ramp.limit(), eq(3));
}

#[gtest]
fn announced_same_process_restores_limit() {
    let mut ramp = warmed_ramp(Millis(2_000));
    ramp.suspect_restart(Millis(2_000));
    ramp.suspect_restart(Millis(2_010));
    expect_that!(ramp.limit(), eq(1));
    ramp.announced(Millis(2_100), 1, 4, false);
    expect_that!(
        ramp.limit(),
        eq(1),
        "may have been sent before the suspected restart"
    );
    ramp.announced(Millis(2_300), 1, 4, false);
    expect_that!(ramp.limit(), eq(4));
}

#[gtest]
fn answered_ignores_earlier_epoch() {
    let mut ramp = warmed_ramp(Millis(2_000));
    let earlier_epoch = ramp.epoch();
    ramp.announced(Millis(2_000), 2, 4, true);
    for at in 2_100..2_110 {
        ramp.answered(Millis(at), earlier_epoch, 4);
    }
    expect_that!(ramp.limit(), eq(1));
}

#[gtest]
fn answered_slow_begins_cold_start() {
    let mut ramp = warmed_ramp(Millis(2_000));
    ramp.answered(Millis(2_050), ramp.epoch(), 60);
    expect_that!(ramp.limit(), eq(1));
}

#[gtest]
fn shed_lowers_limit() {
    let mut ramp = warmed_ramp(Millis(2_000));
    ramp.shed(Millis(2_000));
    expect_that!(ramp.limit(), eq(3));
}
