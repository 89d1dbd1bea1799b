//! Tests of what an agent keeps, replaces and holds back when the store comes back from an older copy.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use jy_edge::era::EraAuthority;
use jy_edge::era::SETTLE_MS;
use jy_edge::era::StoreEra;
use jy_edge::feed::FeedPart;
use jy_edge::feed::FeedState;
use jy_edge::feed::RecordFeed;
use jy_edge::feed::RelayedRecords;
use jy_edge::feed::SnapshotSender;
use jy_edge::feed::answer_relay;
use jy_edge::feed::relay_query;
use jy_edge::member::LEASE_MS;
use jy_edge::member::LocalMember;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::instance_key;
use jy_edge::snapshot::leaving_key;
use jy_edge::snapshot::quota_slot_key;
use jy_edge::snapshot::ranges_key;
use jy_edge::support::LocalSupport;
use jy_feed::replica::RecordReplica;
use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_platform::store::CommitOutcome;
use jy_platform::store::StoreAnswer;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreCommit;
use jy_platform::store::StoreError;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::InstanceRecord;
use jy_types::leaving::LeavingSet;
use jy_types::name::Name;
use jy_types::quota::SlotId;
use jy_types::quota::SlotRecord;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

/// Time after which a test that makes no progress fails, in seconds.
const TIMEOUT_S: u64 = 30;

/// Returns a record.
fn record(key: Name, revision: u64, value: Option<String>) -> Record {
    Record {
        key,
        revision,
        value: value.map(Name::from),
    }
}

/// Returns the record of the agent on instance `n`.
///
/// # Panics
///
/// Panics if it can't be encoded.
fn instance(revision: u64) -> Record {
    let instance = InstanceRecord {
        node: "n".into(),
        run: "run".into(),
        gate: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        zone: "z".into(),
        leaving: false,
        backend: None,
    };
    let text = serde_json::to_string(&instance).expect("a record can be encoded");
    record(instance_key("n"), revision, Some(text))
}

/// Returns the incarnation with a start time.
fn incarnation(started_at: u64) -> BackendIncarnation {
    BackendIncarnation {
        id: format!("i-{started_at}").into(),
        started_at,
    }
}

/// Returns the record of a leaving backend server on instance `n`.
///
/// # Panics
///
/// Panics if it can't be encoded.
fn leaving(revision: u64, started_at: u64) -> Record {
    let text = serde_json::to_string(&incarnation(started_at)).expect("it can be encoded");
    record(leaving_key("n"), revision, Some(text))
}

/// Returns a table in which instance `n` owns all keys, as written in an era.
///
/// # Panics
///
/// Panics if it can't be created.
fn table(era: u64, is_incomplete: bool) -> RangeTable {
    let owner = RangeOwner {
        node: "n".into(),
        incarnation: incarnation(1),
    };
    let table = RangeTable::new(&[(owner, 1)]).expect("one owner");
    table.with_era(era).with_incomplete(is_incomplete)
}

/// Applies a list of the fleet's records, read in an era at `now`, to a replica and a snapshot.
fn apply_list(
    (replica, snapshot): (RecordReplica, FleetSnapshot),
    now: u64,
    era: u64,
    records: Vec<Record>,
    complete_to: u64,
) -> (RecordReplica, FleetSnapshot) {
    let list = RecordBatch {
        records,
        complete_to,
        era,
    };
    let (replica, changed) = replica.with_list(list);
    let now = Millis(now);
    let snapshot = snapshot
        .with_era(now, FeedPart::Fleet, replica.era())
        .with_changes(now, FeedPart::Fleet, &changed, replica.complete_to());
    (replica, snapshot)
}

