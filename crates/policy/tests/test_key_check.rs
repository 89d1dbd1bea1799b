//! Tests of the decision whether a request may run with its key, with outages of the store and frozen agents.

use googletest::prelude::*;
use jy_policy::key_check::ConfigurationAge;
use jy_policy::key_check::KeyDecision;
use jy_policy::key_check::MAX_UNKNOWN_KEY_PROOF_AGE_MS;
use jy_policy::key_check::REVOKE_MARGIN_MS;
use jy_policy::key_check::may_dispatch;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REVOKE_MS: u64 = 5_000;
/// Interval of the watch on the store, in milliseconds.
const WATCH_MS: u64 = 500;
const SEED: u64 = 20_261_206;
const SCHEDULES: usize = 300;
const SCHEDULE_MS: u64 = 30_000;

/// Returns the age of a configuration that was proved at `proved_until`.
fn age(proved_until: u64, revoke_ms: Option<u64>) -> ConfigurationAge {
    ConfigurationAge {
        proved_until: Millis(proved_until),
        revoke_ms,
    }
}

/// Short outages must affect nobody; later ones refuse keyed requests as not run, never with 401.
#[gtest]
fn decide_by_age_of_proof() {
    let last = 10_000 + REVOKE_MS - REVOKE_MARGIN_MS;
    let allowed = |until| KeyDecision::Allowed {
        valid_until: Millis(until),
    };
    let bounded = age(10_000, Some(REVOKE_MS));
    expect_that!(bounded.decide(Millis(10_000), true), eq(allowed(last)));
    expect_that!(bounded.decide(Millis(last - 1), true), eq(allowed(last)));
    expect_that!(
        bounded.decide(Millis(last), true),
        eq(KeyDecision::Outdated)
    );
    expect_that!(
        bounded.decide(Millis(last), false),
        eq(KeyDecision::Outdated)
    );
    for revoke_ms in [None, Some(REVOKE_MS)] {
        let age = age(10_000, revoke_ms);
        let fresh = Millis(10_000 + MAX_UNKNOWN_KEY_PROOF_AGE_MS);
        expect_that!(age.decide(fresh, false), eq(KeyDecision::Rejected));
        expect_that!(age.decide(fresh.plus(1), false), eq(KeyDecision::Outdated));
    }
    let unbounded = age(10_000, None).decide(Millis(9_000_000), true);
    expect_that!(unbounded, eq(allowed(u64::MAX)));
}

/// Random outages of the store and frozen agents, during which the boot clock runs on. A key is withdrawn or added at
/// a random time. Guards against a request that runs with a withdrawn key, against 401 for a key that was accepted, and
/// against refusals in short outages.
#[gtest]
fn decide_random_schedules_withdrawn_key_is_refused() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let (mut refused, mut ran_in_outage) = (0, 0);
    for _ in 0..SCHEDULES {
        let changed_at = rng.random_range(1_000..SCHEDULE_MS);
        let is_withdrawn = rng.random_bool(0.5);
        let outage_at = rng.random_range(1_000..SCHEDULE_MS);
        let outage_end = outage_at + rng.random_range(0..12_000);
        let frozen_at = rng.random_range(1_000..SCHEDULE_MS);
        let frozen_end = frozen_at + rng.random_range(0..8_000);
        let (mut proved, mut watch_sent, mut is_changed) = (0, 0, false);
        for now in 0..SCHEDULE_MS + 12_000 {
            if (frozen_at..frozen_end).contains(&now) {
                continue;
            }
            let is_store_up = !(outage_at..outage_end).contains(&now);
            // A watch is answered at the end of its wait, or once the store is back. It proves nothing newer until
            // the end of its wait.
            if is_store_up && now >= watch_sent + WATCH_MS {
                proved = watch_sent + WATCH_MS;
                watch_sent = now;
            }
            is_changed |= proved >= changed_at;
            let is_known = is_changed != is_withdrawn;
            let decision = age(proved, Some(REVOKE_MS)).decide(Millis(now), is_known);
            match decision {
                KeyDecision::Allowed { valid_until } => {
                    let too_late = is_withdrawn && now > changed_at + REVOKE_MS;
                    expect_that!(too_late, eq(false), "ran at {now}");
                    let runs_after =
                        is_withdrawn && may_dispatch(Millis(changed_at + REVOKE_MS), valid_until);
                    expect_that!(runs_after, eq(false), "valid until {valid_until:?}");
                    ran_in_outage += u32::from(!is_store_up);
                }
                KeyDecision::Outdated => {
                    refused += 1;
                    let is_short = now < proved + MAX_UNKNOWN_KEY_PROOF_AGE_MS;
                    expect_that!(is_short, eq(false), "refused at {now}");
                }
                KeyDecision::Rejected => {
                    let is_valid = if is_withdrawn {
                        now < changed_at
                    } else {
                        now > changed_at + MAX_UNKNOWN_KEY_PROOF_AGE_MS
                    };
                    expect_that!(is_valid, eq(false), "rejected at {now}");
                }
            }
        }
    }
    expect_that!(refused, gt(0));
    expect_that!(ran_in_outage, gt(0));
}
