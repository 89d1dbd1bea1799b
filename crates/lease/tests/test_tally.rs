//! Tests of the controller's count of votes.

use googletest::prelude::*;
use jy_lease::tally::VoteTally;
use jy_lease::timing::LeaseTiming;
use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::member::Place;
use jy_types::time::Millis;

fn id(name: &str) -> AgentId {
    AgentId::new(name, 1)
}

fn set(names: &[&str]) -> MonitorSet {
    let monitors = names.iter().map(|name| id(name)).collect();
    MonitorSet { epoch: 1, monitors }
}

/// Returns the record of `x` with a current and optionally a next monitor set.
fn member(current: &[&str], next: Option<&[&str]>) -> MemberRecord {
    let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        state: MemberState::Live,
        monitors: set(current),
        next_monitors: next.map(set),
        term: 1,
        ..MemberRecord::new(id("x"), Place::new("r", "z", "k"), AgentAddrs::new(addr))
    }
}

fn tally_with_votes_of(names: &[&str]) -> VoteTally {
    let tally = VoteTally::new(LeaseTiming::default());
    names
        .iter()
        .fold(tally, |tally, name| tally.with_vote(&id(name), &id("x")))
}

#[gtest]
fn is_decided_needs_two_of_three() {
    let member = member(&["a", "b", "c"], None);
    expect_that!(
        tally_with_votes_of(&["a", "a", "z"]).is_decided(Millis(0), &member),
        eq(false)
    );
    expect_that!(
        tally_with_votes_of(&["a", "c"]).is_decided(Millis(0), &member),
        eq(true)
    );
}

#[gtest]
fn is_decided_needs_both_sets() {
    let member = member(&["a", "b", "c"], Some(&["a", "d", "e"]));
    expect_that!(
        tally_with_votes_of(&["a", "b"]).is_decided(Millis(0), &member),
        eq(false)
    );
    expect_that!(
        tally_with_votes_of(&["a", "b", "e"]).is_decided(Millis(0), &member),
        eq(true)
    );
}

#[gtest]
fn is_decided_counts_long_dead_monitor() {
    let member = member(&["a", "b", "c"], None);
    let tally = tally_with_votes_of(&["a"]);
    let tally = tally.with_ended(Millis(1_000), &id("b"));
    let tally = tally.with_ended(Millis(5_000), &id("b"));
    expect_that!(tally.is_decided(Millis(7_179), &member), eq(false));
    expect_that!(tally.is_decided(Millis(7_180), &member), eq(true));
}

#[gtest]
fn is_decided_false_without_monitors_or_when_dead() {
    let tally = tally_with_votes_of(&["a", "b"]);
    expect_that!(tally.is_decided(Millis(0), &member(&[], None)), eq(false));
    let mut member = member(&["a", "b"], None);
    expect_that!(tally.is_decided(Millis(0), &member), eq(true));
    member.state = MemberState::Dead;
    expect_that!(tally.is_decided(Millis(0), &member), eq(false));
}

#[gtest]
fn quorums_intersect_in_every_set_size() {
    for size in 1..=9 {
        let monitors = (0..size).map(|number| AgentId::new("m", number)).collect();
        let set = MonitorSet { epoch: 1, monitors };
        let size = set.monitors.len();
        expect_that!(set.support_quorum() + set.vote_quorum(), gt(size));
        expect_that!(set.support_quorum(), le(size));
    }
}
