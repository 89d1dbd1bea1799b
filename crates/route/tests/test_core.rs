//! Owner, retries and refusals.

mod common;

use common::RouteDriver;
use common::assignment;
use common::fleet;
use common::request;
use common::with_records;
use googletest::prelude::*;
use jy_route::api::AttemptOutcome;
use jy_route::api::RouteAction;
use jy_route::api::RouteEvent;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use std::sync::Arc;

/// The agent that each send goes to.
fn sends(actions: &[RouteAction]) -> Vec<(u32, &str)> {
    let mut found = Vec::new();
    for action in actions {
        if let RouteAction::Send { attempt, to, .. } = action {
            found.push((*attempt, &*to.name));
        }
    }
    found
}

/// The refusal in a list of actions.
fn refusal(actions: &[RouteAction]) -> Option<(RefusalKind, RunState)> {
    actions.iter().find_map(|action| match action {
        RouteAction::Refuse { refusal, .. } => Some((refusal.kind, refusal.ran)),
        _ => None,
    })
}

/// An end of an attempt that the gate refused.
fn not_run(kind: RefusalKind) -> AttemptOutcome {
    let ran = RunState::No;
    AttemptOutcome::Refused { kind, ran }
}

#[gtest]
fn arrive_sends_to_owner() {
    let mut driver = RouteDriver::over(fleet(true));
    let actions = driver.step(request(1, true, false));
    expect_that!(sends(&actions), elements_are![eq(&(1, "a1"))]);
    let actions = driver.end(1, 1, AttemptOutcome::Answered);
    let expected = RouteAction::Finish {
        ticket: 1,
        attempt: 1,
    };
    expect_that!(actions, elements_are![eq(&expected)]);
    expect_that!(driver.read(|state| state.open()), eq(0));
}

#[gtest]
fn not_owner_waits_and_sends_again() {
    let mut driver = RouteDriver::over(fleet(true));
    driver.step(request(1, true, false));
    let actions = driver.end(1, 1, not_run(RefusalKind::NotOwner));
    expect_that!(actions, elements_are![eq(&RouteAction::Pull)]);
    expect_that!(sends(&driver.tick(50)), elements_are![eq(&(2, "a1"))]);
}

#[gtest]
fn new_owner_gets_waiting_request_at_once() {
    let mut driver = RouteDriver::over(fleet(true));
    driver.step(request(1, true, false));
    driver.end(1, 1, AttemptOutcome::NotSent);
    let mut pages: Vec<_> = (0..16).map(|page| assignment(page, Some(2))).collect();
    for page in &mut pages {
        page.revision = 2;
    }
    let view = Arc::new(with_records(fleet(true), &pages));
    let actions = driver.step(RouteEvent::View(view));
    expect_that!(sends(&actions), elements_are![eq(&(2, "a2"))]);
}

#[gtest]
fn unowned_key_is_refused_at_deadline() {
    let mut driver = RouteDriver::over(with_records(
        fleet(true),
        &(0..16)
            .map(|page| assignment(page, None))
            .collect::<Vec<_>>(),
    ));
    expect_that!(sends(&driver.step(request(1, true, false))), is_empty());
    let expected = (RefusalKind::KeyUnavailable, RunState::No);
    expect_that!(refusal(&driver.tick(2_000)), some(eq(expected)));
}

#[gtest]
fn unknown_outcome_is_never_sent_again() {
    for keyed in [true, false] {
        let mut driver = RouteDriver::over(fleet(keyed));
        driver.step(request(1, keyed, false));
        let actions = driver.end(1, 1, AttemptOutcome::Unknown);
        expect_that!(sends(&actions), is_empty());
        let expected = (RefusalKind::OutcomeUnknown, RunState::Unknown);
        expect_that!(refusal(&actions), some(eq(expected)));
    }
}

#[gtest]
fn deadline_with_attempt_in_flight_is_unknown() {
    let mut driver = RouteDriver::over(fleet(false));
    driver.step(request(1, false, false));
    let expected = (RefusalKind::OutcomeUnknown, RunState::Unknown);
    expect_that!(refusal(&driver.tick(2_000)), some(eq(expected)));
}

#[gtest]
fn unreached_endpoint_yields_to_others() {
    let mut driver = RouteDriver::over(fleet(false));
    let actions = driver.step(request(1, false, false));
    let first = sends(&actions)[0].1.to_owned();
    let actions = driver.end(1, 1, AttemptOutcome::NotSent);
    expect_that!(sends(&actions)[0].1, not(eq(&*first)));
}

#[gtest]
fn overload_retries_stay_in_budget() {
    let mut driver = RouteDriver::over(fleet(false));
    let mut extra = 0;
    for ticket in 1..=100 {
        driver.step(request(ticket, false, true));
        let mut attempt = 1;
        while !sends(&driver.end(ticket, attempt, not_run(RefusalKind::Overloaded))).is_empty() {
            attempt += 1;
            extra += 1;
        }
    }
    expect_that!(extra, all![gt(10), le(20)]);
}

#[gtest]
fn slow_request_is_hedged_once() {
    let mut driver = RouteDriver::over(fleet(false));
    for ticket in 1..=200 {
        driver.step(request(ticket, false, true));
        driver.now = driver.now.plus(5);
        driver.end(ticket, 1, AttemptOutcome::Answered);
    }
    driver.step(request(201, false, true));
    driver.step(request(202, false, false));
    let actions = driver.tick(6);
    expect_that!(sends(&actions).len(), eq(1));
    let actions = driver.end(201, 2, AttemptOutcome::Answered);
    let cancel = RouteAction::Cancel {
        ticket: 201,
        attempt: 1,
    };
    expect_that!(actions[0], eq(&cancel));
}
