//! Tests of the state of the stand-in backend server.

use googletest::prelude::*;
use jy_standins::backend_fault::RestartKind;
use jy_standins::backend_state::BackendRefusal;
use jy_standins::backend_state::BackendSettings;
use jy_standins::backend_state::BackendState;
use jy_standins::journal::RunEntry;
use jy_standins::journal::RunOutcome;
use jy_types::time::Millis;

/// Makes a backend server with four slots and a cold start of 1 s.
fn state(checks_fence: bool) -> BackendState {
    let settings = BackendSettings {
        slots: 4,
        checks_fence,
        work_ms: 2,
        cold_ms: 1_000,
    };
    BackendState::new(Millis(0), settings, 7)
}

/// Makes the journal entry of a run of unit `u`.
fn entry(start: u64, fence: u64) -> RunEntry {
    RunEntry {
        request_id: None,
        idempotency_key: None,
        unit: Some("u".into()),
        key: None,
        fence,
        path: "/".into(),
        start: Millis(start),
        end: Millis::MAX,
        how: RunOutcome::Open,
    }
}

#[gtest]
fn begin_refuses_stale_fence_only_if_checked() {
    let mut checking = state(true);
    assert_that!(checking.begin(entry(2_000, 5)), ok(eq(0)));
    assert_that!(
        checking.begin(entry(2_000, 4)),
        err(eq(BackendRefusal::StaleFence))
    );
    let mut unchecked = state(false);
    assert_that!(unchecked.begin(entry(2_000, 5)), ok(eq(0)));
    assert_that!(unchecked.begin(entry(2_000, 4)), ok(eq(1)));
}

#[gtest]
fn begin_sheds_when_warm_and_all_slots_taken() {
    let mut state = state(false);
    let accepted: Vec<bool> = (0..5)
        .map(|_| state.begin(entry(1_000, 1)).is_ok())
        .collect();
    assert_that!(accepted, eq(&vec![true, true, true, true, false]));
    assert_that!(state.counts().shed, eq(1));
    state.end(0, Millis(1_001), RunOutcome::Done);
    assert_that!(state.begin(entry(1_001, 1)), ok(anything()));
}

#[gtest]
fn begin_crashes_on_overload_in_cold_start() {
    let mut state = state(false);
    assert_that!(state.begin(entry(100, 1)), ok(anything()));
    assert_that!(state.begin(entry(100, 1)), err(eq(BackendRefusal::Crashed)));
    state.restart(Millis(100), 8, RestartKind::Silent);
    assert_that!(state.is_announced_cold(Millis(200)), eq(false));
    assert_that!(state.begin(entry(200, 1)), ok(anything()));
    state.end(0, Millis(200), RunOutcome::Lost);
    assert_that!(state.begin(entry(200, 1)), err(eq(BackendRefusal::Crashed)));
    assert_that!(state.counts().overruns, eq(2));
}
