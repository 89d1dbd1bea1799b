//! Tests that tables of tenants and records show no API key.

use googletest::prelude::*;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::record::describe_parse_error;
use jy_types::tenant::ApiKeyHash;
use jy_types::tenant::TenantRule;
use jy_types::tenant::TenantTable;

const KEY: &str = "zq5secret";

/// Returns a table with one tenant.
fn table() -> TenantTable {
    let rule = TenantRule {
        name: "t".into(),
        priority: None,
        quota: None,
    };
    TenantTable::new().with_tenant(rule, &[KEY])
}

/// The snapshot is compared with the one before, so that two tables of one configuration must be equal.
#[gtest]
fn authenticate_exact_key_only() {
    expect_that!(table().authenticate(KEY).is_some(), eq(true));
    for other in ["", "zq5secre", "zq5secret ", "ZQ5SECRET", "t"] {
        expect_that!(table().authenticate(other), none(), "{other:?}");
    }
    expect_that!(table() == table(), eq(true));
    expect_that!(ApiKeyHash::new(KEY), eq(ApiKeyHash::new(KEY)));
}

#[gtest]
fn debug_shows_no_key() {
    let record = Record {
        key: "op/config".into(),
        revision: 3,
        value: Some(KEY.into()),
    };
    let batch = RecordBatch {
        era: 0,
        records: vec![record.clone()],
        complete_to: 3,
    };
    let error = serde_json::from_str::<u32>("\"zq5secret\\\" zq5secret\"");
    let error = error.expect_err("a string is no number");
    let texts = [
        format!("{record:?}"),
        format!("{batch:#?}"),
        format!("{:?} {:?}", table(), ApiKeyHash::new(KEY)),
        describe_parse_error(&error),
    ];
    for text in texts {
        expect_that!(text, not(contains_substring(KEY)));
    }
}
