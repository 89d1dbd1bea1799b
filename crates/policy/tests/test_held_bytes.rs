//! Bodies that together exceed a backend server's memory crash it a few times, not for as long as they are sent.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jy_policy::held_bytes::HeldBytes;
use jy_policy::held_bytes::MIN_CRASH_BYTES;
use jy_types::time::Millis;

const MEGABYTE: u64 = 1_000_000;
/// What the backend server can hold.
const MEMORY_BYTES: u64 = 40 * MEGABYTE;
const BODY_BYTES: u64 = 8 * MEGABYTE;
const SERVICE_MS: u64 = 2_000;
/// At this interval, 20 bodies would be held at once.
const INTERVAL_MS: usize = 100;
const RESTART_MS: u64 = 3_000;
const PERIOD_MS: u64 = 300_000;

/// Plays bodies sent at a steady rate. Returns the numbers of crashes and of bodies served.
fn play(is_learning: bool) -> (u32, u32) {
    let mut held = HeldBytes::new();
    let mut ends: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut crashes, mut served, mut up_at) = (0, 0, 0);
    for now in (0..PERIOD_MS).step_by(INTERVAL_MS) {
        while let Some((_, bytes)) = ends
            .first_entry()
            .filter(|end| *end.key() <= now)
            .map(|end| end.remove_entry())
        {
            held.end(bytes);
            served += 1;
        }
        if now < up_at || !held.start(Millis(now), BODY_BYTES) {
            continue;
        }
        ends.insert(now + SERVICE_MS, BODY_BYTES);
        if held.in_flight() <= MEMORY_BYTES {
            continue;
        }
        crashes += 1;
        up_at = now + RESTART_MS;
        for bytes in std::mem::take(&mut ends).into_values() {
            held.record_failure(Millis(now));
            held.end(bytes);
        }
        if is_learning {
            held.record_refusal(Millis(now));
        }
    }
    (crashes, served)
}

/// Guards against a backend server that is crashed again as soon as it is back, and against a bound that stops the load.
#[gtest]
fn start_bodies_beyond_memory_crash_once() {
    let (crashes, served) = play(true);
    let (crashes_before, served_before) = play(false);
    expect_that!(crashes, eq(1));
    expect_that!(crashes_before, ge(50), "the load is as intended");
    expect_that!(served, ge(4 * served_before.max(50)));
}

/// Guards against an effect on backend servers that have not crashed, or have for other causes.
#[gtest]
fn start_without_sign_is_unbounded() {
    let mut held = HeldBytes::new();
    expect_that!(held.start(Millis(0), MIN_CRASH_BYTES - 1), eq(true));
    held.record_failure(Millis(0));
    held.end(MIN_CRASH_BYTES - 1);
    expect_that!(
        held.record_refusal(Millis(10)),
        none(),
        "little was in flight"
    );
    expect_that!(held.start(Millis(5_000), 1_000 * MEGABYTE), eq(true));
    held.record_failure(Millis(5_000));
    held.end(1_000 * MEGABYTE);
    expect_that!(held.bound(Millis(5_010)), none(), "a time-out is no crash");
    let late = held.record_restart(Millis(60_000));
    expect_that!(late, none(), "the crash came later");
    expect_that!(held.start(Millis(60_000), 1_000 * MEGABYTE), eq(true));
    let timed_out = held.record_failure(Millis(60_100));
    expect_that!(timed_out, none(), "the new incarnation has not crashed");
}

/// Guards against a bound that is missed where the connection is refused before the failures are seen, that falls with
/// each sign of one crash, that holds up small requests, or that never ends.
#[gtest]
fn record_failure_after_refusal_bounds_large_requests() {
    let mut held = HeldBytes::new();
    expect_that!(held.start(Millis(0), 10 * MEGABYTE), eq(true));
    expect_that!(held.start(Millis(0), 10 * MEGABYTE), eq(true));
    expect_that!(held.record_refusal(Millis(10)), none());
    let bounds = [11, 12].map(|now| {
        let bound = held.record_failure(Millis(now));
        held.end(10 * MEGABYTE);
        bound
    });
    expect_that!(bounds, eq([Some(10 * MEGABYTE), None]));
    expect_that!(held.record_restart(Millis(15)), none(), "the same crash");
    expect_that!(held.start(Millis(20), 9 * MEGABYTE), eq(true));
    expect_that!(held.start(Millis(20), 2 * MEGABYTE), eq(false));
    expect_that!(held.start(Millis(20), 4_000), eq(true));
    expect_that!(held.start(Millis(600_100), 2 * MEGABYTE), eq(true));
}

/// Guards against a planned restart that counts as a crash since a connection had ended before.
#[gtest]
fn record_restart_after_leaving_sets_no_bound() {
    let restart = |is_leaving| {
        let mut held = HeldBytes::new();
        expect_that!(held.start(Millis(0), 10 * MEGABYTE), eq(true));
        held.record_failure(Millis(10));
        held.end(10 * MEGABYTE);
        if is_leaving {
            held.forget_failures();
        }
        held.record_restart(Millis(3_000))
    };
    expect_that!(restart(false), some(eq(5 * MEGABYTE)));
    expect_that!(restart(true), none());
}