/// Guards against claims that rest on an old copy of the store, and against any hold-back without a change of era.
#[gtest]
fn with_era_holds_back_only_after_change() {
    let first = apply_list(Default::default(), 10, 3, vec![instance(50)], 50);
    expect_that!(first.1.era_settled_at(), eq(Millis::default()));
    expect_that!(first.1.absent_since("n"), none());
    let (_, snapshot) = apply_list(first, 1_000, 4, Vec::new(), 40);
    expect_that!(snapshot.era_settled_at(), eq(Millis(1_000).plus(SETTLE_MS)));
    expect_that!(snapshot.revision, eq(40));
    expect_that!(
        snapshot.absent_since("n"),
        some(eq(Millis(1_000))),
        "the copy lacks the record"
    );
}

/// Guards against holders of quota slots that go on by records that the copy lacks, and against claims of their slots
/// while they may still lend, also by an agent that starts after the drill.
#[gtest]
fn with_era_forgets_holders_until_leases_have_ended() {
    let slot = SlotId { part: 1, group: 7 };
    let holder = SlotRecord {
        node: "n".into(),
        run: "run".into(),
        lease: 5,
    };
    let text = serde_json::to_string(&holder).expect("a slot's record can be encoded");
    let held = record(quota_slot_key(slot), 49, Some(text));
    let first = apply_list(Default::default(), 10, 3, vec![instance(50), held], 50);
    expect_that!(first.1.quota_slots.contains_key(&slot), eq(true));
    // The drill may have been just before this agent started.
    let starts_to_claim_at = first.1.leases_ended_at();
    expect_that!(starts_to_claim_at, ge(Millis(10).plus(LEASE_MS)));
    expect_that!(starts_to_claim_at, lt(Millis(10).plus(SETTLE_MS)));
    let without_eras = apply_list(Default::default(), 10, 0, vec![instance(50)], 50);
    expect_that!(without_eras.1.leases_ended_at(), eq(Millis::default()));
    let (_, snapshot) = apply_list(first, 100_000, 4, vec![instance(30)], 40);
    expect_that!(snapshot.quota_slots.is_empty(), eq(true));
    expect_that!(
        snapshot.leases_ended_at(),
        all![
            ge(Millis(100_000).plus(LEASE_MS)),
            lt(snapshot.era_settled_at())
        ]
    );
}

/// Guards against a lower version of the configuration that the copy has, and against records of the copy that are not
/// applied since their revisions are lower.
#[gtest]
fn with_era_keeps_newest_configuration() {
    let config = |revision: u64, version: u64| {
        let text = format!(
            r#"{{"version":"r{version}","routes":{{"columns":["name","host","prefix","kind","timeout_ms","target_latency_ms","priority","max_attempts","service"],"rows":[]}},"services":{{"columns":["name","health_path","max_connections","cold_start_s","cold_per_s","sharded"],"rows":[]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
        );
        record("op/config".into(), revision, Some(text))
    };
    let read = |snapshot: FleetSnapshot, era: u64, record: Record| {
        let now = Millis(10);
        let revision = record.revision;
        snapshot
            .with_era(now, FeedPart::Operator, era)
            .with_changes(now, FeedPart::Operator, &[record], revision)
    };
    let version = |snapshot: &FleetSnapshot| snapshot.routes.as_ref().map(|routes| routes.version);
    let snapshot = read(FleetSnapshot::default(), 0, config(90, 7));
    let snapshot = read(snapshot, 1, config(80, 6));
    expect_that!(version(&snapshot), some(eq(7)));
    expect_that!(snapshot.operator_revision, eq(80));
    let snapshot = read(snapshot, 1, config(85, 8));
    expect_that!(version(&snapshot), some(eq(8)));
}

/// Guards against a backend server that is brought back into use since the copy does not have its leaving.
#[gtest]
fn with_era_keeps_leaving() {
    let first = apply_list(Default::default(), 10, 0, vec![leaving(50, 2)], 50);
    for copy in [Vec::new(), vec![leaving(30, 1)], vec![leaving(30, 3)]] {
        let (_, snapshot) = apply_list(first.clone(), 20, 1, copy, 40);
        let known = snapshot.leaving.get("n").expect("the leaving is known");
        expect_that!(known.incarnations.contains(&incarnation(2)), eq(true));
        expect_that!(known.revision, eq(0), "it has to be written again");
    }
    let both = LeavingSet::new(incarnation(2)).with(incarnation(3));
    let text = serde_json::to_string(&both).expect("it can be encoded");
    let copy = vec![record(leaving_key("n"), 30, Some(text))];
    let (_, snapshot) = apply_list(first, 20, 1, copy, 40);
    let known = snapshot.leaving.get("n").expect("the leaving is known");
    expect_that!(known.incarnations, eq(&both));
    expect_that!(known.revision, eq(30));
}

