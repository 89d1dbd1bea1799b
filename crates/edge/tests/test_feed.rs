//! The beliefs follow the store, whatever its watches leave out.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use googletest::prelude::*;
use jy_edge::feed::FeedPart;
use jy_edge::feed::FeedState;
use jy_edge::feed::RecordFeed;
use jy_edge::feed::SnapshotSender;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_http::message::HttpAnswer;
use jy_http::pool::ConnectionPool;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreError;
use jy_types::endpoint::InstanceRecord;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

/// A hang fails the test after this long, in seconds.
const HANG_LIMIT_S: u64 = 30;

/// An answer to one call, or none for a connection that is cut.
type Script = Vec<(&'static str, Option<(u16, String)>)>;

/// A page with one zone taken out, or without any.
fn zones(zone: Option<&str>, revision: u64) -> String {
    let item = zone.map(|zone| {
        format!(r#"{{"key":"op/evacuate/{zone}","value":"e30=","revision":{revision}}}"#)
    });
    let items = item.unwrap_or_default();
    format!(r#"{{"items":[{items}],"truncated":false,"store_revision":{revision}}}"#)
}

/// Runs the feed over scripted answers until it has believed that `zone` is out, and returns the paths
/// that were called.
///
/// # Panics
///
/// If the case can't be set up or does not end.
fn run(script: Script, zone: &'static str) -> Vec<String> {
    run_beside(None, script, zone)
}

/// As [`run`], in an availability zone whose first agent answers others with `reader`, if there is such an
/// answer.
///
/// # Panics
///
/// If the case can't be set up or does not end.
fn run_beside(reader: Option<&'static str>, script: Script, zone: &'static str) -> Vec<String> {
    let called: Rc<RefCell<Vec<String>>> = Rc::default();
    let script = RefCell::new(script.into_iter());
    let log = Rc::clone(&called);
    let client = StoreClient::with_call(Rc::new(move |request, _| {
        log.borrow_mut().push(request.path().into());
        let next = script.borrow_mut().next();
        let is_expected = next
            .as_ref()
            .is_none_or(|(path, _)| *path == request.path());
        assert!(is_expected, "{} was not expected", request.target);
        Box::pin(async move {
            let Some((_, answer)) = next else {
                std::future::pending::<()>().await;
                unreachable!("the script is over");
            };
            let (status, body) = answer.ok_or_else(|| StoreError::NoAnswer {
                cause: "cut".into(),
            })?;
            Ok((status, Bytes::from(body)))
        })
    }));
    actix_rt::System::new().block_on(async move {
        let fleet = match reader {
            None => FleetSnapshot::default(),
            Some(answer) => fleet(serve_reader(answer).await),
        };
        let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(fleet)));
        let mut subscribe = snapshot.subscribe();
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
            proved: Rc::default(),
            pool: ConnectionPool::new(),
            avoided: RefCell::default(),
        };
        actix_rt::spawn(async move { feed.run().await });
        let believed = subscribe.wait_for(|snapshot| snapshot.zones_out.contains(zone));
        let result = timeout(Duration::from_secs(HANG_LIMIT_S), believed).await;
        assert!(result.is_ok(), "the zone was never believed to be out");
    });
    called.borrow().clone()
}

/// Beliefs in an availability zone of eight agents, all at one address.
fn fleet(gate: SocketAddr) -> FleetSnapshot {
    let seen = |node: &str| {
        let record = InstanceRecord {
            node: node.into(),
            run: "run".into(),
            gate,
            zone: "z".into(),
            leaving: false,
            backend: None,
        };
        let seen = ObservedInstance {
            record: Rc::new(record),
            revision: 1,
            lapsed: None,
            lapse_revision: 0,
        };
        (node.into(), seen)
    };
    FleetSnapshot {
        instances: ["a", "b", "c", "d", "e", "f", "g", "n"].map(seen).into(),
        ..FleetSnapshot::default()
    }
}

/// Serves one answer to all requests of other agents.
///
/// # Panics
///
/// If no port is free.
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
        Rc::new(move |_, _| Box::pin(async move { HttpAnswer::new(StatusCode::OK, body) })),
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
    expect_that!(run_beside(Some(stale), script, "z1").len(), eq(2));
}

#[gtest]
fn run_reader_with_fresh_proof_spares_store() {
    let fresh = r#"{"batch":{"records":[{"key":"op/evacuate/z1","revision":6,"value":"{}"}],"complete_to":6},"waited_ms":0,"proof_age_ms":10}"#;
    let script: Script = vec![("/kv-range", Some((200, zones(None, 5))))];
    expect_that!(run_beside(Some(fresh), script, "z1").len(), eq(1));
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
