//! Tests of how an agent finds out from its own record that there is no verdict on it.

use googletest::prelude::*;
use jy_agent::own_record::is_present;
use jy_store::protocol::RecordsAnswer;
use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::Place;
use jy_types::record::Record;
use jy_types::record::member_key;

fn member(id: &AgentId, state: MemberState) -> MemberRecord {
    let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        state,
        ..MemberRecord::new(id.clone(), Place::new("r", "z", "k"), AgentAddrs::new(addr))
    }
}

/// Returns the store's answer with the record of a member in a state, or without records.
fn answer(id: &AgentId, state: Option<MemberState>) -> RecordsAnswer {
    let record = |state| Record {
        key: member_key(id),
        revision: 1,
        value: serde_json::to_string(&member(id, state))
            .ok()
            .map(Into::into),
    };
    RecordsAnswer {
        records: state.map(record).into_iter().collect(),
        revision: 1,
    }
}

#[gtest]
fn is_present_member_states() {
    let id = AgentId::new("a", 7);
    expect_that!(
        is_present(&answer(&id, Some(MemberState::Live)), &id),
        eq(true)
    );
    expect_that!(
        is_present(&answer(&id, Some(MemberState::Dead)), &id),
        eq(false)
    );
    expect_that!(
        is_present(&answer(&id, Some(MemberState::Left)), &id),
        eq(false)
    );
}

#[gtest]
fn is_present_no_own_record() {
    let id = AgentId::new("a", 7);
    let other = AgentId::new("a", 8);
    expect_that!(is_present(&answer(&id, None), &id), eq(false));
    expect_that!(
        is_present(&answer(&other, Some(MemberState::Live)), &id),
        eq(false)
    );
}
