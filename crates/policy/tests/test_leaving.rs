//! Requests for the keys of backend servers that leave one after the other.

use googletest::prelude::*;
use jy_policy::leaving;
use jy_types::time::Millis;

/// Guards against requests that reach a backend server after the time for which it may be sent any.
#[gtest]
fn serve_until_ends_before_drain_does() {
    for drain_ms in [500, 2_000, 10_000] {
        let until = leaving::serve_until(Millis(1_000), drain_ms);
        expect_that!(until, gt(Millis(1_000)));
        expect_that!(until, lt(Millis(1_000 + drain_ms)));
    }
}

#[gtest]
fn serve_until_without_drain_is_immediate() {
    expect_that!(leaving::serve_until(Millis(1_000), 0), eq(Millis(1_000)));
}

/// Guards against keys that stay with an owner that has left, since its agent is cut off from the store.
#[gtest]
fn needs_support_leaving_without_store_ends() {
    expect_that!(leaving::needs_support(true, true), eq(false));
    expect_that!(leaving::needs_support(true, false), eq(true));
    expect_that!(leaving::needs_support(false, true), eq(true));
}
