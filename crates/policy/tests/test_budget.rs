//! Callers whose failed requests are sent once more: all agents together stay within the platform's bound.

use googletest::prelude::*;
use jy_policy::budget::BudgetLimits;
use jy_policy::budget::SendCounter;
use jy_types::time::Millis;

/// The bound of the association's deployments.
const TERMS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    slack: 56.0,
    window_ms: 10_000,
};

#[gtest]
fn spend_all_agents_stay_in_bound() {
    let agents = 10;
    let mut accounts = vec![SendCounter::new(); agents];
    let (mut requests, mut extras) = (0, 0);
    for now in 0..10_000_u64 {
        for account in &mut accounts {
            if now % 50 == 0 {
                account.request(Millis(now), TERMS);
                requests += 1;
            }
            if account.spend(Millis(now), TERMS, agents) {
                extras += 1;
            }
        }
    }
    let bound = f64::from(requests) * TERMS.ratio + TERMS.slack;
    expect_that!(f64::from(extras), le(bound));
    expect_that!(extras, gt(0));
}

#[gtest]
fn spend_old_entries_leave_window() {
    let mut account = SendCounter::new();
    for now in 0..100 {
        account.request(Millis(now), TERMS);
    }
    expect_that!(account.spend(Millis(200), TERMS, 10), eq(true));
    expect_that!(account.spend(Millis(20_000), TERMS, 100), eq(false));
}
