//! Key range table: each key has one owner, and its fence only increases.

use googletest::prelude::*;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_ranges::table::first_fence;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::ReleasedRange;

/// Creates an owner on the instance `name`.
fn owner(name: &str, started_at: u64) -> RangeOwner {
    RangeOwner {
        node: name.into(),
        incarnation: BackendIncarnation {
            id: format!("i-{name}").into(),
            started_at,
        },
    }
}

/// Creates a table of two owners with equal shares.
///
/// # Panics
///
/// Panics if the table has no owner.
fn halves() -> RangeTable {
    let owners = [(owner("a", 1), 6), (owner("b", 1), 6)];
    RangeTable::new(&owners).expect("two owners")
}

/// Returns the first key and the fence of each range.
fn fences(table: &RangeTable) -> Vec<(u16, u64)> {
    let ranges = table.ranges().iter();
    ranges.map(|range| (range.first, range.fence)).collect()
}

#[gtest]
fn new_divides_by_weight() {
    let owners = [(owner("a", 1), 6), (owner("b", 1), 18)];
    let table = RangeTable::new(&owners).expect("two owners");
    expect_that!(table.width_of(&owner("a", 1)), eq(16_384));
    expect_that!(table.width_of(&owner("b", 1)), eq(49_152));
    expect_that!(
        table.find(16_383).map(|range| &range.owner),
        some(eq(&owner("a", 1)))
    );
    expect_that!(
        table.find(16_384).map(|range| &range.owner),
        some(eq(&owner("b", 1)))
    );
}

#[gtest]
fn new_without_owners_is_none() {
    expect_that!(RangeTable::new(&[]), none());
}

#[gtest]
fn with_moves_completed_requires_release() {
    let table = halves().with_move(&owner("a", 1), 100, 199, &owner("b", 1));
    let kept = table
        .clone()
        .with_moves_completed(&owner("a", 1), &[], |_| false);
    expect_that!(
        kept.find(150).map(|range| &range.owner),
        some(eq(&owner("a", 1)))
    );
    let released = [ReleasedRange {
        first: 100,
        last: 199,
        handover: "state".into(),
    }];
    let moved = table.with_moves_completed(&owner("a", 1), &released, |_| true);
    let range = moved.find(150).expect("covered");
    expect_that!(range.owner, eq(&owner("b", 1)));
    expect_that!(range.fence, gt(1));
    expect_that!(*range.handover, eq("state"));
    expect_that!(moved.find(99).map(|range| range.fence), some(eq(1)));
}

#[gtest]
fn with_reassigned_increases_fence() {
    let lost = |owner: &RangeOwner| *owner.node == *"a";
    let table = halves().with_reassigned(lost, |_| Some(owner("b", 1)));
    expect_that!(table.width_of(&owner("b", 1)), eq(65_536));
    expect_that!(fences(&table), elements_are![eq(&(0, 2)), eq(&(32_768, 1))]);
    let again = table.with_reassigned(|owner| *owner.node == *"b", |_| Some(owner("a", 2)));
    expect_that!(fences(&again), elements_are![eq(&(0, 3))]);
}

#[gtest]
fn with_reassigned_cancels_moves_to_lost_owner() {
    let table = halves().with_move(&owner("a", 1), 0, 99, &owner("b", 1));
    let lost = |owner: &RangeOwner| *owner.node == *"b";
    let next = table.with_reassigned(lost, |_| Some(owner("a", 1)));
    expect_that!(
        next.ranges().iter().all(|range| range.next_owner.is_none()),
        eq(true)
    );
}

#[gtest]
fn parse_rejects_gap() {
    let text = halves().to_text().expect("a table can be serialized");
    expect_that!(RangeTable::parse(&text), ok(eq(&halves())));
    let gap = text.replace("\"first\":32768", "\"first\":32769");
    let error = RangeTable::parse(&gap).expect_err("a key has no owner");
    expect_that!(error.to_string(), contains_substring("key 32768"));
}

/// Returns a grant.
fn grant(first: u16, last: u16, fence: u64) -> GrantedRange {
    GrantedRange {
        first,
        last,
        fence,
        handover: "".into(),
    }
}

/// Guards against a table of an older copy that takes keys from their holder, and against a fence that the lost part
/// of the era before gave out already.
#[gtest]
fn with_held_puts_ranges_back() {
    let held = [grant(100, 199, 9)];
    let table = halves();
    expect_that!(table.lists(&owner("b", 1), &held), eq(false));
    let table = table.with_era(1).with_held(&owner("b", 1), &held);
    expect_that!(table.lists(&owner("b", 1), &held), eq(true));
    expect_that!(
        fences(&table),
        elements_are![eq(&(0, 1)), eq(&(100, 9)), eq(&(200, 1)), eq(&(32_768, 1))]
    );
    let table = table.with_new_fences(|range| range.owner == owner("a", 1));
    expect_that!(
        fences(&table),
        elements_are![
            eq(&(0, first_fence(1))),
            eq(&(100, 9)),
            eq(&(200, first_fence(1))),
            eq(&(32_768, 1))
        ]
    );
    let text = table.to_text().expect("a table can be encoded");
    expect_that!(RangeTable::parse(&text).ok(), some(eq(&table)));
}

/// Guards against a settled table that is copied at each check, and against one that is used as if it were settled.
#[gtest]
fn precedes_era_until_settled() {
    expect_that!(halves().precedes_era(0), eq(false));
    expect_that!(halves().precedes_era(2), eq(true));
    let table = halves().with_era(2);
    expect_that!(table.precedes_era(2), eq(false));
    expect_that!(
        table.clone().with_incomplete(true).precedes_era(2),
        eq(true)
    );
    expect_that!(table.precedes_era(3), eq(true));
    let text = halves().with_era(2).to_text().expect("a table");
    let next_fence = first_fence(2).to_string();
    let low = RangeTable::parse(&text.replace(&next_fence, "2")).expect("a table");
    expect_that!(low.precedes_era(2), eq(true));
}

/// Guards against records of another form in deployments whose store states no era.
#[gtest]
fn to_text_first_era_is_unchanged() {
    let text = halves()
        .with_era(0)
        .to_text()
        .expect("a table can be encoded");
    expect_that!(&*text, not(contains_substring("era")));
    expect_that!(&*text, not(contains_substring("incomplete")));
}
