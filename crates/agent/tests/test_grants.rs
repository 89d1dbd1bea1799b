//! Tests of the units that an agent owns, and of whether their windows were handed over.

use googletest::prelude::*;
use jy_agent::grants::GrantCache;
use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::assign::Fence;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::record::Record;
use jy_types::record::page_key;

/// The only unit of the page in these tests.
const UNIT: Unit = Unit::Slice(SliceId(0));

fn service() -> ServiceKey {
    ("seals".into(), "verifier".into())
}

/// Returns a view with one slice that `own` owns under a fence.
fn view(own: &AgentId, fence: u64, initial: bool, revision: u64) -> FleetView {
    let grant = Grant {
        owner: Some(0),
        fence: Fence(fence),
        next_owner: None,
        initial,
    };
    let page = PageRecord {
        term: 1,
        generation: revision,
        owners: vec![own.clone()],
        slices: vec![grant],
        ..PageRecord::default()
    };
    let record = Record {
        key: page_key("seals", "verifier", 0),
        revision,
        value: serde_json::to_string(&page).ok().map(Into::into),
    };
    FleetView::new().with_records(&[record], revision).0
}

#[gtest]
fn update_reports_handed_over_windows() -> Result<()> {
    let own = AgentId::new("a", 1);
    let cache = GrantCache::new();
    let first = cache
        .update(&view(&own, 1, true, 1), &service(), &own)
        .or_fail()?;
    expect_true!(first[&UNIT].handed_over);
    let after_loss = cache
        .update(&view(&own, 2, false, 2), &service(), &own)
        .or_fail()?;
    expect_false!(after_loss[&UNIT].handed_over);
    cache.record_handover(&[UNIT]);
    let moved = cache
        .update(&view(&own, 3, false, 3), &service(), &own)
        .or_fail()?;
    expect_true!(moved[&UNIT].handed_over);
    Ok(())
}

#[gtest]
fn update_unchanged_pages() {
    let own = AgentId::new("a", 1);
    let cache = GrantCache::new();
    let view = view(&own, 1, true, 1);
    expect_that!(cache.update(&view, &service(), &own), some(anything()));
    expect_that!(cache.update(&view, &service(), &own), none());
    expect_that!(cache.len(), eq(1));
}

#[gtest]
fn update_other_incarnation() {
    let cache = GrantCache::new();
    let view = view(&AgentId::new("a", 1), 1, true, 1);
    let next = AgentId::new("a", 2);
    expect_that!(cache.update(&view, &service(), &next), none());
    expect_true!(cache.is_empty());
}
