//! Tests sets of incarnations that began to leave, and their form in the store.

use googletest::prelude::*;
use jy_types::endpoint::BackendIncarnation;
use jy_types::leaving::LeavingSet;

/// Returns the incarnation of backend server `id` that started at `started_at`.
fn incarnation(id: &str, started_at: u64) -> BackendIncarnation {
    BackendIncarnation {
        id: id.into(),
        started_at,
    }
}

/// Returns a set to which more incarnations were added than it keeps.
fn full_set(prefix: &str) -> LeavingSet {
    let first = LeavingSet::new(incarnation(&format!("{prefix}0"), 1));
    (1..20).fold(first, |set, number| {
        set.with(incarnation(&format!("{prefix}{number}"), 1))
    })
}

#[gtest]
fn contains_earlier_lives_of_same_id_only() {
    let set = LeavingSet::new(incarnation("a", 5)).with(incarnation("b", 9));
    for (id, started_at, expected) in [
        ("a", 5, true),
        ("a", 4, true),
        ("a", 6, false),
        ("b", 9, true),
        ("c", 1, false),
    ] {
        let is_contained = set.contains(&incarnation(id, started_at));
        expect_that!(is_contained, eq(expected), "{id} {started_at}");
    }
}

/// Guards against a record that grows with every backend server of an instance, and against one that is written again and
/// again since what it lacks does not fit.
#[gtest]
fn merge_full_sets_keeps_the_other() {
    let local = full_set("l");
    let merged = full_set("r").merge(&local);
    expect_that!(merged.contains(&incarnation("l19", 1)), eq(true));
    expect_that!(merged.contains(&incarnation("r0", 1)), eq(false));
    expect_that!(merged.clone().merge(&local), eq(&merged));
    let text = serde_json::to_string(&merged).expect("a record");
    expect_that!(text.len(), lt(400));
}

/// Guards against agents of two versions that do not understand each other's records.
#[gtest]
fn deserialize_record_of_earlier_version_is_one_incarnation() {
    let text = r#"{"id":"a","born":5}"#;
    let set: LeavingSet = serde_json::from_str(text).expect("a record");
    expect_that!(set, eq(&LeavingSet::new(incarnation("a", 5))));
    expect_that!(serde_json::to_string(&set).expect("a record"), eq(text));
    let later = set.with(incarnation("b", 7));
    let text = serde_json::to_string(&later).expect("a record");
    let newest: BackendIncarnation = serde_json::from_str(&text).expect("an earlier record");
    expect_that!(newest, eq(&incarnation("b", 7)));
    let read: LeavingSet = serde_json::from_str(&text).expect("a record");
    expect_that!(read, eq(&later));
}
