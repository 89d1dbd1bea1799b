//! Tests how the agent answers the announcements that it receives.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use googletest::prelude::*;
use jy_edge::announcements::AnnouncementListener;
use jy_edge::backend::LocalBackend;
use jy_edge::feed::SnapshotSender;
use jy_edge::gate::LocalGate;
use jy_edge::member::LocalMember;
use jy_edge::metrics::EdgeMetrics;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::LeavingRecord;
use jy_edge::snapshot::VersionedRanges;
use jy_edge::support::LocalSupport;
use jy_http::message::HttpRequest;
use jy_kernel::clock;
use jy_platform::store::StoreClient;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::InstanceRecord;
use jy_types::leaving::LeavingSet;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

/// Address of the backend server; also stands for the store, which is not reached in these tests.
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);
/// Least time for which the answer to a leaving backend server that keeps its keys is delayed, in milliseconds.
const MIN_REPLY_DELAY_MS: u64 = 300;

/// Returns an incarnation of the backend server on instance `node` as an owner.
fn owner(node: &str) -> RangeOwner {
    RangeOwner {
        node: node.into(),
        incarnation: BackendIncarnation {
            id: "i-1".into(),
            started_at: 1,
        },
    }
}

/// Returns the table in which the owner on instance `n` has all keys.
///
/// # Panics
///
/// Panics if the table can't be created.
fn table() -> RangeTable {
    RangeTable::new(&[(owner("n"), 1)]).expect("one owner")
}

/// Returns a snapshot with a table of key ranges.
fn snapshot(table: RangeTable) -> Rc<FleetSnapshot> {
    let mut snapshot = FleetSnapshot {
        revision: 1,
        ..FleetSnapshot::default()
    };
    let versioned = VersionedRanges {
        table: Rc::new(table),
        revision: 1,
    };
    snapshot.ranges.insert("s".into(), versioned);
    Rc::new(snapshot)
}

/// Returns a snapshot with a table of key ranges, in which the backend server on instance `n` leaves.
fn recorded_as_leaving(table: RangeTable) -> Rc<FleetSnapshot> {
    let mut snapshot = FleetSnapshot::clone(&snapshot(table));
    let leaving = LeavingRecord {
        incarnations: LeavingSet::new(owner("n").incarnation),
        revision: 2,
    };
    snapshot.leaving.insert("n".into(), leaving);
    Rc::new(snapshot)
}

/// Returns the parts of an agent that has just started.
fn listener() -> AnnouncementListener {
    let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(snapshot(table())));
    let backend = Rc::new(LocalBackend::new("n".into(), clock::now(), 10_000, 1_000));
    let gate = LocalGate::new(
        "z".into(),
        ADDRESS,
        Rc::clone(&backend),
        Rc::clone(&snapshot),
        Rc::new(EdgeMetrics::new()),
        1_250.0,
    );
    let support = LocalSupport::new("n".into(), "z".into(), "run".into(), Rc::clone(&snapshot));
    let record = || InstanceRecord {
        node: "n".into(),
        run: "run".into(),
        gate: ADDRESS,
        zone: "z".into(),
        leaving: false,
        backend: None,
    };
    let member = LocalMember::new(
        StoreClient::new(ADDRESS),
        Rc::clone(&snapshot),
        "n".into(),
        Rc::new(record),
        Rc::new(support),
    );
    AnnouncementListener {
        backend,
        gate: Rc::new(gate),
        member: Rc::new(member),
        snapshot,
        reload_settings: Rc::new(|| ()),
    }
}

/// Returns an announcement of a backend server that holds all keys, in a state.
fn announcement(state: &str) -> HttpRequest {
    announcement_from(ADDRESS, state)
}

/// Returns an announcement of a backend server at an address.
fn announcement_from(address: SocketAddr, state: &str) -> HttpRequest {
    let body = serde_json::json!({
        "address": address.to_string(),
        "born": 1,
        "info": { "service": "s", "version": "v1", "zone": "z", "slots": 4 },
        "status": { "state": state, "sequence": 7, "cold_remaining_ms": 0 },
        "holds": [[0, u16::MAX, 1]],
        "freed": [],
    });
    HttpRequest::new(Method::PUT, "/instances/i-1").with_body(body.to_string().into())
}

