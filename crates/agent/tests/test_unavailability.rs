//! Tests of measuring the time during which keys could not be served.

use googletest::prelude::*;
use jy_agent::unavailability::UnavailabilityMeter;
use jy_feed::view::ServiceKey;
use jy_types::key::SliceId;
use jy_types::time::Millis;

/// Returns the name of the service under test.
fn service() -> ServiceKey {
    ("seals".into(), "verifier".into())
}

#[gtest]
fn record_success_two_slices_count_once() {
    let mut meter = UnavailabilityMeter::new();
    let mut counted = meter.record_failure(Millis(1_000), &service(), SliceId(1));
    counted += meter.record_failure(Millis(1_500), &service(), SliceId(2));
    counted += meter.record_success(Millis(2_000), &service(), SliceId(1));
    counted += meter.record_success(Millis(2_500), &service(), SliceId(2));
    counted += meter.record_success(Millis(9_000), &service(), SliceId(2));
    expect_that!(counted, eq(1_500));
}

#[gtest]
fn record_success_without_failure_counts_nothing() {
    let mut meter = UnavailabilityMeter::new();
    expect_that!(
        meter.record_success(Millis(5_000), &service(), SliceId(1)),
        eq(0)
    );
}

#[gtest]
fn record_success_after_idle_slice_counts_two_seconds() {
    let mut meter = UnavailabilityMeter::new();
    let first = meter.record_failure(Millis(1_000), &service(), SliceId(1));
    let second = meter.record_success(Millis(60_000), &service(), SliceId(7));
    expect_that!(first + second, eq(2_000));
}
