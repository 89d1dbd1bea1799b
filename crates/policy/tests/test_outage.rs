//! Calls to a store that rejects part of a large fleet.

use googletest::prelude::*;
use jy_policy::outage::retry_delay_ms;

/// Time within which records must be back after the store's return, in milliseconds.
const MAX_RETURN_MS: u64 = 2_000;
/// Duration of an outage, in milliseconds.
const OUTAGE_MS: u64 = 9_000;

/// Guards against a third of the fleet calling several times a second for as long as the store rejects it.
#[gtest]
fn retry_delay_long_outage_makes_few_calls() {
    let mut elapsed_ms = 0;
    let mut calls = 0;
    while elapsed_ms < OUTAGE_MS {
        calls += 1;
        elapsed_ms += retry_delay_ms(calls);
    }
    expect_that!(calls, le(14));
}

#[gtest]
fn retry_delay_any_failures_finds_store_soon() {
    for failures in 0..100 {
        expect_that!(retry_delay_ms(failures), le(MAX_RETURN_MS / 2));
    }
}
