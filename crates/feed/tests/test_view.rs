//! A view keeps the older value when a record is malformed or from a lower term.

use googletest::prelude::*;
use jy_feed::view::FleetView;
use jy_types::assign::PageRecord;
use jy_types::key::KeyHash;
use jy_types::record::Record;
use jy_types::record::page_key;
use jy_types::record::workspace_key;

/// Creates a record.
fn record(key: &str, revision: u64, value: &str) -> Record {
    Record {
        key: key.into(),
        revision,
        value: Some(value.into()),
    }
}

/// Returns the value of a workspace record without services.
fn workspace(token: u64) -> String {
    format!(r#"{{"name": "seals", "zones": ["a"], "services": [], "token": {token}}}"#)
}

/// Returns the value of a page record without assignments.
fn page(term: u64, generation: u64) -> String {
    let page = PageRecord {
        term,
        generation,
        ..PageRecord::default()
    };
    serde_json::to_string(&page).unwrap_or_default()
}

#[gtest]
fn with_records_malformed_keeps_older_value() {
    let key = workspace_key("seals");
    let (view, _) = FleetView::new().with_records(&[record(&key, 3, &workspace(1))], 3);
    let (view, errors) = view.with_records(&[record(&key, 4, "{\"name\": 1}")], 4);
    expect_that!(errors.len(), eq(1));
    expect_that!(
        errors[0].to_string(),
        contains_substring("s/workspace/seals")
    );
    expect_that!(view.workspaces["seals"].value.token, eq(1));
    expect_that!(view.revision, eq(4));
}

#[gtest]
fn with_records_ignores_page_of_lower_term() {
    let key = page_key("seals", "verifier", 0);
    let (view, _) = FleetView::new().with_records(&[record(&key, 3, &page(5, 1))], 3);
    let (view, _) = view.with_records(&[record(&key, 4, &page(4, 9))], 4);
    let pages = &view.pages[&("seals".into(), "verifier".into())];
    expect_that!(pages[&0].value.term, eq(5));
}

#[gtest]
fn grant_without_pages_is_none() {
    let service = ("seals".into(), "verifier".into());
    let view = FleetView::new();
    let unit = view.unit_of(&service, KeyHash::new("k"));
    expect_that!(view.grant(&service, unit), none());
}
