//! Offered work follows a change of load within seconds, also when a few keys get most of the traffic.

use googletest::prelude::*;
use jy_policy::offered::OfferedWork;
use jy_policy::offered::SustainedOverload;
use jy_types::time::Millis;

/// Offers a request of 100 ms every `every_ms` from one time to another.
fn offer(offered: &mut OfferedWork, bucket: u16, from: u64, to: u64, every_ms: usize) {
    for now in (from..to).step_by(every_ms) {
        offered.add(Millis(now), Some(bucket), 100.0);
    }
}

#[gtest]
fn share_shows_steady_load() {
    let mut offered = OfferedWork::new();
    offer(&mut offered, 1, 0, 8_000, 50);
    let share = offered.share(Millis(8_000), 4);
    expect_that!(
        share,
        all![ge(0.45), le(0.55)],
        "two of four slots are in use"
    );
}

#[gtest]
fn by_bucket_shows_busy_keys_within_seconds() {
    let mut offered = OfferedWork::new();
    offer(&mut offered, 1, 0, 8_000, 50);
    offer(&mut offered, 2, 8_000, 11_000, 20);
    let shares = offered.by_bucket(Millis(11_000), 4);
    expect_that!(shares[&2], ge(1.0));
    expect_that!(shares[&1], le(0.1));
}

#[gtest]
fn add_bounds_number_of_buckets() {
    let mut offered = OfferedWork::new();
    for bucket in 0..16_000_u16 {
        offered.add(Millis(u64::from(bucket) * 10), Some(bucket), 5.0);
    }
    let shares = offered.by_bucket(Millis(160_000), 4);
    expect_that!(shares.len(), le(2_048));
}

/// Returns the overload after `share` of the capacity was needed for `span_ms`, observed every 250 ms.
fn overload_after(share: f64, span_ms: u64) -> f64 {
    let mut overload = SustainedOverload::new();
    let mut overload_ms = 0.0;
    for at in (1_000..=1_000 + span_ms).step_by(250) {
        overload_ms = overload.observe(Millis(at), share);
    }
    overload_ms
}

#[gtest]
fn observe_short_peak_is_small_overload() {
    expect_that!(overload_after(3.0, 2_000), lt(4_000.0));
}

#[gtest]
fn observe_sustained_mild_overload_accumulates() {
    expect_that!(overload_after(1.5, 20_000), gt(6_000.0));
}

#[gtest]
fn observe_full_use_is_no_overload() {
    expect_that!(overload_after(1.0, 60_000), eq(0.0));
}
