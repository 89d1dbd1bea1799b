//! Routing to owners, retries, hedging and refusals.

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

/// Returns the attempt number and the agent's name of each send.
fn sends(actions: &[RouteAction]) -> Vec<(u32, &str)> {
    let mut sent = Vec::new();
    for action in actions {
        if let RouteAction::Send { attempt, to, .. } = action {
            sent.push((*attempt, &*to.name));
        }
    }
    sent
}

/// Returns kind and run state of the first refusal.
fn refusal(actions: &[RouteAction]) -> Option<(RefusalKind, RunState)> {
    actions.iter().find_map(|action| match action {
        RouteAction::Refuse { refusal, .. } => Some((refusal.kind, refusal.ran)),
        _ => None,
    })
}

/// Outcome of an attempt that the gate refused before it ran.
fn not_run(kind: RefusalKind) -> AttemptOutcome {
    let ran = RunState::No;
    AttemptOutcome::Refused { kind, ran }
}

#[gtest]
fn arrive_sends_to_owner() {
    let mut driver = RouteDriver::with_view(fleet(true));
    let actions = driver.step(request(1, true, false));
    expect_that!(sends(&actions), elements_are![eq(&(1, "a1"))]);
    let actions = driver.end_attempt(1, 1, AttemptOutcome::Answered);
    let expected = RouteAction::Finish {
        ticket: 1,
        attempt: 1,
    };
    expect_that!(actions, elements_are![eq(&expected)]);
    expect_that!(driver.read(|state| state.open_count()), eq(0));
}

#[gtest]
fn ended_not_owner_retries_after_delay() {
    let mut driver = RouteDriver::with_view(fleet(true));
    driver.step(request(1, true, false));
    let actions = driver.end_attempt(1, 1, not_run(RefusalKind::NotOwner));
    expect_that!(actions, elements_are![eq(&RouteAction::Pull)]);
    expect_that!(sends(&driver.advance(50)), elements_are![eq(&(2, "a1"))]);
}

#[gtest]
fn view_new_owner_receives_waiting_request() {
    let mut driver = RouteDriver::with_view(fleet(true));
    driver.step(request(1, true, false));
    driver.end_attempt(1, 1, AttemptOutcome::NotSent);
    let mut pages: Vec<_> = (0..16).map(|page| assignment(page, Some(2))).collect();
    for page in &mut pages {
        page.revision = 2;
    }
    let view = Arc::new(with_records(fleet(true), &pages));
    let actions = driver.step(RouteEvent::View(view));
    expect_that!(sends(&actions), elements_are![eq(&(2, "a2"))]);
}

#[gtest]
fn tick_unowned_key_refuses_at_deadline() {
    let mut driver = RouteDriver::with_view(with_records(
        fleet(true),
        &(0..16)
            .map(|page| assignment(page, None))
            .collect::<Vec<_>>(),
    ));
    expect_that!(sends(&driver.step(request(1, true, false))), is_empty());
    let expected = (RefusalKind::KeyUnavailable, RunState::No);
    expect_that!(refusal(&driver.advance(2_000)), some(eq(expected)));
}

#[gtest]
fn ended_unknown_outcome_is_not_retried() {
    for keyed in [true, false] {
        let mut driver = RouteDriver::with_view(fleet(keyed));
        driver.step(request(1, keyed, false));
        let actions = driver.end_attempt(1, 1, AttemptOutcome::Unknown);
        expect_that!(sends(&actions), is_empty());
        let expected = (RefusalKind::OutcomeUnknown, RunState::Unknown);
        expect_that!(refusal(&actions), some(eq(expected)));
    }
}

#[gtest]
fn tick_deadline_in_flight_refuses_as_unknown() {
    let mut driver = RouteDriver::with_view(fleet(false));
    driver.step(request(1, false, false));
    let expected = (RefusalKind::OutcomeUnknown, RunState::Unknown);
    expect_that!(refusal(&driver.advance(2_000)), some(eq(expected)));
}

#[gtest]
fn ended_not_sent_tries_other_endpoint() {
    let mut driver = RouteDriver::with_view(fleet(false));
    let actions = driver.step(request(1, false, false));
    let first = sends(&actions)[0].1.to_owned();
    let actions = driver.end_attempt(1, 1, AttemptOutcome::NotSent);
    expect_that!(sends(&actions)[0].1, not(eq(&*first)));
}

#[gtest]
fn ended_overloaded_retries_within_budget() {
    let mut driver = RouteDriver::with_view(fleet(false));
    let mut extra_sends = 0;
    for ticket in 1..=100 {
        driver.step(request(ticket, false, true));
        let mut attempt = 1;
        while !sends(&driver.end_attempt(ticket, attempt, not_run(RefusalKind::Overloaded)))
            .is_empty()
        {
            attempt += 1;
            extra_sends += 1;
        }
    }
    expect_that!(extra_sends, all![gt(10), le(20)]);
}

#[gtest]
fn tick_slow_request_is_hedged_once() {
    let mut driver = RouteDriver::with_view(fleet(false));
    for ticket in 1..=200 {
        driver.step(request(ticket, false, true));
        driver.now = driver.now.plus(5);
        driver.end_attempt(ticket, 1, AttemptOutcome::Answered);
    }
    driver.step(request(201, false, true));
    driver.step(request(202, false, false));
    let actions = driver.advance(6);
    expect_that!(sends(&actions).len(), eq(1));
    let actions = driver.end_attempt(201, 2, AttemptOutcome::Answered);
    let cancel = RouteAction::Cancel {
        ticket: 201,
        attempt: 1,
    };
    expect_that!(actions[0], eq(&cancel));
}
