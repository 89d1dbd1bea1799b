//! Repeats of non-idempotent requests.

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
use common::warm;
use googletest::prelude::*;
use jy_gate::api::Arrival;
use jy_gate::api::DispatchOutcome;
use jy_gate::api::GateAction;
use jy_gate::api::GateEvent;
use jy_gate::api::GateSettings;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;

/// A non-idempotent request with an id.
fn order(ticket: u64, id: &str) -> GateEvent {
    GateEvent::Arrive(Arrival {
        idempotent: false,
        idempotency_key: Some(id.into()),
        ..arrival(ticket)
    })
}

/// A UUIDv7 made at a point of the wall clock.
fn timed_id(wall: u64, number: u64) -> String {
    format!(
        "{:08x}-{:04x}-7000-8000-{number:012x}",
        wall >> 16,
        wall & 0xffff
    )
}

/// Serves one order to its end.
fn serve(driver: &mut GateDriver, ticket: u64, id: &str, end: DispatchOutcome) {
    driver.step(order(ticket, id));
    driver.step(ended(ticket, end));
}

/// The kind of the only refusal.
fn kind(actions: &[GateAction]) -> Option<RefusalKind> {
    refused(actions).first().map(|refusal| refusal.1)
}

/// A gate that gained the unit by a loss just now.
fn after_loss() -> GateDriver {
    let mut driver = GateDriver::serving(warm());
    driver.step(GateEvent::Grants(Default::default()));
    driver.step(grants(false, false));
    driver
}

#[gtest]
fn repeat_gets_same_answer() {
    let mut driver = GateDriver::serving(warm());
    serve(&mut driver, 1, "a", answered("seal 1"));
    let actions = driver.step(order(2, "a"));
    let body = match &actions[..] {
        [GateAction::Replay { answer, .. }] => Some(&*answer.body),
        _ => None,
    };
    expect_that!(body, some(eq("seal 1")));
}

#[gtest]
fn repeat_of_running_request_is_not_called_not_run() {
    let mut driver = GateDriver::serving(warm());
    driver.step(order(1, "a"));
    let expected = (2, RefusalKind::StillRunning, RunState::Unknown);
    expect_that!(
        refused(&driver.step(order(2, "a"))),
        elements_are![eq(&expected)]
    );
}

#[gtest]
fn other_request_with_same_id_is_refused() {
    let mut driver = GateDriver::serving(warm());
    serve(&mut driver, 1, "a", answered("x"));
    let GateEvent::Arrive(first) = order(2, "a") else {
        return;
    };
    let other = Arrival { digest: 9, ..first };
    let actions = driver.step(GateEvent::Arrive(other));
    expect_that!(kind(&actions), some(eq(RefusalKind::IdReused)));
}

#[gtest]
fn unknown_outcome_stays_unknown() {
    let mut driver = GateDriver::serving(warm());
    serve(&mut driver, 1, "a", DispatchOutcome::Unknown);
    let actions = driver.step(order(2, "a"));
    expect_that!(kind(&actions), some(eq(RefusalKind::OutcomeUnknown)));
}

#[gtest]
fn request_that_did_not_run_may_run_again() {
    let shed = DispatchOutcome::Answered {
        shed: true,
        answer: None,
    };
    for end in [DispatchOutcome::NotSent, shed] {
        let mut driver = GateDriver::serving(warm());
        serve(&mut driver, 1, "a", end);
        expect_that!(
            dispatched(&driver.step(order(2, "a"))),
            elements_are![eq(&2)]
        );
    }
}

#[gtest]
fn caller_gone_while_queued_forgets_id() {
    let mut driver = GateDriver::serving(warm());
    for ticket in [1, 2] {
        driver.step(GateEvent::Arrive(arrival(ticket)));
    }
    driver.step(order(3, "a"));
    driver.step(GateEvent::CallerGone { ticket: 3 });
    driver.step(ended(1, answered("x")));
    expect_that!(
        dispatched(&driver.step(order(4, "a"))),
        elements_are![eq(&4)]
    );
}

#[gtest]
fn full_window_refuses_what_it_may_have_forgotten() {
    let mut driver = GateDriver::serving(GateSettings {
        window_entries: 1,
        ..warm()
    });
    let old = timed_id(WALL.0, 1);
    serve(&mut driver, 1, &old, answered("x"));
    serve(&mut driver, 2, &timed_id(WALL.0, 2), answered("x"));
    for id in [&*old, "plain"] {
        let actions = driver.step(order(3, id));
        expect_that!(kind(&actions), some(eq(RefusalKind::OutcomeUnknown)));
    }
    driver.tick(1_500);
    let fresh = timed_id(WALL.0 + 1_500, 3);
    expect_that!(
        dispatched(&driver.step(order(4, &fresh))),
        elements_are![eq(&4)]
    );
}

#[gtest]
fn window_drops_old_answers_past_bytes() {
    let mut driver = GateDriver::serving(GateSettings {
        window_bytes: 8,
        ..warm()
    });
    serve(&mut driver, 1, "a", answered("seal 1"));
    serve(&mut driver, 2, "b", answered("seal 2"));
    let actions = driver.step(order(3, "a"));
    expect_that!(kind(&actions), some(eq(RefusalKind::OutcomeUnknown)));
    expect_that!(driver.read(|state| state.window_size()), eq((2, 6)));
}

#[gtest]
fn loss_refuses_ids_from_before() {
    let mut driver = after_loss();
    driver.tick(2_000);
    for made in [WALL.0 - 5_000, WALL.0 + 900] {
        let actions = driver.step(order(1, &timed_id(made, 1)));
        expect_that!(kind(&actions), some(eq(RefusalKind::OutcomeUnknown)));
    }
}

#[gtest]
fn loss_admits_ids_from_after() {
    let mut driver = after_loss();
    driver.tick(1_900);
    let id = timed_id(WALL.0 + 1_200, 1);
    expect_that!(
        dispatched(&driver.step(order(1, &id))),
        elements_are![eq(&1)]
    );
}

#[gtest]
fn loss_holds_plain_ids_for_a_time() {
    let mut driver = after_loss();
    let actions = driver.step(order(1, "plain"));
    expect_that!(kind(&actions), some(eq(RefusalKind::OutcomeUnknown)));
    driver.tick(30_000);
    expect_that!(
        dispatched(&driver.step(order(2, "plain"))),
        elements_are![eq(&2)]
    );
}

#[gtest]
fn move_right_after_loss_hands_gap_over() {
    let mut old = after_loss();
    let actions = old.step(grants(true, false));
    let Some(GateAction::Release { entries, .. }) = actions.first() else {
        panic!("no release: {actions:?}");
    };
    let mut new = GateDriver::serving(warm());
    new.step(GateEvent::Handover {
        units: vec![UNIT],
        entries: entries.clone(),
    });
    let actions = new.step(order(1, &timed_id(WALL.0 - 5_000, 1)));
    expect_that!(kind(&actions), some(eq(RefusalKind::OutcomeUnknown)));
}

#[gtest]
fn id_older_than_window_is_refused() {
    let mut driver = GateDriver::serving(warm());
    let old = timed_id(WALL.0 - 600_000, 1);
    let actions = driver.step(order(1, &old));
    expect_that!(kind(&actions), some(eq(RefusalKind::OutcomeUnknown)));
    expect_that!(driver.now, eq(START));
}
