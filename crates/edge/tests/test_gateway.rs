//! Which agent a gateway asks, and what its caller is told.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Method;
use actix_http::StatusCode;
use googletest::prelude::*;
use jy_edge::backend::LocalBackend;
use jy_edge::feed::SnapshotSender;
use jy_edge::forward::GateOutcome;
use jy_edge::forward::GateReport;
use jy_edge::forward::NotRunCause;
use jy_edge::forward::encode_report;
use jy_edge::gate::LocalGate;
use jy_edge::gateway::CallerGateway;
use jy_edge::gateway::GatewayParts;
use jy_edge::metrics::EdgeMetrics;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_edge::snapshot::VersionedRanges;
use jy_http::message::HttpAnswer;
use jy_http::message::HttpRequest;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use jy_policy::budget::BudgetLimits;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::InstanceRecord;
use jy_types::endpoint::ListedBackend;
use jy_types::routing::CallerLimits;
use jy_types::routing::RouteRule;
use jy_types::routing::RouteTable;
use jy_types::routing::RouteTarget;
use jy_types::routing::ServiceRule;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Limits of the listener that stands for another agent's gate.
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024,
    read_ms: 5_000,
    idle_ms: 5_000,
};

/// A life of a backend server.
fn incarnation() -> BackendIncarnation {
    BackendIncarnation {
        id: "i-1".into(),
        started_at: 1,
    }
}

/// A configuration with one route to one service.
fn routes(is_keyed: bool, is_idempotent: bool) -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![RouteRule {
            name: "route".into(),
            host: "h.example".into(),
            prefix: "/p/".into(),
            idempotent: is_idempotent,
            timeout_ms: 5_000,
            objective_ms: 2_000,
            priority: 1,
            max_attempts: 2,
            targets: vec![RouteTarget {
                service: "s".into(),
                weight: 1,
            }],
        }],
        services: BTreeMap::from([(
            "s".into(),
            ServiceRule {
                name: "s".into(),
                health_path: "/health".into(),
                max_connections: 10,
                cold_ms: 0,
                cold_per_s: f64::INFINITY,
                keyed: is_keyed,
            },
        )]),
        limits: CallerLimits {
            head_bytes: 1024,
            body_bytes: 1024,
            read_ms: 1_000,
            idle_ms: 1_000,
        },
    }
}

/// Beliefs in which the other agent, at `gate`, owns all keys; its record lapsed at a point, if it did.
///
/// # Panics
///
/// If the table of one owner can't be made.
fn snapshot(routes: RouteTable, gate: SocketAddr, lapsed: Option<Millis>) -> FleetSnapshot {
    let record = InstanceRecord {
        node: "other".into(),
        run: "run".into(),
        gate,
        zone: "z".into(),
        leaving: false,
        backend: Some(ListedBackend {
            incarnation: incarnation(),
            service: "s".into(),
            slots: 4,
            phase: BackendPhase::Serving,
        }),
    };
    let owner = RangeOwner {
        node: "other".into(),
        incarnation: incarnation(),
    };
    let table = RangeTable::new(&[(owner, 1)]).expect("one owner");
    FleetSnapshot {
        routes: Some(Rc::new(routes)),
        instances: BTreeMap::from([(
            "other".into(),
            ObservedInstance {
                record: Rc::new(record),
                revision: 1,
                lapsed,
                lapse_revision: 0,
            },
        )]),
        ranges: BTreeMap::from([(
            "s".into(),
            VersionedRanges {
                table: Rc::new(table),
                revision: 1,
            },
        )]),
        ..FleetSnapshot::default()
    }
}

/// A gateway with the given beliefs, beside no backend server.
fn gateway(snapshot: FleetSnapshot) -> Rc<CallerGateway> {
    let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(snapshot)));
    let metrics = Rc::new(EdgeMetrics::new());
    let backend = Rc::new(LocalBackend::new("own".into(), Millis(0), 10_000, 1_000));
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let gate = LocalGate::new(
        "z".into(),
        nowhere,
        backend,
        Rc::clone(&snapshot),
        Rc::clone(&metrics),
    );
    Rc::new(CallerGateway::new(GatewayParts {
        node: "own".into(),
        zone: "z".into(),
        origin: "s".into(),
        gate: Rc::new(gate),
        snapshot,
        budget: BudgetLimits {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
        },
        metrics,
        refresh_requested: Rc::new(Notify::new()),
    }))
}

/// Serves a gate that reports `report` to each request, and counts them.
///
/// # Panics
///
/// If no port is free.
async fn other_gate(report: GateReport, asked: Rc<Cell<u32>>) -> SocketAddr {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = probe.local_addr().expect("an address");
    drop(probe);
    let listener = HttpListener::new(
        Rc::new(move |_, _| {
            asked.set(asked.get() + 1);
            let report = report.clone();
            Box::pin(async move { encode_report(report) })
        }),
        Rc::new(|| LIMITS),
    );
    listener.serve(address).await.expect("the port is free");
    address
}

/// What a caller gets, and how often the other agent was asked.
fn ask(
    end: GateOutcome,
    is_keyed: bool,
    is_idempotent: bool,
    lapsed_ms_ago: Option<u64>,
) -> (HttpAnswer, u32) {
    actix_rt::System::new().block_on(async {
        let asked = Rc::new(Cell::new(0));
        let report = GateReport { end, load: None };
        let gate = other_gate(report, Rc::clone(&asked)).await;
        let now = clock::now();
        let lapsed = lapsed_ms_ago.map(|ago| now.minus(ago));
        let gateway = gateway(snapshot(routes(is_keyed, is_idempotent), gate, lapsed));
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "3000")
            .with_header("x-shard-key", "77");
        (gateway.serve(request, now).await, asked.get())
    })
}

/// An answer of a backend server.
fn answered() -> GateOutcome {
    GateOutcome::Answered(HttpAnswer::new(StatusCode::OK, "done"))
}

#[gtest]
fn serve_lapsed_owner_is_asked_for_its_key() {
    let (answer, asked) = ask(answered(), true, true, Some(9_000));
    expect_that!(answer.status, eq(StatusCode::OK));
    expect_that!(asked, eq(1));
}

#[gtest]
fn serve_lapsed_agent_is_not_asked_without_key() {
    let (answer, asked) = ask(answered(), false, true, Some(9_000));
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(asked, eq(0));
}

#[gtest]
fn serve_unknown_outcome_is_never_called_not_run() {
    let unknown = || GateOutcome::Unknown {
        reason: "reset".into(),
    };
    let (answer, asked) = ask(unknown(), false, false, None);
    expect_that!(answer.status, eq(StatusCode::BAD_GATEWAY));
    expect_that!(asked, eq(1), "it is sent once");
    let (answer, _) = ask(unknown(), false, true, None);
    expect_that!(answer.status, eq(StatusCode::BAD_GATEWAY));
}

#[gtest]
fn serve_refused_everywhere_says_when_to_come_back() {
    let overloaded = GateOutcome::NotRun {
        cause: NotRunCause::Overloaded,
        retry_ms: 400,
    };
    let (answer, asked) = ask(overloaded, false, false, None);
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(asked, eq(1));
    let retry = answer
        .headers
        .get("retry-after")
        .and_then(|value| value.to_str().ok());
    expect_that!(retry, some(eq("0.400")));
}

#[gtest]
fn serve_no_configuration_is_not_a_missing_route() {
    let answer = actix_rt::System::new().block_on(async {
        let request = HttpRequest::new(Method::GET, "/p/x").with_header("host", "h.example");
        gateway(FleetSnapshot::default())
            .serve(request, clock::now())
            .await
    });
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
}
