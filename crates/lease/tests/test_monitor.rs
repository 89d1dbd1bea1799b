//! Tests of the monitor's promises and votes.

use googletest::prelude::*;
use jy_lease::monitor::MonitorAction;
use jy_lease::monitor::MonitorEvent;
use jy_lease::monitor::MonitorState;
use jy_lease::timing::LeaseTiming;
use jy_types::member::AgentId;
use jy_types::time::Millis;

fn id(name: &str) -> AgentId {
    AgentId::new(name, 1)
}

fn renewal(sequence: u64) -> MonitorEvent {
    MonitorEvent::Renewal {
        from: id("x"),
        sequence,
    }
}

/// Returns a monitor with a long lease of its own that learned at 1,000 ms that it watches `x`.
fn watching_monitor() -> MonitorState {
    let monitor = MonitorState::new(id("m"), LeaseTiming::default());
    let until = Millis(1_000_000);
    let (monitor, _) = monitor.step(Millis(1_000), MonitorEvent::OwnLease { until });
    let (monitor, _) = monitor.step(Millis(1_000), MonitorEvent::Watched(vec![id("x")]));
    monitor
}

/// Ticks whenever a tick is due until `end`, and returns the times of the votes.
fn tick_until(mut monitor: MonitorState, end: u64) -> (MonitorState, Vec<u64>) {
    let mut vote_times = Vec::new();
    while monitor.next_tick() <= Millis(end) {
        let now = monitor.next_tick();
        let (next, actions) = monitor.step(now, MonitorEvent::Tick);
        vote_times.extend(actions.iter().map(|_| now.0));
        monitor = next;
    }
    (monitor, vote_times)
}

fn accepts(monitor: MonitorState, now: u64) -> bool {
    let (_, actions) = monitor.step(Millis(now), renewal(1));
    matches!(actions[..], [MonitorAction::Reply { accepted: true, .. }])
}

#[gtest]
fn step_votes_one_promise_after_watch_starts() {
    let (_, vote_times) = tick_until(watching_monitor(), 3_600);
    expect_that!(vote_times, elements_are![eq(&3_060), eq(&3_560)]);
}

#[gtest]
fn step_votes_one_promise_after_renewal() {
    let (monitor, _) = tick_until(watching_monitor(), 2_000);
    let (monitor, _) = monitor.step(Millis(2_400), renewal(1));
    let (_, vote_times) = tick_until(monitor, 4_500);
    expect_that!(vote_times, elements_are![eq(&4_460)]);
}

#[gtest]
fn step_never_supports_after_vote() {
    let (monitor, _) = tick_until(watching_monitor(), 3_060);
    let (monitor, _) = monitor.step(Millis(3_100), MonitorEvent::Watched(vec![]));
    let (monitor, _) = monitor.step(Millis(3_200), MonitorEvent::Watched(vec![id("x")]));
    expect_that!(accepts(monitor, 3_300), eq(false));
}

#[gtest]
fn step_supports_for_grace_period_after_own_lease() {
    let until = Millis(2_000);
    let (monitor, _) = watching_monitor().step(Millis(1_100), MonitorEvent::OwnLease { until });
    expect_that!(accepts(monitor.clone(), 5_999), eq(true));
    expect_that!(accepts(monitor, 6_000), eq(false));
}

#[gtest]
fn step_without_lease_supports_for_grace_period_after_start() {
    let monitor = MonitorState::new(id("m"), LeaseTiming::default());
    let (monitor, _) = monitor.step(Millis(1_000), MonitorEvent::Tick);
    let until = Millis(0);
    let (monitor, _) = monitor.step(Millis(1_100), MonitorEvent::OwnLease { until });
    expect_that!(accepts(monitor.clone(), 4_999), eq(true));
    expect_that!(accepts(monitor, 5_000), eq(false));
}

#[gtest]
fn step_refused_renewal_postpones_vote() {
    let until = Millis(0);
    let (monitor, _) = watching_monitor().step(Millis(1_100), MonitorEvent::OwnLease { until });
    let (monitor, _) = tick_until(monitor, 2_900);
    let (monitor, _) = monitor.step(Millis(3_000), renewal(1));
    let (_, vote_times) = tick_until(monitor, 5_059);
    expect_that!(vote_times, is_empty());
}

#[gtest]
fn step_after_own_pause_extends_promise() {
    let (monitor, actions) = watching_monitor().step(Millis(9_000), MonitorEvent::Tick);
    expect_that!(actions, is_empty());
    let (monitor, _) = monitor.step(Millis(9_100), renewal(1));
    let (_, vote_times) = tick_until(monitor, 11_159);
    expect_that!(vote_times, is_empty());
}
