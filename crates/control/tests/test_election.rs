//! Tests of the controller election's state machine.

use googletest::prelude::*;
use jy_control::election::ElectionAction;
use jy_control::election::ElectionEvent;
use jy_control::election::ElectionState;
use jy_types::member::AgentId;
use jy_types::time::Millis;

/// Steps a candidate through events at the given time and returns all actions.
fn run(
    mut state: ElectionState,
    now: u64,
    events: Vec<ElectionEvent>,
) -> (ElectionState, Vec<ElectionAction>) {
    let mut actions = Vec::new();
    for event in events {
        let (next_state, new_actions) = state.step(Millis(now), event);
        state = next_state;
        actions.extend(new_actions);
    }
    (state, actions)
}

/// Returns an eligible candidate that has seen that nobody holds the role.
fn candidate_without_holder() -> ElectionState {
    let state = ElectionState::new(AgentId::new("a", 1), 7);
    let events = vec![
        ElectionEvent::Eligible(true),
        ElectionEvent::Alive { term: None },
    ];
    run(state, 10_000, events).0
}

/// Returns a candidate that holds term 1 until 12,000 ms.
fn elected_candidate() -> ElectionState {
    let (state, _) = run(
        candidate_without_holder(),
        10_200,
        vec![ElectionEvent::Tick],
    );
    let events = vec![
        ElectionEvent::Claimed { term: 1 },
        ElectionEvent::Renewed {
            until: Millis(12_000),
        },
    ];
    let (state, actions) = run(state, 10_210, events);
    let expected = vec![
        ElectionAction::ShowAlive { term: 1 },
        ElectionAction::Start { term: 1 },
    ];
    expect_that!(actions, eq(&expected));
    state
}

#[gtest]
fn step_vacant_role_claims_next_term() {
    let state = candidate_without_holder();
    expect_that!(state.next_tick().0, le(10_150));
    let (_, actions) = run(state, 10_200, vec![ElectionEvent::Tick]);
    let claim = ElectionAction::Claim { term: 1, expect: 0 };
    expect_that!(actions, eq(&vec![claim]));
}

#[gtest]
fn step_unknown_holder_claims_nothing() {
    let state = ElectionState::new(AgentId::new("a", 1), 7);
    let events = vec![ElectionEvent::Eligible(true), ElectionEvent::Tick];
    let (state, actions) = run(state, 60_000, events);
    expect_that!(actions, is_empty());
    expect_that!(state.next_tick(), eq(Millis::MAX));
}

#[gtest]
fn step_expired_lease_stops() {
    let (_, actions) = run(elected_candidate(), 12_000, vec![ElectionEvent::Tick]);
    expect_that!(actions, eq(&vec![ElectionAction::Stop]));
}

#[gtest]
fn step_higher_term_stops() {
    let event = ElectionEvent::Term {
        term: 2,
        holder: Some(AgentId::new("b", 1)),
        revision: 9,
    };
    let (_, actions) = run(elected_candidate(), 10_300, vec![event]);
    expect_that!(actions, eq(&vec![ElectionAction::Stop]));
}

#[gtest]
fn step_claim_with_lost_answer_is_confirmed_by_record() {
    let (state, _) = run(
        candidate_without_holder(),
        10_200,
        vec![ElectionEvent::Tick],
    );
    let event = ElectionEvent::Term {
        term: 1,
        holder: Some(AgentId::new("a", 1)),
        revision: 3,
    };
    let (_, actions) = run(state, 10_400, vec![event]);
    expect_that!(actions, eq(&vec![ElectionAction::ShowAlive { term: 1 }]));
}

#[gtest]
fn step_beaten_claim_waits_before_next_claim() {
    let (state, _) = run(
        candidate_without_holder(),
        10_200,
        vec![ElectionEvent::Tick],
    );
    let (state, _) = run(state, 10_210, vec![ElectionEvent::Beaten]);
    expect_that!(state.next_tick().0, ge(11_800));
    let (_, actions) = run(state, 11_000, vec![ElectionEvent::Tick]);
    expect_that!(actions, is_empty());
}

#[gtest]
fn step_holder_renews_before_lease_ends() {
    let state = elected_candidate();
    let due = state.next_tick();
    expect_that!(due.0, le(11_000));
    let (_, actions) = run(state, due.0, vec![ElectionEvent::Tick]);
    expect_that!(actions, eq(&vec![ElectionAction::Renew]));
}
