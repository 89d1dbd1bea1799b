//! What is believed of agents whose records come and go.

use std::net::SocketAddr;

use googletest::prelude::*;
use jy_edge::feed::FeedPart;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::instance_key;
use jy_feed::replica::RecordReplica;
use jy_types::endpoint::InstanceRecord;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::time::Millis;

/// An agent's record at a revision, or its deletion.
///
/// # Panics
///
/// If the record can't be written down.
fn record(revision: u64, is_there: bool) -> Record {
    let instance = InstanceRecord {
        node: "n".into(),
        run: "run".into(),
        gate: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        zone: "z".into(),
        leaving: false,
        backend: None,
    };
    let text = serde_json::to_string(&instance).expect("a record is text");
    Record {
        key: instance_key("n"),
        revision,
        value: is_there.then(|| text.into()),
    }
}

/// Beliefs after changes at a point.
fn changed(snapshot: FleetSnapshot, now: u64, records: &[Record]) -> FleetSnapshot {
    snapshot.with_changes(Millis(now), FeedPart::Fleet, records, 0)
}

#[gtest]
fn absent_since_counts_from_last_lapse() {
    let snapshot = changed(FleetSnapshot::default(), 10, &[record(1, true)]);
    expect_that!(snapshot.absent_since("n"), none());
    let snapshot = changed(snapshot, 20, &[record(2, false)]);
    expect_that!(snapshot.absent_since("n"), some(eq(Millis(20))));
    let snapshot = changed(snapshot, 30, &[record(2, false)]);
    expect_that!(
        snapshot.absent_since("n"),
        some(eq(Millis(20))),
        "the same lapse told twice"
    );
}

#[gtest]
fn absent_since_starts_anew_after_return_and_lapse_in_one_batch() {
    let snapshot = changed(FleetSnapshot::default(), 10, &[record(1, true)]);
    let snapshot = changed(snapshot, 20, &[record(2, false)]);
    let snapshot = changed(snapshot, 9_000, &[record(3, true), record(4, false)]);
    expect_that!(snapshot.absent_since("n"), some(eq(Millis(9_000))));
}

#[gtest]
fn absent_since_starts_anew_when_only_the_last_lapse_is_told() {
    let snapshot = changed(FleetSnapshot::default(), 10, &[record(1, true)]);
    let snapshot = changed(snapshot, 20, &[record(2, false)]);
    let snapshot = changed(snapshot, 9_000, &[record(4, false)]);
    expect_that!(snapshot.absent_since("n"), some(eq(Millis(9_000))));
}

#[gtest]
fn with_list_tells_known_deletions_anew() {
    let batch = |records: Vec<Record>, complete_to| RecordBatch {
        records,
        complete_to,
    };
    let (replica, _) = RecordReplica::new().with_batch(batch(vec![record(1, true)], 1));
    let (replica, _) = replica.with_batch(batch(vec![record(2, false)], 2));
    let (replica, changed) = replica.with_list(batch(Vec::new(), 50));
    expect_that!(changed.len(), eq(1), "it may have been there in between");
    expect_that!(changed[0].revision, eq(50));
    expect_that!(
        replica.batch_after(2).records.len(),
        eq(1),
        "others hear of it too"
    );
}

#[gtest]
fn absent_since_unknown_agent_counts_from_list() {
    let snapshot = FleetSnapshot {
        listed_at: Millis(70),
        ..FleetSnapshot::default()
    };
    expect_that!(snapshot.absent_since("never seen"), some(eq(Millis(70))));
}
