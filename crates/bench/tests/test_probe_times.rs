//! Tests of the longest time that a key was not served.

use googletest::prelude::*;
use jy_bench::probe::ProbeTimes;
use jy_types::time::Millis;

/// Makes the times of one key.
fn times(served: &[u64], ended: u64) -> ProbeTimes {
    let served = served.iter().map(|at| Millis(*at)).collect();
    ProbeTimes::new([("key".into(), served)].into(), Vec::new(), Millis(ended))
}

#[gtest]
fn longest_since_counts_from_the_loss() {
    let probe = times(&[10, 20, 500, 520], 530);
    assert_that!(probe.longest_since(Millis(25)), eq(475));
}

#[gtest]
fn longest_since_counts_a_key_that_is_never_served_again() {
    let probe = times(&[10, 20], 9_000);
    assert_that!(probe.longest_since(Millis(25)), eq(8_975));
}
