//! Exhaustive search of small cases of the lease protocol, less deep than `jybench lease-exhaustive`.

use googletest::prelude::*;
use jy_lease::rule::BrokenRule;
use jy_testutils::lease_check::exhaustive::SearchCase;
use jy_testutils::lease_check::exhaustive::search;

const MAX_MOVES: usize = 8;
/// Depth of the search with [`BrokenRule::ShortPromise`], which needs a longer sequence of moves to become
/// unsafe.
const SHORT_PROMISE_MAX_MOVES: usize = 9;

fn expect_safe(case: SearchCase) {
    let outcome = search(case, MAX_MOVES, None);
    expect_that!(outcome.verdicts, gt(0));
    expect_that!(outcome.unsafe_states, eq(0));
}

#[gtest]
fn search_fixed_set_safe() {
    expect_safe(SearchCase::FixedSet);
}

#[gtest]
fn search_changed_set_safe() {
    expect_safe(SearchCase::ChangedSet);
}

#[gtest]
fn search_late_change_safe() {
    expect_safe(SearchCase::LateChange);
}

#[gtest]
fn search_dead_monitor_safe() {
    expect_safe(SearchCase::DeadMonitor);
}

#[gtest]
fn search_late_death_safe() {
    expect_safe(SearchCase::LateDeath);
}

#[gtest]
fn search_short_promise_unsafe() {
    let rule = Some(BrokenRule::ShortPromise);
    let outcome = search(SearchCase::FixedSet, SHORT_PROMISE_MAX_MOVES, rule);
    expect_that!(outcome.unsafe_states, gt(0));
}
