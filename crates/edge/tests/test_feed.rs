//! Tests that a feed lists the store's records again where a watch or another agent may have left out
//! changes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use googletest::prelude::*;
use jy_edge::era::StoreEra;
use jy_edge::feed::FeedPart;
use jy_edge::feed::FeedState;
use jy_edge::feed::RecordFeed;
use jy_edge::feed::SnapshotSender;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_http::message::HttpResponse;
use jy_http::pool::ConnectionPool;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_platform::store::StoreAnswer;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreError;
use jy_policy::key_check::MAX_UNKNOWN_KEY_PROOF_AGE_MS;
use jy_types::endpoint::InstanceRecord;
use jy_types::routing::CallerLimits;
use jy_types::routing::RouteTable;
use jy_types::tenant::TenantTable;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

/// Time after which a test that makes no progress fails, in seconds.
const TIMEOUT_S: u64 = 30;

/// The expected calls by path, each with its status and body, or `None` for a connection that is cut.
type Script = Vec<(&'static str, Option<(u16, String)>)>;

/// Returns a page of records of operators in which one zone is taken out, or none.
fn zones(zone: Option<&str>, revision: u64) -> String {
    let item = zone.map(|zone| {
        format!(r#"{{"key":"op/evacuate/{zone}","value":"e30=","revision":{revision}}}"#)
    });
    let items = item.unwrap_or_default();
    format!(r#"{{"items":[{items}],"truncated":false,"store_revision":{revision}}}"#)
}

/// Runs the feed with scripted answers of the store until the snapshot shows that `zone` is taken out, and
/// returns the paths that were called.
///
/// # Panics
///
/// Panics if a call is not the scripted one, or if the zone is not taken out in time.
fn run(script: Script, zone: &'static str) -> Vec<String> {
    run_with_reader(None, script, zone)
}

/// Does the same as [`run`]. If `reader_answer` is given, the feed runs in an availability zone whose agents
/// all answer others with it.
///
/// # Panics
///
/// Panics if a call is not the scripted one, or if the zone is not taken out in time.
fn run_with_reader(
    reader_answer: Option<&'static str>,
    script: Script,
    zone: &'static str,
) -> Vec<String> {
    run_bounded(false, reader_answer, script, zone)
}

/// Does the same as [`run_with_reader`], with or without a limit on the time to refuse withdrawn API keys.
///
/// # Panics
///
/// Panics if a call is not the scripted one, or if the zone is not taken out in time.
fn run_bounded(
    is_revocation_bounded: bool,
    reader_answer: Option<&'static str>,
    script: Script,
    zone: &'static str,
) -> Vec<String> {
    let called: Rc<RefCell<Vec<String>>> = Rc::default();
    let script = RefCell::new(script.into_iter());
    let calls = Rc::clone(&called);
    let client = StoreClient::with_call(Rc::new(move |request, _| {
        calls.borrow_mut().push(request.path().into());
        let next = script.borrow_mut().next();
        let is_expected = next
            .as_ref()
            .is_none_or(|(path, _)| *path == request.path());
        assert!(is_expected, "unexpected call: {}", request.target);
        Box::pin(async move {
            let Some((_, answer)) = next else {
                std::future::pending::<()>().await;
                unreachable!("no answer is left in the script");
            };
            let (status, body) = answer.ok_or_else(|| StoreError::NoAnswer {
                cause: "cut".into(),
            })?;
            Ok(StoreAnswer::new(status, Bytes::from(body)))
        })
    }));
    actix_rt::System::new().block_on(async move {
        let fleet = match reader_answer {
            None => FleetSnapshot::default(),
            Some(answer) => fleet(serve_reader(answer).await),
        };
        let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(fleet)));
        let mut updates = snapshot.subscribe();
        let state = Rc::new(watch::Sender::new(FeedState::default()));
        let feed = RecordFeed {
            node: "n".into(),
            zone: "z".into(),
            store: client,
            part: FeedPart::Operator,
            snapshot,
            state,
            refresh_requested: Rc::new(Notify::new()),
            replica: Rc::default(),
            proved_until: Rc::default(),
            pool: ConnectionPool::new(),
            is_revocation_bounded,
            avoided: RefCell::default(),
            era: Rc::new(StoreEra::new()),
        };
        actix_rt::spawn(async move { feed.run().await });
        let zone_out = updates.wait_for(|snapshot| snapshot.zones_out.contains(zone));
        let result = timeout(Duration::from_secs(TIMEOUT_S), zone_out).await;
        assert!(
            result.is_ok(),
            "the snapshot did not show the zone as taken out within {TIMEOUT_S} s"
        );
    });
    called.borrow().clone()
}

/// Returns a snapshot of an availability zone with eight agents, all at one address.
fn fleet(gate: SocketAddr) -> FleetSnapshot {
    let observe = |node: &str| {
        let record = InstanceRecord {
            node: node.into(),
            run: "run".into(),
            gate,
            zone: "z".into(),
            leaving: false,
            backend: None,
        };
        let observed = ObservedInstance {
            record: Rc::new(record),
            revision: 1,
            lapsed: None,
            lapse_revision: 0,
        };
        (node.into(), observed)
    };
    FleetSnapshot {
        instances: ["a", "b", "c", "d", "e", "f", "g", "n"].map(observe).into(),
        ..FleetSnapshot::default()
    }
}

/// Starts a server that gives the same answer to all requests of other agents, and returns its address.
///
/// # Panics
///
/// Panics if no port is free.
async fn serve_reader(body: &'static str) -> SocketAddr {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = probe.local_addr().expect("an address");
    drop(probe);
    let limits = ReadLimits {
        head_bytes: 16 * 1024,
        body_bytes: 1024,
        read_ms: 5_000,
        idle_ms: 5_000,
    };
    let listener = HttpListener::new(
        Rc::new(move |_, _| Box::pin(async move { HttpResponse::new(StatusCode::OK, body) })),
        Rc::new(move || limits),
    );
    listener.serve(address).await.expect("the port is free");
    address
}

#[gtest]
fn run_reader_without_fresh_proof_lists_again() {
    let stale = r#"{"batch":{"records":[],"complete_to":5},"waited_ms":0,"proof_age_ms":5000}"#;
    let script: Script = vec![
        ("/kv-range", Some((200, zones(None, 5)))),
        ("/kv-range", Some((200, zones(Some("z1"), 6)))),
    ];
    expect_that!(run_with_reader(Some(stale), script, "z1").len(), eq(2));
}

#[gtest]
fn run_reader_with_fresh_proof_does_not_watch_store() {
    let fresh = r#"{"batch":{"records":[{"key":"op/evacuate/z1","revision":6,"value":"{}"}],"complete_to":6},"waited_ms":0,"proof_age_ms":10}"#;
    let script: Script = vec![("/kv-range", Some((200, zones(None, 5))))];
    expect_that!(run_with_reader(Some(fresh), script, "z1").len(), eq(1));
}

/// Guards against instances that refuse all requests with keys while only they are cut off from the store. Their lapsed
/// proof is renewed by another agent, and they still try the store.
#[gtest]
fn run_cut_off_with_revocation_bound_reads_from_agent() {
    let fresh = r#"{"batch":{"records":[{"key":"op/evacuate/z1","revision":6,"value":"{}"}],"complete_to":6},"waited_ms":0,"proof_age_ms":10}"#;
    let script: Script = vec![("/kv-range", None), ("/kv-range", None)];
    expect_that!(run_bounded(true, Some(fresh), script, "z1").len(), eq(1));
    let script: Script = vec![
        ("/kv-range", None),
        ("/kv-range", Some((200, zones(Some("z2"), 7)))),
    ];
    expect_that!(run_bounded(true, Some(fresh), script, "z2").len(), eq(2));
    let script: Script = vec![
        ("/kv-range", None),
        ("/kv-range", Some((200, zones(Some("z1"), 7)))),
    ];
    let calls = run_bounded(false, Some(fresh), script, "z1");
    expect_that!(calls.len(), eq(2), "only where the settings ask for it");
}

#[gtest]
fn run_cut_watch_lists_again() {
    let script: Script = vec![
        ("/kv-range", Some((200, zones(None, 5)))),
        ("/kv-watch", None),
        ("/kv-range", Some((200, zones(Some("z1"), 6)))),
    ];
    expect_that!(run(script, "z1").len(), ge(3));
}

#[gtest]
fn run_dropped_history_lists_again() {
    let script: Script = vec![
        ("/kv-range", Some((200, zones(None, 5)))),
        ("/kv-watch", Some((410, "{}".into()))),
        ("/kv-range", Some((200, zones(Some("z1"), 9)))),
    ];
    expect_that!(run(script, "z1").len(), ge(3));
}

/// Returns the wait of the first watch of operators' records by an agent that is alone in its zone, in milliseconds.
fn first_watch_ms(is_revocation_bounded: bool, has_tenants: bool) -> Option<u64> {
    let routes = RouteTable {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            read_ms: 1,
            idle_ms: 1,
        },
        tenants: has_tenants.then(TenantTable::new),
    };
    let snapshot = FleetSnapshot {
        routes: Some(Rc::new(routes)),
        ..FleetSnapshot::default()
    };
    let waits: Rc<RefCell<Vec<u64>>> = Rc::default();
    let seen = Rc::clone(&waits);
    let client = StoreClient::with_call(Rc::new(move |_, wait_ms| {
        let is_watch = wait_ms > 0;
        seen.borrow_mut().extend(is_watch.then_some(wait_ms));
        let body = zones(None, 1);
        Box::pin(async move {
            if is_watch {
                std::future::pending::<()>().await;
            }
            Ok(StoreAnswer::new(200, Bytes::from(body)))
        })
    }));
    actix_rt::System::new().block_on(async move {
        let feed = RecordFeed {
            node: "n".into(),
            zone: "z".into(),
            store: client,
            part: FeedPart::Operator,
            snapshot: Rc::new(watch::Sender::new(Rc::new(snapshot))),
            state: Rc::new(watch::Sender::new(FeedState::default())),
            refresh_requested: Rc::new(Notify::new()),
            replica: Rc::default(),
            proved_until: Rc::default(),
            pool: ConnectionPool::new(),
            is_revocation_bounded,
            avoided: RefCell::default(),
            era: Rc::new(StoreEra::new()),
        };
        let _is_over = timeout(Duration::from_millis(100), feed.run()).await;
    });
    waits.take().first().copied()
}

/// Guards against proofs that are too old for withdrawn API keys in a zone of few agents, and against more calls of the
/// store in deployments that don't ask for it.
#[gtest]
fn run_revocation_bounded_watches_briefly() {
    for has_tenants in [false, true] {
        expect_that!(first_watch_ms(true, has_tenants), some(le(500)));
    }
    expect_that!(first_watch_ms(false, false), some(eq(4_000)));
}

/// Guards against unknown keys that get 503 in a zone of few agents while the store is in reach, since the proof grows
/// older than 2.5 s between two watches.
#[gtest]
fn run_with_tenants_watches_less_than_proof_age() {
    let wait_ms = first_watch_ms(false, true);
    expect_that!(wait_ms, some(lt(MAX_UNKNOWN_KEY_PROOF_AGE_MS / 2)));
}
