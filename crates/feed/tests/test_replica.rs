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
        era: 0,
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

/// Guards against a replica that keeps lost records, or holds back reissued revisions, after the store came back from
/// an older copy.
#[gtest]
fn with_list_later_era_replaces_all_records() {
    let records = vec![record("s/a", 7, "lost"), record("s/b", 9, "lost")];
    let (replica, _) = RecordReplica::new().with_batch(batch(records, 9));
    let list = RecordBatch {
        era: 1,
        ..batch(vec![record("s/a", 5, "copy")], 6)
    };
    let (replica, changed) = replica.with_list(list);
    expect_that!(replica.era(), eq(1));
    expect_that!(replica.complete_to(), eq(6));
    expect_that!(changed.len(), eq(2), "one is older now, one is gone");
    let value = |key: &str| replica.get(key).and_then(|found| found.value.clone());
    expect_that!(value("s/a").as_deref(), some(eq("copy")));
    expect_that!(value("s/b"), none());
    expect_that!(replica.batch_after(0).records.len(), eq(2));
}

/// Guards against late answers of an earlier era, and changes of a later one without its list.
#[gtest]
fn with_batch_other_era_changes_nothing() {
    let list = RecordBatch {
        era: 1,
        ..batch(vec![record("s/a", 5, "copy")], 6)
    };
    let (mut replica, _) = RecordReplica::new().with_list(list);
    for era in [0, 2] {
        let other = RecordBatch {
            era,
            ..batch(vec![record("s/a", 9, "other")], 9)
        };
        let (next, changed) = replica.with_batch(other.clone());
        expect_that!(changed, is_empty());
        expect_that!(next.complete_to(), eq(6));
        replica = next;
        if era == 0 {
            let (next, changed) = replica.with_list(other);
            expect_that!(changed, is_empty());
            expect_that!(next.era(), eq(1));
            replica = next;
        }
    }
}
