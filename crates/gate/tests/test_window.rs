//! Tests of repeats of non-idempotent requests.

mod common;

use common::GateDriver;
use common::START;
use common::UNIT;
use common::WALL;
use common::answered;
use common::arrival;
use common::dispatched;
use common::ended;
use common::grants;
use common::refused;
use common::warm_settings;
use googletest::prelude::*;
use jy_gate::api::Arrival;
use jy_gate::api::DispatchOutcome;
use jy_gate::api::GateAction;
use jy_gate::api::GateEvent;
use jy_gate::api::GateSettings;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;

/// Returns the arrival of a non-idempotent request with an id.
fn non_idempotent(ticket: u64, id: &str) -> GateEvent {
    GateEvent::Arrive(Arrival {
        idempotent: false,
        idempotency_key: Some(id.into()),
        ..arrival(ticket)
    })
}

/// Returns a UUIDv7 with a creation time on the wall clock.
fn timed_id(wall: u64, number: u64) -> String {
    format!(
        "{:08x}-{:04x}-7000-8000-{number:012x}",
        wall >> 16,
        wall & 0xffff
    )
}

/// Makes a non-idempotent request arrive and end.
fn run_to_end(driver: &mut GateDriver, ticket: u64, id: &str, outcome: DispatchOutcome) {
    driver.step(non_idempotent(ticket, id));
    driver.step(ended(ticket, outcome));
}

/// Returns the kind of the first refusal.
fn refusal_kind(actions: &[GateAction]) -> Option<RefusalKind> {
    refused(actions).first().map(|refusal| refusal.1)
}

/// Returns a gate that has just gained the unit after the loss of its previous owner.
fn after_loss() -> GateDriver {
    let mut driver = GateDriver::serving(warm_settings());
    driver.step(GateEvent::Grants(Default::default()));
    driver.step(grants(false, false));
    driver
}

#[gtest]
fn arrive_replays_answer() {
    let mut driver = GateDriver::serving(warm_settings());
    run_to_end(&mut driver, 1, "a", answered("seal 1"));
    let actions = driver.step(non_idempotent(2, "a"));
    let body = match &actions[..] {
        [GateAction::Replay { answer, .. }] => Some(&*answer.body),
        _ => None,
    };
    expect_that!(body, some(eq("seal 1")));
}

#[gtest]
fn arrive_refuses_repeat_of_running_request_as_unknown() {
    let mut driver = GateDriver::serving(warm_settings());
    driver.step(non_idempotent(1, "a"));
    let expected = (2, RefusalKind::StillRunning, RunState::Unknown);
    expect_that!(
        refused(&driver.step(non_idempotent(2, "a"))),
        elements_are![eq(&expected)]
    );
}

#[gtest]
fn arrive_refuses_reused_id() {
    let mut driver = GateDriver::serving(warm_settings());
    run_to_end(&mut driver, 1, "a", answered("x"));
    let GateEvent::Arrive(first) = non_idempotent(2, "a") else {
        return;
    };
    let other = Arrival { digest: 9, ..first };
    let actions = driver.step(GateEvent::Arrive(other));
    expect_that!(refusal_kind(&actions), some(eq(RefusalKind::IdReused)));
}

#[gtest]
fn arrive_refuses_repeat_of_unknown_outcome() {
    let mut driver = GateDriver::serving(warm_settings());
    run_to_end(&mut driver, 1, "a", DispatchOutcome::Unknown);
    let actions = driver.step(non_idempotent(2, "a"));
    expect_that!(
        refusal_kind(&actions),
        some(eq(RefusalKind::OutcomeUnknown))
    );
}

#[gtest]
fn arrive_admits_repeat_of_unrun_request() {
    let shed = DispatchOutcome::Answered {
        shed: true,
        answer: None,
    };
    for outcome in [DispatchOutcome::NotSent, shed] {
        let mut driver = GateDriver::serving(warm_settings());
        run_to_end(&mut driver, 1, "a", outcome);
        expect_that!(
            dispatched(&driver.step(non_idempotent(2, "a"))),
            elements_are![eq(&2)]
        );
    }
}