/// Guards against an agent that starts after the drill and takes keys of an owner that its copy of the records does
/// not show.
#[gtest]
fn with_changes_first_list_after_drill_holds_back() {
    let listed = |era: u64, table: RangeTable| {
        let text = table.to_text().expect("a table can be encoded").to_string();
        let records = vec![record(ranges_key("s"), 30, Some(text))];
        let (_, snapshot) = apply_list(Default::default(), 1_000, era, records, 40);
        snapshot.era_settled_at()
    };
    let held_back = Millis(1_000).plus(SETTLE_MS);
    expect_that!(listed(0, table(0, false)), eq(Millis::default()));
    expect_that!(listed(2, table(2, false)), eq(Millis::default()));
    expect_that!(listed(2, table(1, false)), eq(held_back));
    expect_that!(listed(2, table(2, true)), eq(held_back));
}

/// Guards against a table of a service that nobody manages any more, which keeps its earlier era for good, and holds back
/// every agent that starts.
#[gtest]
fn with_changes_unmanaged_table_does_not_hold_back() {
    let ranges = |service: &str, table: RangeTable| {
        let text = table.to_text().expect("a table can be encoded").to_string();
        record(ranges_key(service), 30, Some(text))
    };
    for (unmanaged, managed) in [("a", "b"), ("b", "a")] {
        let mut records = vec![
            ranges(unmanaged, table(1, false)),
            ranges(managed, table(2, false)),
        ];
        records.sort_by(|one, other| one.key.cmp(&other.key));
        let (_, snapshot) = apply_list(Default::default(), 1_000, 2, records, 40);
        expect_that!(snapshot.is_era_settled(Millis(1_000)), eq(true));
    }
    // Without a table of the present era the era may not be settled.
    let records = vec![ranges("a", table(1, false)), ranges("b", table(2, true))];
    let (_, snapshot) = apply_list(Default::default(), 1_000, 2, records, 40);
    expect_that!(snapshot.is_era_settled(Millis(1_000)), eq(false));
    let settled = [ranges("b", table(2, false))];
    let snapshot = snapshot.with_changes(Millis(3_000), FeedPart::Fleet, &settled, 50);
    expect_that!(snapshot.is_era_settled(Millis(3_000)), eq(true));
}

/// Guards against an agent that starts late in the hold-back and holds back again for as long.
#[gtest]
fn with_changes_settled_table_ends_hold_back() {
    let ranges = |revision: u64, table: RangeTable| {
        let text = table.to_text().expect("a table can be encoded").to_string();
        record(ranges_key("s"), revision, Some(text))
    };
    let first = vec![ranges(30, table(2, true))];
    let (_, snapshot) = apply_list(Default::default(), 1_000, 2, first, 40);
    let settled = [ranges(50, table(2, false))];
    let snapshot = snapshot.with_changes(Millis(3_000), FeedPart::Fleet, &settled, 50);
    expect_that!(snapshot.era_settled_at(), eq(Millis(3_000)));
    // An agent that has seen the era begin relies on its own clock.
    let seen = apply_list(Default::default(), 1_000, 1, vec![instance(30)], 40);
    let (_, snapshot) = apply_list(seen, 2_000, 2, vec![ranges(20, table(1, false))], 30);
    let snapshot = snapshot.with_changes(Millis(3_000), FeedPart::Fleet, &settled, 50);
    expect_that!(snapshot.era_settled_at(), eq(Millis(2_000).plus(SETTLE_MS)));
}

