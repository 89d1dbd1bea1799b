//! The extra sends of all agents together stay within the platform's limit.

use googletest::prelude::*;
use jy_policy::budget::BudgetLimits;
use jy_policy::budget::SendCounter;
use jy_policy::budget::SendPurpose;
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
            if counter.spend(Millis(now), LIMITS, agents, SendPurpose::UrgentRetry) {
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
    expect_that!(
        counter.spend(Millis(200), LIMITS, 10, SendPurpose::UrgentRetry),
        eq(true)
    );
    expect_that!(
        counter.spend(Millis(20_000), LIMITS, 100, SendPurpose::UrgentRetry),
        eq(false)
    );
}

/// Load pattern: all backend servers of a service reject half of what they get, while many answers are slow
/// enough to be hedged. Guards against hedges that leave no extra send for failed calls of running requests.
#[gtest]
fn spend_rejecting_servers_calls_come_before_hedges() {
    let mut counter = SendCounter::new();
    let mut spent = [0_u32; 3];
    let purposes = [
        SendPurpose::Hedge,
        SendPurpose::Retry,
        SendPurpose::UrgentRetry,
    ];
    for now in 0..10_000 {
        counter.request(Millis(now), LIMITS);
        for (purpose, spent) in purposes.into_iter().zip(&mut spent) {
            *spent += u32::from(counter.spend(Millis(now), LIMITS, 10, purpose));
        }
    }
    let [hedges, retries, urgent_retries] = spent;
    expect_that!(hedges, gt(0));
    expect_that!(urgent_retries, gt(hedges + retries));
}
