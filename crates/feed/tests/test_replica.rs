//! A record of the replica is replaced only by a newer one.

use googletest::prelude::*;
use jy_feed::replica::RecordReplica;
use jy_types::record::Record;
use jy_types::record::RecordBatch;

/// Creates a record.
fn record(key: &str, revision: u64, value: &str) -> Record {
    Record {
        key: key.into(),
        revision,
        value: Some(value.into()),
    }
}

/// Creates a batch.
fn batch(records: Vec<Record>, complete_to: u64) -> RecordBatch {
    RecordBatch {
        records,
        complete_to,
    }
}

#[gtest]
fn with_batch_ignores_older_record() {
    let (replica, _) = RecordReplica::new().with_batch(batch(vec![record("s/a", 7, "new")], 7));
    let (replica, changed) = replica.with_batch(batch(vec![record("s/a", 5, "old")], 5));
    expect_that!(changed, is_empty());
    expect_that!(replica.complete_to(), eq(7));
    let value = replica.get("s/a").and_then(|found| found.value.clone());
    expect_that!(value.as_deref(), some(eq("new")));
}

#[gtest]
fn batch_after_returns_newest_records_only() {
    let records = vec![
        record("s/a", 3, "1"),
        record("s/b", 4, "1"),
        record("s/a", 6, "2"),
    ];
    let (replica, _) = RecordReplica::new().with_batch(batch(records, 6));
    let missing = replica.batch_after(3);
    let revisions: Vec<u64> = missing.records.iter().map(|found| found.revision).collect();
    expect_that!(revisions, elements_are![eq(&4), eq(&6)]);
}