/// Guards against commits with revisions that may have been issued again, and against any wait with a store that states
/// no era.
#[gtest]
fn may_commit_needs_recent_answer_of_same_era() {
    let era = StoreEra::new();
    era.record(Millis(1_000), None);
    expect_that!(era.may_commit(Millis(90_000), 0), eq(true));
    era.record(Millis(1_000), Some(1));
    expect_that!(era.may_commit(Millis(1_500), 1), eq(true));
    expect_that!(era.may_commit(Millis(1_500), 0), eq(false));
    expect_that!(era.may_commit(Millis(9_000), 1), eq(false));
    era.record(Millis(9_000), Some(0));
    expect_that!(era.may_commit(Millis(9_000), 1), eq(false), "a late answer");
}

/// Guards against claims and releases of quota slots with revisions that may have been issued again.
#[gtest]
fn commit_of_other_era_is_conflict() {
    let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::default()));
    let sent = Rc::new(Cell::new(0));
    let count = Rc::clone(&sent);
    let store = StoreClient::with_call(Rc::new(move |_, _| {
        count.set(count.get() + 1);
        let body = Bytes::from_static(br#"{"revision":7}"#);
        let answer = StoreAnswer::new(200, body).with_era(2);
        Box::pin(async move { Ok(answer) })
    }));
    let era = Rc::new(StoreEra::new());
    let support = LocalSupport::new("n".into(), "z".into(), "run".into(), Rc::clone(&snapshot));
    let member = LocalMember::new(
        store,
        snapshot,
        "n".into(),
        Rc::new(|| unreachable!("no record is written")),
        Rc::new(support),
    )
    .with_era(Rc::clone(&era));
    let commit = |read_era: u64| {
        let commit = StoreCommit::default();
        let end = actix_rt::System::new().block_on(member.commit(&commit, read_era));
        end.expect("an answer")
    };
    let applied = CommitOutcome::Applied {
        revision: 7,
        era: 2,
    };
    expect_that!(commit(2), eq(applied), "the store has stated no era yet");
    expect_that!(commit(1), eq(CommitOutcome::Conflict));
    expect_that!(sent.get(), eq(2));
    era.record(clock::now(), Some(2));
    expect_that!(commit(1), eq(CommitOutcome::Conflict));
    expect_that!(
        sent.get(),
        eq(2),
        "a commit that rests on era 1 is not sent"
    );
    expect_that!(commit(2), eq(applied));
    let stale = Rc::new(StoreEra::new());
    stale.record(clock::now().minus(2_500), Some(2));
    let member = member.with_era(stale);
    let end = actix_rt::System::new().block_on(member.commit(&StoreCommit::default(), 2));
    expect_that!(end.expect("no call"), eq(CommitOutcome::Conflict));
}

/// Returns records of era 1, complete up to revision 6, as an agent relays them.
fn relayed() -> RelayedRecords {
    let list = RecordBatch {
        records: vec![instance(5)],
        complete_to: 6,
        era: 1,
    };
    let (replica, _) = RecordReplica::new().with_list(list);
    RelayedRecords {
        part: FeedPart::Fleet,
        replica: Rc::new(RefCell::new(replica)),
        proved_until: Rc::default(),
        snapshot: Rc::new(watch::Sender::new(Rc::default())),
        state: Rc::new(watch::Sender::new(FeedState::default())),
    }
}

/// Guards against agents of different eras that read from one another: one behind gets all records, one ahead is
/// refused, and one that states no era is served as before.
#[gtest]
fn answer_relay_by_era() {
    let answer = |target: &str| {
        let (after, era) = relay_query(target);
        let body = actix_rt::System::new().block_on(answer_relay(after, era, relayed()));
        body.map(|body| {
            let answer: serde_json::Value = serde_json::from_slice(&body).expect("valid JSON");
            let count = answer["batch"]["records"].as_array().map_or(0, Vec::len);
            (
                count,
                answer["is_whole"] == true,
                answer["batch"]["era"].clone(),
            )
        })
    };
    let era = serde_json::Value::from(1);
    expect_that!(
        answer("/jy/fleet?era=0&after=900"),
        some(eq(&(1, true, era.clone())))
    );
    expect_that!(
        answer("/jy/fleet?era=1&after=4"),
        some(eq(&(1, false, era.clone())))
    );
    expect_that!(answer("/jy/fleet?era=2&after=4"), none());
    expect_that!(answer("/jy/fleet?after=4"), some(eq(&(1, false, era))));
    expect_that!(answer("/jy/fleet?after=900"), none());
}

