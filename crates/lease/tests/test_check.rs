//! Random schedules of the lease protocol: fixed seeds, and fewer schedules than `jybench lease-check` runs.

use googletest::prelude::*;
use jy_lease::rule::BrokenRule;
use jy_lease::timing::LeaseTiming;
use jy_testutils::lease_check::clock::DriftClock;
use jy_testutils::lease_check::outcome::CheckOutcome;
use jy_testutils::lease_check::settings::CheckSettings;
use jy_testutils::lease_check::world::run_random;
use jy_types::time::Millis;

/// Seeds of the schedules in which no rule is broken.
const SEEDS: std::ops::Range<u64> = 1..151;

fn run_all_seeds(run: impl Fn(u64) -> CheckOutcome) -> CheckOutcome {
    SEEDS
        .map(run)
        .fold(CheckOutcome::default(), CheckOutcome::merge)
}

/// First seed for [`BrokenRule::WaitWithoutDrift`], which few schedules expose; `jybench lease-check` prints a
/// seed that does.
const DRIFT_FIRST_SEED: u64 = 480;

/// Whether any agent gets a lease if the first monitors are assigned only after the grace period in which
/// agents without a lease support others.
fn gets_lease_after_late_start(reads_own_record: bool) -> bool {
    let settings = CheckSettings {
        observation_ms: LeaseTiming::default().monitor_grace_ms + 1_000,
        reads_own_record,
        ..CheckSettings::reliable(6, |_, _| Vec::new())
    };
    run_random(&settings, 1).running_ms > 0
}

/// Counts the unsafe schedules among 80 seeds, starting at `first_seed`, with a rule broken.
fn count_unsafe(rule: BrokenRule, first_seed: u64) -> u64 {
    let run = |seed| run_random(&CheckSettings::with_broken_rule(rule, seed), seed);
    let outcomes = (first_seed..first_seed + 80).map(run);
    let outcome = outcomes.fold(CheckOutcome::default(), CheckOutcome::merge);
    outcome.unsafe_schedules
}

#[gtest]
fn ended_wait_ms_covers_drift_of_whole_wait() {
    let timing = LeaseTiming::default();
    let slow = DriftClock::new(0, -10_000);
    let fast = DriftClock::new(0, 10_000);
    let last_support = slow.real_time_of(Millis(timing.monitor_grace_ms + timing.ttl_ms));
    expect_that!(
        fast.real_time_of(Millis(timing.ended_wait_ms())),
        ge(last_support)
    );
    let wait_with_ttl_margin_ms = timing.monitor_grace_ms + timing.promise_ms();
    expect_that!(
        fast.real_time_of(Millis(wait_with_ttl_margin_ms)),
        lt(last_support)
    );
}

#[gtest]
fn run_random_late_start_needs_read_of_own_record() {
    expect_that!(gets_lease_after_late_start(true), eq(true));
    expect_that!(gets_lease_after_late_start(false), eq(false));
}

#[gtest]
fn run_random_mixed_faults_safe() {
    let outcome = run_all_seeds(|seed| run_random(&CheckSettings::mixed(seed), seed));
    expect_that!(outcome.unsafe_seed, none());
    expect_that!(outcome.verdicts, gt(SEEDS.end));
    expect_that!(outcome.promotions, gt(SEEDS.end));
}

#[gtest]
fn run_random_isolated_monitor_safe() {
    let outcome = run_all_seeds(|seed| run_random(&CheckSettings::isolated_monitor(seed), seed));
    expect_that!(outcome.unsafe_seed, none());
    expect_that!(outcome.verdicts, gt(SEEDS.end / 2));
    expect_that!(outcome.undetected_losses, eq(0));
}

#[gtest]
fn run_random_renew_after_vote_unsafe() {
    expect_that!(count_unsafe(BrokenRule::RenewAfterVote, 1), gt(0));
}

#[gtest]
fn run_random_short_promise_unsafe() {
    expect_that!(count_unsafe(BrokenRule::ShortPromise, 1), gt(0));
}

#[gtest]
fn run_random_support_from_reply_unsafe() {
    expect_that!(count_unsafe(BrokenRule::SupportFromReply, 1), gt(0));
}

#[gtest]
fn run_random_no_joint_set_unsafe() {
    expect_that!(count_unsafe(BrokenRule::NoJointSet, 1), gt(0));
}

#[gtest]
fn run_random_change_after_verdict_unsafe() {
    expect_that!(count_unsafe(BrokenRule::ChangeAfterVerdict, 1), gt(0));
}

#[gtest]
fn run_random_support_without_lease_unsafe() {
    expect_that!(count_unsafe(BrokenRule::SupportWithoutLease, 1), gt(0));
}

#[gtest]
fn run_random_wait_without_grace_unsafe() {
    expect_that!(count_unsafe(BrokenRule::WaitWithoutGrace, 1), gt(0));
}

#[gtest]
fn run_random_wait_without_drift_unsafe() {
    expect_that!(
        count_unsafe(BrokenRule::WaitWithoutDrift, DRIFT_FIRST_SEED),
        gt(0)
    );
}

#[gtest]
fn run_random_left_counted_unsafe() {
    expect_that!(count_unsafe(BrokenRule::LeftCounted, 1), gt(0));
}
