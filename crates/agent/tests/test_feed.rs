//! Tests of which agents read the store themselves.

use std::net::SocketAddr;

use googletest::prelude::*;
use jy_agent::feed::is_watcher;
use jy_feed::view::FleetView;
use jy_types::assign::TermRecord;
use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::Place;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::record::TERM_KEY;
use jy_types::record::member_key;
use serde::Serialize;

/// Returns a record with the JSON of a value.
fn record(key: Name, revision: u64, value: &impl Serialize) -> Record {
    Record {
        key,
        revision,
        value: serde_json::to_string(value).ok().map(Into::into),
    }
}

/// Returns a member of the only availability zone of the tests.
fn member(name: &str, state: MemberState) -> MemberRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        state,
        ..MemberRecord::new(
            AgentId::new(name, 1),
            Place::new("r", "z", name),
            AgentAddrs::new(addr),
        )
    }
}

/// Returns a view in which these agents are live and `controller` holds the controller's term.
fn view(names: &[&str], controller: &str) -> FleetView {
    let mut records = Vec::new();
    for (revision, name) in (1..).zip(names) {
        let member = member(name, MemberState::Live);
        records.push(record(member_key(&member.id), revision, &member));
    }
    let term = TermRecord {
        term: 1,
        holder: AgentId::new(controller, 1),
    };
    records.push(record(TERM_KEY.into(), 90, &term));
    FleetView::new().with_records(&records, 90).0
}

#[gtest]
fn is_watcher_first_two_of_zone() {
    let view = view(&["a", "b", "c", "d"], "a");
    let watches = |name: &str| is_watcher(&view, &AgentId::new(name, 1));
    expect_that!(
        ["a", "b", "c", "d"].map(watches),
        eq([true, true, false, false])
    );
}

#[gtest]
fn is_watcher_controller() {
    let view = view(&["a", "b", "c", "d"], "d");
    expect_true!(is_watcher(&view, &AgentId::new("d", 1)));
    expect_false!(is_watcher(&view, &AgentId::new("c", 1)));
}

#[gtest]
fn is_watcher_unknown_agent() {
    expect_true!(is_watcher(&view(&["a", "b"], "a"), &AgentId::new("new", 1)));
}
