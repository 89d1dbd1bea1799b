//! Tests when the keys of an absent owner may be taken.

use googletest::prelude::*;
use jy_edge::lost_owners::LostOwners;
use jy_edge::member::AUTHORITY_MS;
use jy_edge::snapshot::FleetSnapshot;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendIncarnation;
use jy_types::name::Name;
use jy_types::time::Millis;

/// When the records were listed; the owner's record was not among them.
const LISTED_AT: Millis = Millis(1_000);
/// How long the agent waits for agents of lower rank, in milliseconds.
const RANK_DELAY_MS: u64 = 400;

/// Returns the owners that are listed as lost at `now` without a denial.
///
/// # Panics
///
/// Panics if the table can't be created.
fn lost_at(now: Millis) -> Vec<Name> {
    let owner = RangeOwner {
        node: "n".into(),
        incarnation: BackendIncarnation {
            id: "i-1".into(),
            started_at: 1,
        },
    };
    let table = RangeTable::new(&[(owner, 1)]).expect("one owner");
    let snapshot = FleetSnapshot {
        listed_at: LISTED_AT,
        ..FleetSnapshot::default()
    };
    let lost = LostOwners::new().list(now, &snapshot, &table, RANK_DELAY_MS);
    lost.into_iter().map(|lost| lost.node).collect()
}

#[gtest]
fn list_undenied_owner_keeps_keys_while_it_may_grant_them() {
    let now = LISTED_AT.plus(AUTHORITY_MS);
    expect_that!(
        lost_at(now),
        is_empty(),
        "the margin for clock differences and the wait for other agents are not over"
    );
}

#[gtest]
fn list_undenied_owner_is_lost_after_authority_expires() {
    let now = LISTED_AT.plus(AUTHORITY_MS + RANK_DELAY_MS + 1_000);
    expect_that!(lost_at(now).len(), eq(1));
}

/// Load pattern: a third of the instances is cut off from the store for 12 s while their backend servers run on.
/// Guards against keys without service in the last seconds of the cut.
#[gtest]
fn list_owner_cut_off_for_12_s_keeps_keys() {
    expect_that!(lost_at(LISTED_AT.plus(12_000)), is_empty());
}

/// Guards against keys that are taken from an owner whose record and witnesses the store has lost by coming back from
/// an older copy.
#[gtest]
fn list_unsettled_era_has_no_lost_owners() {
    let owner = RangeOwner {
        node: "n".into(),
        incarnation: BackendIncarnation {
            id: "i-1".into(),
            started_at: 1,
        },
    };
    let table = RangeTable::new(&[(owner, 1)]).expect("one owner");
    let now = LISTED_AT.plus(AUTHORITY_MS * 2);
    let snapshot = FleetSnapshot {
        listed_at: LISTED_AT,
        settled_at: now.plus(1),
        ..FleetSnapshot::default()
    };
    let count = |now: Millis| LostOwners::new().list(now, &snapshot, &table, 0).len();
    expect_that!(count(now), eq(0));
    expect_that!(count(now.plus(1)), eq(1));
}
