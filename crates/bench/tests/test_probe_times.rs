//! Tests of the longest time that a key was not served, as computed from the times of its probes.

use googletest::prelude::*;
use jy_bench::probe::ProbeTimes;
use jy_types::time::Millis;

/// Creates the results of probes of one key.
fn probe_times(served: &[u64], ended_at: u64) -> ProbeTimes {
    let served = served.iter().map(|at| Millis(*at)).collect();
    ProbeTimes::new(
        [("key".into(), served)].into(),
        Vec::new(),
        Millis(ended_at),
    )
}

#[gtest]
fn longest_gap_since_starts_at_the_given_time() {
    let probe = probe_times(&[10, 20, 500, 520], 530);
    assert_that!(probe.longest_gap_since(Millis(25)), eq(475));
}

#[gtest]
fn longest_gap_since_includes_time_until_probes_end() {
    let probe = probe_times(&[10, 20], 9_000);
    assert_that!(probe.longest_gap_since(Millis(25)), eq(8_975));
}