/// Guards against a feed that goes on with a watch from a revision of another era, or waits in one while other calls
/// have shown that the era is over.
#[gtest]
fn run_new_era_lists_again() {
    let page = |era: u64, zone: &str, revision: u64| {
        let body = format!(
            r#"{{"items":[{{"key":"op/evacuate/{zone}","value":"e30=","revision":{revision}}}],"truncated":false,"store_revision":{revision}}}"#
        );
        Some(StoreAnswer::new(200, Bytes::from(body)).with_era(era))
    };
    let events = r#"{"events":[],"store_revision":8}"#;
    let watched = StoreAnswer::new(200, Bytes::from_static(events.as_bytes())).with_era(1);
    // In the second case the watch does not answer, and another call of the agent states the era.
    for second in [Some(watched), None] {
        let script = [page(0, "z1", 9), second.clone(), page(1, "z2", 5), None];
        let next = Rc::new(Cell::new(0));
        let client = StoreClient::with_call(Rc::new(move |_, _| {
            let answer = script.get(next.get()).cloned().flatten();
            next.set(next.get() + 1);
            Box::pin(async move {
                match answer {
                    Some(answer) => Ok(answer),
                    None => std::future::pending::<std::result::Result<_, StoreError>>().await,
                }
            })
        }));
        actix_rt::System::new().block_on(async move {
            let era = Rc::new(StoreEra::new());
            let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::default()));
            let mut updates = snapshot.subscribe();
            let feed = RecordFeed {
                node: "n".into(),
                zone: "z".into(),
                store: client,
                part: FeedPart::Operator,
                snapshot,
                state: Rc::new(watch::Sender::new(FeedState::default())),
                refresh_requested: Rc::new(Notify::new()),
                replica: Rc::default(),
                proved_until: Rc::default(),
                pool: ConnectionPool::new(),
                is_revocation_bounded: false,
                avoided: RefCell::default(),
                era: Rc::clone(&era),
            };
            actix_rt::spawn(async move { feed.run().await });
            let limit = Duration::from_secs(TIMEOUT_S);
            let first = updates.wait_for(|snapshot| snapshot.zones_out.contains("z1"));
            expect_that!(timeout(limit, first).await.is_ok(), eq(true));
            if second.is_none() {
                era.record(clock::now(), Some(1));
            }
            let listed = updates.wait_for(|snapshot| snapshot.operator_era == 1);
            expect_that!(timeout(limit, listed).await.is_ok(), eq(true));
            let snapshot = updates.borrow();
            expect_that!(snapshot.operator_revision, eq(5));
            expect_that!(snapshot.zones_out.contains("z1"), eq(false));
            expect_that!(snapshot.zones_out.contains("z2"), eq(true));
        });
    }
}

/// Guards against grants past the right of the earlier era by an owner that the store's table does not name: others
/// may grant by that table once the era is settled for them.
#[gtest]
fn authority_unconfirmed_renewal_does_not_count() {
    let authority = EraAuthority::default().renewed(0, Millis(20_000));
    expect_that!(authority.until(0, true), eq(Millis(20_000)));
    expect_that!(
        authority.until(1, false),
        eq(Millis(20_000)),
        "not renewed since"
    );
    let authority = authority.renewed(1, Millis(25_000));
    let authority = authority.renewed(1, Millis(26_000));
    expect_that!(authority.until(1, false), eq(Millis(20_000)));
    expect_that!(authority.until(1, true), eq(Millis(26_000)));
    let authority = authority.renewed(2, Millis(31_000));
    expect_that!(authority.until(2, false), eq(Millis(26_000)));
}
