//! Tests of the records and leases of the stand-in key-value service.

use googletest::prelude::*;
use jy_standins::store_state::StoreState;
use jy_store::protocol::SwapAnswer;
use jy_store::protocol::SwapCall;
use jy_types::time::Millis;

/// Writes or deletes a key and returns whether the compare-and-swap succeeded.
fn swap(
    state: &mut StoreState,
    key: &str,
    expect: u64,
    value: Option<&str>,
    lease: Option<u64>,
) -> bool {
    let call = SwapCall {
        key: key.into(),
        expect,
        value: value.map(Into::into),
        lease,
    };
    matches!(state.swap(&call), SwapAnswer::Swapped { .. })
}

#[gtest]
fn swap_refuses_unexpected_revision() {
    let mut state = StoreState::new();
    assert_that!(swap(&mut state, "a", 0, Some("1"), None), eq(true));
    assert_that!(swap(&mut state, "a", 0, Some("2"), None), eq(false));
    assert_that!(swap(&mut state, "a", 1, Some("2"), None), eq(true));
    assert_that!(state.revision(), eq(2));
}

#[gtest]
fn changes_contain_last_write_of_each_key_and_deletions() {
    let mut state = StoreState::new();
    swap(&mut state, "s/a", 0, Some("1"), None);
    swap(&mut state, "s/b", 0, Some("1"), None);
    swap(&mut state, "s/a", 1, Some("2"), None);
    swap(&mut state, "s/b", 2, None, None);
    swap(&mut state, "x/c", 0, Some("1"), None);
    let changes = state.changes("s/", 1).unwrap();
    let found: Vec<(&str, u64, bool)> = changes
        .records
        .iter()
        .map(|record| (&*record.key, record.revision, record.value.is_some()))
        .collect();
    assert_that!(found, eq(&vec![("s/a", 3, true), ("s/b", 4, false)]));
    assert_that!(changes.revision, eq(5));
}

#[gtest]
fn changes_none_after_discarded_deletions() {
    let mut state = StoreState::new();
    swap(&mut state, "a", 0, Some("1"), None);
    swap(&mut state, "a", 1, None, None);
    state.discard_deletions();
    assert_that!(state.changes("", 1), none());
    assert_that!(state.changes("", 2), some(anything()));
}

#[gtest]
fn end_expired_leases_deletes_keys_of_lease() {
    let mut state = StoreState::new();
    let lease = state.grant_lease(Millis(0), 100);
    swap(&mut state, "a", 0, Some("1"), Some(lease));
    assert_that!(state.renew_lease(Millis(50), lease), eq(true));
    assert_that!(state.end_expired_leases(Millis(149)), eq(false));
    assert_that!(state.end_expired_leases(Millis(150)), eq(true));
    assert_that!(state.list(&"a".into()).records.is_empty(), eq(true));
    assert_that!(state.renew_lease(Millis(150), lease), eq(false));
    assert_that!(swap(&mut state, "a", 0, Some("2"), Some(lease)), eq(false));
}
