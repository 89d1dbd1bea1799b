//! The extra sends of all agents together stay within the platform's limit.

use googletest::prelude::*;
use jy_policy::budget::BudgetLimits;
use jy_policy::budget::SendCounter;
use jy_types::time::Millis;

/// The limits of the association's deployments.
const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    slack: 56.0,
    window_ms: 10_000,
};

#[gtest]
fn spend_all_agents_stay_within_limit() {
    let agents = 10;
    let mut counters = vec![SendCounter::new(); agents];
    let (mut requests, mut extras) = (0, 0);
    for now in 0..10_000_u64 {
        for counter in &mut counters {
            if now % 50 == 0 {
                counter.request(Millis(now), LIMITS);
                requests += 1;
            }
            if counter.spend(Millis(now), LIMITS, agents) {
                extras += 1;
            }
        }
    }
    let limit = f64::from(requests) * LIMITS.ratio + LIMITS.slack;
    expect_that!(f64::from(extras), le(limit));
    expect_that!(extras, gt(0));
}

#[gtest]
fn spend_old_entries_leave_window() {
    let mut counter = SendCounter::new();
    for now in 0..100 {
        counter.request(Millis(now), LIMITS);
    }
    expect_that!(counter.spend(Millis(200), LIMITS, 10), eq(true));
    expect_that!(counter.spend(Millis(20_000), LIMITS, 100), eq(false));
}
