//! Time during which keys could not be served.

use googletest::prelude::*;
use jy_agent::unavailability::UnavailabilityMeter;
use jy_feed::view::ServiceKey;
use jy_types::key::SliceId;
use jy_types::time::Millis;

/// The service.
fn service() -> ServiceKey {
    ("seals".into(), "verifier".into())
}

#[gtest]
fn note_served_counts_two_slices_once() {
    let mut meter = UnavailabilityMeter::new();
    let mut counted = meter.note_failed(Millis(1_000), &service(), SliceId(1));
    counted += meter.note_failed(Millis(1_500), &service(), SliceId(2));
    counted += meter.note_served(Millis(2_000), &service(), SliceId(1));
    counted += meter.note_served(Millis(2_500), &service(), SliceId(2));
    counted += meter.note_served(Millis(9_000), &service(), SliceId(2));
    expect_that!(counted, eq(1_500));
}

#[gtest]
fn note_served_without_failure_counts_nothing() {
    let mut meter = UnavailabilityMeter::new();
    expect_that!(
        meter.note_served(Millis(5_000), &service(), SliceId(1)),
        eq(0)
    );
}

#[gtest]
fn note_served_after_nobody_asked_counts_two_seconds() {
    let mut meter = UnavailabilityMeter::new();
    let first = meter.note_failed(Millis(1_000), &service(), SliceId(1));
    let then = meter.note_served(Millis(60_000), &service(), SliceId(7));
    expect_that!(first + then, eq(2_000));
}
