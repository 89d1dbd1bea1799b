//! Which owners' keys may be taken.

use googletest::prelude::*;
use jy_edge::lost_owners::LostOwners;
use jy_edge::member::AUTHORITY_MS;
use jy_edge::snapshot::FleetSnapshot;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendIncarnation;
use jy_types::name::Name;
use jy_types::time::Millis;

/// When the records were listed, without the owner's.
const LISTED: Millis = Millis(1_000);
/// How long the agent lets others go first, in milliseconds.
const RANK_MS: u64 = 400;

/// Owners listed as lost at `now`, with no witness asked.
///
/// # Panics
///
/// If the table of one owner can't be made.
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
        listed_at: LISTED,
        ..FleetSnapshot::default()
    };
    let lost = LostOwners::new().list(now, &snapshot, &table, RANK_MS);
    lost.into_iter().map(|lost| lost.node).collect()
}

#[gtest]
fn list_undenied_owner_keeps_keys_while_it_may_grant_them() {
    let end = LISTED.plus(AUTHORITY_MS);
    expect_that!(
        lost_at(end),
        is_empty(),
        "clocks differ, and others go first"
    );
}

#[gtest]
fn list_undenied_owner_is_lost_in_the_end() {
    let end = LISTED.plus(AUTHORITY_MS + RANK_MS + 1_000);
    expect_that!(lost_at(end).len(), eq(1));
}
