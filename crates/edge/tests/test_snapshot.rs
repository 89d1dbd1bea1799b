//! Tests since when agents whose records lapse and return are considered absent.

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

/// Returns an agent's record at a revision, or its deletion.
///
/// # Panics
///
/// Panics if the record can't be encoded.
fn record(revision: u64, is_present: bool) -> Record {
    let instance = InstanceRecord {
        node: "n".into(),
        run: "run".into(),
        gate: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        zone: "z".into(),
        leaving: false,
        backend: None,
    };
    let text = serde_json::to_string(&instance).expect("a record can be encoded");
    Record {
        key: instance_key("n"),
        revision,
        value: is_present.then(|| text.into()),
    }
}

/// Returns a snapshot after changes that are applied at `now`.
fn apply_changes(snapshot: FleetSnapshot, now: u64, records: &[Record]) -> FleetSnapshot {
    snapshot.with_changes(Millis(now), FeedPart::Fleet, records, 0)
}

#[gtest]
fn absent_since_counts_from_last_lapse() {
    let snapshot = apply_changes(FleetSnapshot::default(), 10, &[record(1, true)]);
    expect_that!(snapshot.absent_since("n"), none());
    let snapshot = apply_changes(snapshot, 20, &[record(2, false)]);
    expect_that!(snapshot.absent_since("n"), some(eq(Millis(20))));
    let snapshot = apply_changes(snapshot, 30, &[record(2, false)]);
    expect_that!(
        snapshot.absent_since("n"),
        some(eq(Millis(20))),
        "the same lapse received twice"
    );
}

/// Guards against agents that end, or stop following the others, by one odd entry among the agents' records.
#[gtest]
fn with_changes_odd_entries_leave_the_others() {
    let valid = record(1, true);
    let text = valid.value.clone().expect("the record is present");
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd_values = [
        deep.clone(),
        text.replace("null", &deep),
        text.replace(":7000", ":70000"),
        text.replace("null", "{\"life\":{\"id\":\"i\",\"born\":1e400}}"),
        text.replace(
            "null",
            "{\"life\":{\"id\":\"i\",\"born\":99999999999999999999}}",
        ),
        String::new(),
    ];
    let mut records: Vec<Record> = odd_values
        .iter()
        .zip(2..)
        .map(|(value, revision)| Record {
            key: instance_key(&format!("odd-{revision}")),
            revision,
            value: Some(value.as_str().into()),
        })
        .collect();
    records.insert(3, valid);
    let snapshot = FleetSnapshot::default().with_changes(Millis(10), FeedPart::Fleet, &records, 20);
    let nodes: Vec<&str> = snapshot.instances.keys().map(|node| &**node).collect();
    expect_that!(nodes, elements_are![eq(&"n")]);
    expect_that!(snapshot.revision, eq(20), "the agent follows the store");
}

#[gtest]
fn absent_since_restarts_after_return_and_lapse_in_one_batch() {
    let snapshot = apply_changes(FleetSnapshot::default(), 10, &[record(1, true)]);
    let snapshot = apply_changes(snapshot, 20, &[record(2, false)]);
    let snapshot = apply_changes(snapshot, 9_000, &[record(3, true), record(4, false)]);
    expect_that!(snapshot.absent_since("n"), some(eq(Millis(9_000))));
}

#[gtest]
fn absent_since_restarts_when_only_last_lapse_is_received() {
    let snapshot = apply_changes(FleetSnapshot::default(), 10, &[record(1, true)]);
    let snapshot = apply_changes(snapshot, 20, &[record(2, false)]);
    let snapshot = apply_changes(snapshot, 9_000, &[record(4, false)]);
    expect_that!(snapshot.absent_since("n"), some(eq(Millis(9_000))));
}

#[gtest]
fn with_list_repeats_known_deletions() {
    let batch = |records: Vec<Record>, complete_to| RecordBatch {
        records,
        complete_to,
        era: 0,
    };
    let (replica, _) = RecordReplica::new().with_batch(batch(vec![record(1, true)], 1));
    let (replica, _) = replica.with_batch(batch(vec![record(2, false)], 2));
    let (replica, changed) = replica.with_list(batch(Vec::new(), 50));
    expect_that!(
        changed.len(),
        eq(1),
        "the record may have been present in between"
    );
    expect_that!(changed[0].revision, eq(50));
    expect_that!(
        replica.batch_after(2).records.len(),
        eq(1),
        "other agents receive the deletion too"
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
