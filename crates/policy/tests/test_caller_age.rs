//! Callers that return after a refusal keep the age of their first attempt, and no others get one.

use googletest::prelude::*;
use jy_policy::caller_age::CallerAges;
use jy_types::routing::RouteRule;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time limit of first attempts, in milliseconds.
const LIMIT_MS: u64 = 2_000;

/// Returns a route.
fn rule() -> RouteRule {
    RouteRule {
        name: "route".into(),
        host: "h.example".into(),
        prefix: "/p/".into(),
        idempotent: true,
        timeout_ms: 5_000,
        objective_ms: 700,
        priority: 1,
        max_attempts: 2,
        public: false,
        targets: Vec::new(),
    }
}

/// Observes one request every 100 ms from `from` on, with the limits that `limit` returns, and returns the ages.
fn ages(ages: &mut CallerAges, from: u64, count: u64, mut limit: impl FnMut() -> u64) -> Vec<u64> {
    let rule = rule();
    (0..count)
        .map(|index| ages.observe(Millis(from + index * 100), &rule, limit()))
        .collect()
}

/// Returns an object that has learned [`LIMIT_MS`] by the time 10,000 ms.
fn learned() -> CallerAges {
    let mut caller_ages = CallerAges::new();
    let _ages = ages(&mut caller_ages, 0, 100, || LIMIT_MS);
    caller_ages
}

/// In an overload of three times the capacity, two of three requests are repeated: the limit must be known
/// throughout, or returning callers lose their place when it matters.
#[gtest]
fn observe_overload_ages_returning_callers() {
    let mut caller_ages = learned();
    let mut rng = SmallRng::seed_from_u64(1);
    for index in 0..2_000 {
        let now = Millis(10_000 + index * 20);
        let elapsed_ms = if index % 3 == 0 {
            0
        } else {
            rng.random_range(100..1_700)
        };
        let age_ms = caller_ages.observe(now, &rule(), LIMIT_MS - elapsed_ms);
        expect_that!(age_ms, eq(elapsed_ms));
    }
}

/// Guards against requests that are moved ahead of others since their caller is less patient.
#[gtest]
fn observe_varying_limits_are_left() {
    let mut rng = SmallRng::seed_from_u64(2);
    let varying = ages(&mut CallerAges::new(), 0, 500, || {
        rng.random_range(1_200..=5_000)
    });
    expect_that!(varying.iter().sum::<u64>(), eq(0));
    let mut is_long = false;
    let two_limits = ages(&mut CallerAges::new(), 0, 500, || {
        is_long = !is_long;
        if is_long { 5_000 } else { 1_200 }
    });
    expect_that!(two_limits[50..].iter().sum::<u64>(), eq(0));
}

/// Guards against one patient caller that makes all others count as returning ones.
#[gtest]
fn observe_unusual_limit_is_left() {
    let mut caller_ages = learned();
    expect_that!(
        caller_ages.observe(Millis(10_000), &rule(), 60_000),
        eq(0),
        "more than the usual limit is no rest of it"
    );
    expect_that!(caller_ages.observe(Millis(10_001), &rule(), 1_500), eq(500));
    let mixed = ages(&mut caller_ages, 10_100, 400, {
        let mut index = 0;
        move || {
            index += 1;
            if index % 4 == 0 { 900 } else { LIMIT_MS }
        }
    });
    expect_that!(
        mixed[200..].iter().sum::<u64>(),
        eq(0),
        "a second limit is no rest"
    );
}

/// Guards against ages by a limit that callers no longer state.
#[gtest]
fn observe_forgets_with_time_and_changed_route() {
    let mut caller_ages = learned();
    let later = Millis(10_000 + 600_000);
    expect_that!(caller_ages.observe(later, &rule(), 1_500), eq(0));
    let mut caller_ages = learned();
    let mut changed = rule();
    changed.timeout_ms = 1_500;
    expect_that!(caller_ages.observe(Millis(10_000), &changed, 1_500), eq(0));
    let mut caller_ages = learned();
    let shorter = ages(&mut caller_ages, 10_000, 300, || 1_500);
    expect_that!(shorter[200..].iter().sum::<u64>(), eq(0));
}
