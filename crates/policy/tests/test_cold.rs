//! Rate limit for a backend server in cold start.

use googletest::prelude::*;
use jy_policy::cold::ColdStartLimiter;
use jy_policy::cold_check::ColdCheckSchedule;
use jy_types::time::Millis;

/// Request rate that the backend server sustains in its cold start.
const RATE_PER_S: f64 = 14.0;

/// Creates a limit whose cold start begins at `started_at`.
fn cold_start_limiter(started_at: Millis) -> ColdStartLimiter {
    let mut limiter = ColdStartLimiter::new();
    limiter.set_rate(RATE_PER_S);
    limiter.set_cold_until(started_at, started_at.plus(10_000));
    limiter
}

#[gtest]
fn try_acquire_any_second_stays_within_limit() {
    let mut limiter = cold_start_limiter(Millis(0));
    let mut taken: Vec<u64> = Vec::new();
    for now in 0..5_000 {
        if limiter.try_acquire(Millis(now)) {
            taken.push(now);
        }
    }
    let max_in_second = taken
        .iter()
        .map(|from| {
            taken
                .iter()
                .filter(|at| (*from..from + 1_000).contains(*at))
                .count()
        })
        .max();
    // The platform allows 14 requests per second, half as many again, and five more.
    expect_that!(max_in_second, some(le(26)));
    expect_that!(taken.len(), ge(60), "the allowed rate is used");
}

#[gtest]
fn try_acquire_unlimited_when_warm() {
    let mut limiter = ColdStartLimiter::new();
    limiter.set_rate(RATE_PER_S);
    let taken = (0..100).filter(|_| limiter.try_acquire(Millis(5))).count();
    expect_that!(taken, eq(100));
}

#[gtest]
fn set_cold_until_new_cold_start_has_no_tokens() {
    let mut limiter = cold_start_limiter(Millis(0));
    limiter.set_cold_until(Millis(3_000), Millis(3_000));
    expect_that!(limiter.try_acquire(Millis(3_100)), eq(true));
    limiter.set_cold_until(Millis(4_000), Millis(7_000));
    expect_that!(limiter.try_acquire(Millis(4_000)), eq(false));
    expect_that!(limiter.next_available_at(Millis(4_000)), eq(Millis(4_072)));
}

/// Time until a status check is answered, in milliseconds.
const CHECK_MS: u64 = 10;

/// Returns the most requests that a backend server gets in one second if it is offered `rate_per_s` requests per second
/// and turns cold at `cold_at` for 3 s, without an announcement.
fn most_in_one_second(rate_per_s: u64, cold_at: u64) -> usize {
    let (mut limiter, mut checks) = (ColdStartLimiter::new(), ColdCheckSchedule::new());
    limiter.set_rate(RATE_PER_S);
    let mut sent: Vec<u64> = Vec::new();
    let mut answer_due = None;
    let mut waiting = 0;
    for now in 0..cold_at + 2_000 {
        if answer_due == Some(now) {
            answer_due = None;
            checks.end();
            if now - CHECK_MS / 2 >= cold_at {
                limiter.set_cold_until(Millis(now), Millis(cold_at + 3_000));
            }
        }
        waiting += usize::from(now * rate_per_s / 1_000 != (now + 1) * rate_per_s / 1_000);
        while waiting > 0 && limiter.try_acquire(Millis(now)) {
            waiting -= 1;
            sent.push(now);
            if !limiter.is_cold(Millis(now)) && checks.record_sent(Millis(now), RATE_PER_S) {
                answer_due = Some(now + CHECK_MS);
            }
        }
    }
    let count_from = |from: u64| {
        let in_second = |at: &&u64| (from..from + 1_000).contains(*at);
        sent.iter().filter(in_second).count()
    };
    let cold = sent.iter().filter(|at| **at >= cold_at);
    cold.map(|from| count_from(*from)).max().unwrap_or(0)
}

/// Guards against a busy backend server that turns cold between two announcements, gets its full share and crashes.
#[gtest]
fn record_sent_busy_server_turning_cold_stays_within_limit() {
    for rate_per_s in [10, 22, 30, 39, 60, 100, 200] {
        for cold_at in (5_000..6_000).step_by(7) {
            let most = most_in_one_second(rate_per_s, cold_at);
            expect_that!(most, le(26), "{rate_per_s} per second, cold at {cold_at}");
        }
    }
}

/// Guards against status checks that cost more than they find: an idle backend server is not asked.
#[gtest]
fn record_sent_few_requests_asks_nothing() {
    let mut checks = ColdCheckSchedule::new();
    let mut ask = |now: u64| checks.record_sent(Millis(now), RATE_PER_S);
    let asked = (0..100).filter(|number| ask(number * 200)).count();
    expect_that!(asked, eq(0));
    let unlimited =
        (0..100).filter(|number| checks.record_sent(Millis(30_000 + number), f64::INFINITY));
    expect_that!(unlimited.count(), eq(0));
}