/// Guards against keys without service for an announcement interval: after its restart the agent did not know the
/// backend server before it had answered, so that the moves of its keys could not start, and granted all keys again.
#[gtest]
fn answer_leaving_after_agent_restart_moves_keys_before_reply() {
    actix_rt::System::new().block_on(async {
        let listener = Rc::new(listener());
        let answering = Rc::clone(&listener);
        let answer =
            actix_rt::spawn(async move { answering.answer(&announcement("draining")).await });
        sleep(Duration::from_millis(MIN_REPLY_DELAY_MS / 3)).await;
        expect_that!(answer.is_finished(), eq(false), "no move is marked");
        expect_that!(
            listener.backend.owner(),
            some(eq(&owner("n"))),
            "the moves of the keys can be written"
        );
        let is_leaving = |state: Option<&jy_edge::backend::BackendState>| {
            state.is_some_and(|state| state.leaving_since.is_some())
        };
        expect_that!(listener.backend.read(is_leaving), eq(true));
        let moving = table().with_move(&owner("n"), 0, u16::MAX, &owner("m"));
        listener.snapshot.send_replace(recorded_as_leaving(moving));
        let limit = Duration::from_millis(MIN_REPLY_DELAY_MS / 3);
        let is_answered = timeout(limit, answer).await.is_ok();
        expect_that!(is_answered, eq(true), "the moves are marked");
    });
}

/// Guards against an acknowledged end that is forgotten with the process that acknowledged it: the answer waits until
/// the store has it.
#[gtest]
fn answer_end_waits_until_it_is_recorded() {
    actix_rt::System::new().block_on(async {
        let listener = Rc::new(listener());
        let response = listener.answer(&announcement("ready")).await;
        expect_that!(response.status, eq(StatusCode::OK));
        let answering = Rc::clone(&listener);
        let answer = actix_rt::spawn(async move {
            let end = HttpRequest::new(Method::DELETE, "/instances/i-1");
            answering.answer(&end).await
        });
        sleep(Duration::from_millis(MIN_REPLY_DELAY_MS / 3)).await;
        expect_that!(answer.is_finished(), eq(false));
        listener.snapshot.send_replace(recorded_as_leaving(table()));
        let limit = Duration::from_millis(MIN_REPLY_DELAY_MS / 3);
        let is_answered = timeout(limit, answer).await.is_ok();
        expect_that!(is_answered, eq(true));
    });
}

/// Guards against an acknowledged leaving that the store lacks: nothing would tell the next run of the agent.
#[gtest]
fn answer_leaving_without_record_is_not_acknowledged() {
    actix_rt::System::new().block_on(async {
        let end = HttpRequest::new(Method::DELETE, "/instances/i-1");
        let draining = announcement("draining");
        for (is_known, request) in [(false, &end), (true, &end), (false, &draining)] {
            let listener = listener();
            if is_known {
                let response = listener.answer(&announcement("ready")).await;
                expect_that!(response.status, eq(StatusCode::OK));
            }
            // A late announcement comes after the leaving.
            for report in [request, &announcement("ready")] {
                let response = listener.answer(report).await;
                let status = StatusCode::SERVICE_UNAVAILABLE;
                expect_that!(response.status, eq(status), "known: {is_known}");
            }
            let listed = listener.backend.listed();
            let is_used = listed.is_some_and(|listed| listed.phase == BackendPhase::Serving);
            expect_that!(is_used, eq(false), "known: {is_known}");
            let leaving = LeavingRecord {
                incarnations: listener.backend.leaving().expect("it leaves"),
                revision: 3,
            };
            let mut recorded = FleetSnapshot::clone(&snapshot(table()));
            recorded.leaving.insert("n".into(), leaving);
            listener.snapshot.send_replace(Rc::new(recorded));
            let response = listener.answer(request).await;
            expect_that!(response.status, eq(StatusCode::OK), "known: {is_known}");
        }
    });
}

/// Guards against a server that had left and is in use again: after the agent's restart one of its reports arrives
/// seconds late.
#[gtest]
fn answer_late_report_of_left_server_brings_it_not_back() {
    actix_rt::System::new().block_on(async {
        let listener = listener();
        listener.snapshot.send_replace(recorded_as_leaving(table()));
        let response = listener.answer(&announcement("ready")).await;
        expect_that!(response.status, eq(StatusCode::OK));
        let accepts = |is_keyed| {
            listener.backend.read(|state| {
                let now = clock::now();
                state.is_some_and(|state| listener.backend.accepts(now, state, is_keyed))
            })
        };
        expect_that!(accepts(false), eq(false));
        expect_that!(accepts(true), eq(false));
        let phase = listener.backend.listed().map(|listed| listed.phase);
        expect_that!(phase, some(eq(BackendPhase::Draining)));
    });
}

/// Guards against a backend server that is never used again: the settings name another address, and its announcements
/// from there are rejected.
#[gtest]
fn answer_changed_address_is_accepted() {
    actix_rt::System::new().block_on(async {
        let listener = listener();
        let mut next = ADDRESS;
        next.set_port(10);
        listener.gate.set_address(next);
        let response = listener.answer(&announcement_from(next, "ready")).await;
        expect_that!(response.status, eq(StatusCode::OK));
        let response = listener.answer(&announcement("ready")).await;
        expect_that!(response.status, eq(StatusCode::BAD_REQUEST));
    });
}
