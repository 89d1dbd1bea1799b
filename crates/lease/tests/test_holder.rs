//! Tests of the holder's lease.

use googletest::prelude::*;
use jy_lease::holder::HolderAction;
use jy_lease::holder::HolderEvent;
use jy_lease::holder::HolderState;
use jy_lease::timing::LeaseTiming;
use jy_types::member::AgentId;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;

fn id(name: &str) -> AgentId {
    AgentId::new(name, 1)
}

fn set(epoch: u64, names: &[&str]) -> MonitorSet {
    let monitors = names.iter().map(|name| id(name)).collect();
    MonitorSet { epoch, monitors }
}

fn sets(current: MonitorSet, next: Option<MonitorSet>) -> HolderEvent {
    HolderEvent::Sets { current, next }
}

fn reply(monitor: &str, sequence: u64) -> HolderEvent {
    HolderEvent::Reply {
        monitor: id(monitor),
        sequence,
        accepted: true,
    }
}

/// Returns a holder with the monitors `a`, `b` and `c` that sent its first round of renewals at 1,000 ms.
fn holder_after_first_round() -> HolderState {
    let holder = HolderState::new(id("x"), LeaseTiming::default());
    let (holder, _) = holder.step(Millis(1_000), sets(set(1, &["a", "b", "c"]), None));
    let (holder, actions) = holder.step(Millis(1_000), HolderEvent::Tick);
    expect_that!(actions, len(eq(3)));
    holder
}

fn apply_events(holder: HolderState, now: u64, events: Vec<HolderEvent>) -> HolderState {
    let step = |holder: HolderState, event| holder.step(Millis(now), event).0;
    events.into_iter().fold(holder, step)
}

#[gtest]
fn lease_until_counts_from_sending_of_renewal() {
    let holder = apply_events(holder_after_first_round(), 1_900, vec![reply("a", 1)]);
    expect_that!(holder.lease_until(), eq(Millis(0)));
    let holder = apply_events(holder, 1_900, vec![reply("b", 1)]);
    expect_that!(holder.lease_until(), eq(Millis(3_000)));
}

#[gtest]
fn lease_until_ignores_unknown_sequence_and_unknown_monitor() {
    let holder = apply_events(
        holder_after_first_round(),
        1_100,
        vec![reply("a", 7), reply("z", 1), reply("b", 1)],
    );
    expect_that!(holder.lease_until(), eq(Millis(0)));
}

#[gtest]
fn lease_until_stays_zero_after_verdict() {
    let events = vec![reply("a", 1), reply("b", 1), HolderEvent::VerdictRead];
    let holder = apply_events(holder_after_first_round(), 1_100, events);
    expect_that!(holder.lease_until(), eq(Millis(0)));
    let holder = apply_events(
        holder,
        1_200,
        vec![sets(set(2, &["a", "b"]), None), reply("c", 1)],
    );
    expect_that!(holder.lease_until(), eq(Millis(0)));
    expect_that!(holder.next_tick(), eq(Millis::MAX));
}

#[gtest]
fn sole_epoch_changes_once_next_set_supports_longer() {
    let holder = apply_events(
        holder_after_first_round(),
        1_100,
        vec![reply("a", 1), reply("b", 1)],
    );
    let joint = sets(set(1, &["a", "b", "c"]), Some(set(2, &["c", "d", "e"])));
    let holder = apply_events(holder, 1_200, vec![joint, HolderEvent::Tick]);
    let holder = apply_events(holder, 1_300, vec![reply("b", 2), reply("d", 2)]);
    expect_that!(holder.lease_until(), eq(Millis(3_000)));
    expect_that!(holder.sole_epoch(), eq(1));
    let holder = apply_events(holder, 1_400, vec![reply("e", 2)]);
    expect_that!(holder.lease_until(), eq(Millis(3_200)));
    expect_that!(holder.sole_epoch(), eq(2));
    let holder = apply_events(
        holder,
        1_800,
        vec![HolderEvent::Tick, reply("b", 3), reply("c", 3)],
    );
    expect_that!(holder.lease_until(), eq(Millis(3_200)));
}

#[gtest]
fn step_renews_unanswered_monitors_while_leased() {
    let holder = apply_events(
        holder_after_first_round(),
        1_100,
        vec![reply("a", 1), reply("b", 1)],
    );
    let (holder, actions) = holder.step(Millis(1_400), HolderEvent::Tick);
    expect_that!(actions, is_empty());
    let (_, actions) = holder.step(Millis(1_500), HolderEvent::Tick);
    let to = id("c");
    expect_that!(
        actions,
        contains(eq(&HolderAction::Renew { to, sequence: 2 }))
    );
}

#[gtest]
fn step_skips_silent_monitors_after_lease_lapsed() {
    let mut holder = apply_events(
        holder_after_first_round(),
        1_100,
        vec![reply("a", 1), reply("b", 1)],
    );
    for sequence in 2..=8 {
        let now = 500 + 500 * sequence;
        holder = apply_events(holder, now, vec![HolderEvent::Tick, reply("c", sequence)]);
    }
    let (_, actions) = holder.step(Millis(5_000), HolderEvent::Tick);
    let to = id("c");
    expect_that!(
        actions,
        elements_are![eq(&HolderAction::Renew { to, sequence: 9 })]
    );
}
