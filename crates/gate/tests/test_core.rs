//! Tests of admission, leases, grants and release.

mod common;

use common::GateDriver;
use common::START;
use common::UNIT;
use common::announced;
use common::answered;
use common::arrival;
use common::dispatched;
use common::ended;
use common::grants;
use common::refused;
use common::warm_settings;
use googletest::prelude::*;
use jy_gate::api::Arrival;
use jy_gate::api::BackendEvent;
use jy_gate::api::GateAction;
use jy_gate::api::GateEvent;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::time::Millis;
use jy_types::workspace::Urgency;

/// Makes an idempotent request arrive.
fn arrive(driver: &mut GateDriver, ticket: u64) -> Vec<GateAction> {
    driver.step(GateEvent::Arrive(arrival(ticket)))
}

#[gtest]
fn dispatch_ends_with_lease() {
    let mut driver = GateDriver::serving(warm_settings());
    driver.step(GateEvent::Lease {
        until: START.plus(500),
    });
    let actions = arrive(&mut driver, 1);
    let ends_with_lease = matches!(
        actions[..],
        [GateAction::Dispatch { deadline, .. }] if deadline == START.plus(500)
    );
    expect_that!(ends_with_lease, eq(true));
}

#[gtest]
fn arrive_refuses_without_lease() {
    let mut driver = GateDriver::serving(warm_settings());
    driver.step(GateEvent::Lease { until: START });
    let actions = arrive(&mut driver, 1);
    let expected = (1, RefusalKind::KeyUnavailable, RunState::No);
    expect_that!(refused(&actions), elements_are![eq(&expected)]);
}

#[gtest]
fn arrive_refuses_unowned_unit() {
    let mut driver = GateDriver::serving(warm_settings());
    driver.step(GateEvent::Grants(Default::default()));
    let actions = arrive(&mut driver, 1);
    let expected = (1, RefusalKind::NotOwner, RunState::No);
    expect_that!(refused(&actions), elements_are![eq(&expected)]);
}

#[gtest]
fn expire_cancels_and_refuses_after_lease() {
    let mut driver = GateDriver::serving(warm_settings());
    for ticket in 1..=3 {
        arrive(&mut driver, ticket);
    }
    driver.step(GateEvent::Lease {
        until: START.plus(500),
    });
    expect_that!(driver.read(|state| state.next_tick()), eq(START.plus(500)));
    let actions = driver.tick(500);
    let cancels = actions
        .iter()
        .filter(|action| matches!(action, GateAction::Cancel { .. }));
    expect_that!(cancels.count(), eq(2));
    let expected = (3, RefusalKind::KeyUnavailable, RunState::No);
    expect_that!(refused(&actions), elements_are![eq(&expected)]);
}

#[gtest]
fn dispatch_takes_urgent_first() {
    let mut driver = GateDriver::serving(warm_settings());
    for ticket in 1..=3 {
        arrive(&mut driver, ticket);
    }
    let urgency = Urgency::Urgent;
    driver.step(GateEvent::Arrive(Arrival {
        urgency,
        ..arrival(4)
    }));
    let actions = driver.step(ended(1, answered("a")));
    expect_that!(dispatched(&actions), elements_are![eq(&4)]);
}

#[gtest]
fn release_waits_for_running_requests() {
    let mut driver = GateDriver::serving(warm_settings());
    arrive(&mut driver, 1);
    expect_that!(driver.step(grants(true, true)), is_empty());
    let actions = arrive(&mut driver, 2);
    expect_that!(refused(&actions)[0].1, eq(RefusalKind::Leaving));
    let actions = driver.step(ended(1, answered("a")));
    let is_released =
        matches!(&actions[..], [GateAction::Release { units, .. }] if units[..] == [UNIT]);
    expect_that!(is_released, eq(true));
}

#[gtest]
fn release_immediate_when_idle() {
    let mut driver = GateDriver::serving(warm_settings());
    let actions = driver.step(grants(true, true));
    expect_that!(
        matches!(actions[..], [GateAction::Release { .. }]),
        eq(true)
    );
    expect_that!(driver.step(grants(true, true)), is_empty());
}

#[gtest]
fn dispatch_waits_margin_after_loss() {
    let mut driver = GateDriver::serving(warm_settings());
    driver.step(GateEvent::Grants(Default::default()));
    driver.step(grants(false, false));
    expect_that!(arrive(&mut driver, 1), is_empty());
    expect_that!(driver.read(|state| state.next_tick()), eq(START.plus(250)));
    expect_that!(dispatched(&driver.tick(250)), elements_are![eq(&1)]);
}

#[gtest]
fn drain_refuses_new_and_finishes_running() {
    let mut driver = GateDriver::serving(warm_settings());
    arrive(&mut driver, 1);
    driver.step(GateEvent::Drain);
    let actions = arrive(&mut driver, 2);
    let expected = (2, RefusalKind::Leaving, RunState::No);
    expect_that!(refused(&actions), elements_are![eq(&expected)]);
    driver.step(ended(1, answered("a")));
    expect_that!(driver.read(|state| state.is_idle()), eq(true));
}

#[gtest]
fn arrive_refuses_until_backend_announced() {
    let mut driver = GateDriver::serving(warm_settings());
    driver.step(GateEvent::Backend(BackendEvent::Gone));
    let actions = arrive(&mut driver, 1);
    expect_that!(refused(&actions)[0].1, eq(RefusalKind::NoEndpoint));
    driver.step(announced(2, false));
    expect_that!(dispatched(&arrive(&mut driver, 2)), elements_are![eq(&2)]);
}

#[gtest]
fn enqueue_refuses_last_when_full() {
    let mut driver = GateDriver::serving(warm_settings());
    let actions: Vec<_> = (1..=35)
        .flat_map(|ticket| arrive(&mut driver, ticket))
        .collect();
    let expected = (35, RefusalKind::Overloaded, RunState::No);
    expect_that!(refused(&actions), elements_are![eq(&expected)]);
    expect_that!(driver.read(|state| state.next_tick()), lt(Millis::MAX));
}