#[gtest]
fn caller_gone_while_queued_forgets_id() {
    let mut driver = GateDriver::serving(warm_settings());
    for ticket in [1, 2] {
        driver.step(GateEvent::Arrive(arrival(ticket)));
    }
    driver.step(non_idempotent(3, "a"));
    driver.step(GateEvent::CallerGone { ticket: 3 });
    driver.step(ended(1, answered("x")));
    expect_that!(
        dispatched(&driver.step(non_idempotent(4, "a"))),
        elements_are![eq(&4)]
    );
}

#[gtest]
fn arrive_refuses_possibly_evicted_id() {
    let mut driver = GateDriver::serving(GateSettings {
        window_entries: 1,
        ..warm_settings()
    });
    let old = timed_id(WALL.0, 1);
    run_to_end(&mut driver, 1, &old, answered("x"));
    run_to_end(&mut driver, 2, &timed_id(WALL.0, 2), answered("x"));
    for id in [&*old, "plain"] {
        let actions = driver.step(non_idempotent(3, id));
        expect_that!(
            refusal_kind(&actions),
            some(eq(RefusalKind::OutcomeUnknown))
        );
    }
    driver.tick(1_500);
    let fresh = timed_id(WALL.0 + 1_500, 3);
    expect_that!(
        dispatched(&driver.step(non_idempotent(4, &fresh))),
        elements_are![eq(&4)]
    );
}

#[gtest]
fn finish_drops_oldest_answer_over_byte_limit() {
    let mut driver = GateDriver::serving(GateSettings {
        window_bytes: 8,
        ..warm_settings()
    });
    run_to_end(&mut driver, 1, "a", answered("seal 1"));
    run_to_end(&mut driver, 2, "b", answered("seal 2"));
    let actions = driver.step(non_idempotent(3, "a"));
    expect_that!(
        refusal_kind(&actions),
        some(eq(RefusalKind::OutcomeUnknown))
    );
    expect_that!(driver.read(|state| state.window_size()), eq((2, 6)));
}

#[gtest]
fn arrive_refuses_id_created_before_loss() {
    let mut driver = after_loss();
    driver.tick(2_000);
    for created in [WALL.0 - 5_000, WALL.0 + 900] {
        let actions = driver.step(non_idempotent(1, &timed_id(created, 1)));
        expect_that!(
            refusal_kind(&actions),
            some(eq(RefusalKind::OutcomeUnknown))
        );
    }
}

#[gtest]
fn arrive_admits_id_created_after_loss() {
    let mut driver = after_loss();
    driver.tick(1_900);
    let id = timed_id(WALL.0 + 1_200, 1);
    expect_that!(
        dispatched(&driver.step(non_idempotent(1, &id))),
        elements_are![eq(&1)]
    );
}

#[gtest]
fn arrive_refuses_plain_id_until_hold_ends() {
    let mut driver = after_loss();
    let actions = driver.step(non_idempotent(1, "plain"));
    expect_that!(
        refusal_kind(&actions),
        some(eq(RefusalKind::OutcomeUnknown))
    );
    driver.tick(30_000);
    expect_that!(
        dispatched(&driver.step(non_idempotent(2, "plain"))),
        elements_are![eq(&2)]
    );
}

#[gtest]
fn release_hands_over_gap_after_loss() {
    let mut old = after_loss();
    let actions = old.step(grants(true, false));
    let Some(GateAction::Release { entries, .. }) = actions.first() else {
        panic!("no release: {actions:?}");
    };
    let mut new = GateDriver::serving(warm_settings());
    new.step(GateEvent::Handover {
        units: vec![UNIT],
        entries: entries.clone(),
    });
    let actions = new.step(non_idempotent(1, &timed_id(WALL.0 - 5_000, 1)));
    expect_that!(
        refusal_kind(&actions),
        some(eq(RefusalKind::OutcomeUnknown))
    );
}

#[gtest]
fn arrive_refuses_id_older_than_window() {
    let mut driver = GateDriver::serving(warm_settings());
    let old = timed_id(WALL.0 - 600_000, 1);
    let actions = driver.step(non_idempotent(1, &old));
    expect_that!(
        refusal_kind(&actions),
        some(eq(RefusalKind::OutcomeUnknown))
    );
    expect_that!(driver.now, eq(START));
}
