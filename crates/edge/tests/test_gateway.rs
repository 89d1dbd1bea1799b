//! Tests of the gateway: which agent it asks, and what it answers the caller.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use googletest::prelude::*;
use jy_edge::backend::LocalBackend;
use jy_edge::feed::SnapshotSender;
use jy_edge::forward::GateOutcome;
use jy_edge::forward::GateReport;
use jy_edge::forward::NotRunCause;
use jy_edge::forward::decode_job;
use jy_edge::forward::encode_report;
use jy_edge::forward::is_forwarded;
use jy_edge::forward::remove_peer_headers;
use jy_edge::gate::LocalGate;
use jy_edge::gateway::CallerGateway;
use jy_edge::gateway::GatewayParts;
use jy_edge::keys::KeyChecker;
use jy_edge::metrics::EdgeMetrics;
use jy_edge::quota::LocalQuota;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_edge::snapshot::VersionedRanges;
use jy_edge::transfer::TRANSFER_PATH;
use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_text;
use jy_http::server::Handler;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use jy_policy::budget::BudgetLimits;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::InstanceRecord;
use jy_types::endpoint::ListedBackend;
use jy_types::routing::CallerLimits;
use jy_types::routing::RouteRule;
use jy_types::routing::RouteTable;
use jy_types::routing::RouteTarget;
use jy_types::routing::ServiceRule;
use jy_types::tenant::TenantRule;
use jy_types::tenant::TenantTable;
use jy_types::time::Millis;
use jy_types::time::WallMillis;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

/// Limits of the listener that acts as another agent's gate.
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    read_ms: 5_000,
    idle_ms: 5_000,
};

/// Rate of the instance's link, in bytes per millisecond.
const LINK_BYTES_PER_MS: f64 = 1_250.0;

/// The incarnation of the other agent's backend server.
fn incarnation() -> BackendIncarnation {
    BackendIncarnation {
        id: "i-1".into(),
        started_at: 1,
    }
}

/// Builds a configuration with one route to one service.
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
            public: false,
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
        tenants: None,
    }
}

/// Builds a snapshot in which the other agent, with its gate at `gate`, owns all keys. Its record lapsed at
/// `lapsed`, if set.
///
/// # Panics
///
/// Panics if the range table can't be created.
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
            service_time_percent: None,
        }),
    };
    let owner = RangeOwner {
        node: "other".into(),
        incarnation: incarnation(),
    };
    let table = RangeTable::new(&[(owner, 1)]).expect("range table of one owner is valid");
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

/// Adds an agent like the other one, with its gate at `gate`.
fn snapshot_with_second(mut snapshot: FleetSnapshot, gate: SocketAddr) -> FleetSnapshot {
    let mut second = snapshot.instances["other"].clone();
    let mut record = (*second.record).clone();
    record.node = "second".into();
    record.gate = gate;
    second.record = Rc::new(record);
    snapshot.instances.insert("second".into(), second);
    snapshot
}

/// Builds a gateway with the given snapshot and no backend server beside it.
fn gateway(snapshot: FleetSnapshot) -> Rc<CallerGateway> {
    gateway_with_slack(snapshot, 50.0)
}

/// Builds a gateway whose fleet may make `slack` extra sends beyond a share of the requests.
fn gateway_with_slack(snapshot: FleetSnapshot, slack: f64) -> Rc<CallerGateway> {
    let backend = LocalBackend::new("own".into(), Millis(0), 10_000, 1_000);
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    gateway_beside(snapshot, Rc::new(backend), unused_address, slack)
}

/// Builds a gateway whose responses take memory from a budget.
fn gateway_with_memory(snapshot: FleetSnapshot, memory: Rc<MemoryBudget>) -> Rc<CallerGateway> {
    let backend = LocalBackend::new("own".into(), Millis(0), 10_000, 1_000);
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    build_gateway(snapshot, Rc::new(backend), unused_address, 50.0, memory)
}

/// Builds a gateway with the given snapshot beside the backend server at `address`.
fn gateway_beside(
    snapshot: FleetSnapshot,
    backend: Rc<LocalBackend>,
    address: SocketAddr,
    slack: f64,
) -> Rc<CallerGateway> {
    let memory = Rc::new(MemoryBudget::new(usize::MAX));
    build_gateway(snapshot, backend, address, slack, memory)
}

/// Builds a gateway beside the backend server at `address`, whose responses take memory from a budget.
fn build_gateway(
    snapshot: FleetSnapshot,
    backend: Rc<LocalBackend>,
    address: SocketAddr,
    slack: f64,
    memory: Rc<MemoryBudget>,
) -> Rc<CallerGateway> {
    let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(snapshot)));
    let metrics = Rc::new(EdgeMetrics::new());
    let gate = LocalGate::new(
        "z".into(),
        address,
        backend,
        Rc::clone(&snapshot),
        Rc::clone(&metrics),
        LINK_BYTES_PER_MS,
    );
    Rc::new(CallerGateway::new(GatewayParts {
        node: "own".into(),
        zone: "z".into(),
        reload_settings: Rc::new(|| ()),
        gate: Rc::new(gate.with_memory(memory)),
        snapshot,
        link_bytes_per_ms: LINK_BYTES_PER_MS,
        budget: BudgetLimits {
            ratio: 0.2,
            slack,
            window_ms: 10_000,
        },
        quota: Rc::new(LocalQuota::new("own".into(), None)),
        keys: KeyChecker::new(Rc::default(), None),
        metrics,
        refresh_requested: Rc::new(Notify::new()),
    }))
}

/// Serves a gate that answers each request with `report` and counts the requests.
///
/// # Panics
///
/// Panics if no port is free.
async fn serve_other_gate(report: GateReport, request_count: Rc<Cell<u32>>) -> SocketAddr {
    serve_gate(Rc::new(move |_, _| {
        request_count.set(request_count.get() + 1);
        let report = report.clone();
        Box::pin(async move { encode_report(report) })
    }))
    .await
}

/// Serves a gate that handles each request with `handler`.
///
/// # Panics
///
/// Panics if no port is free.
async fn serve_gate(handler: Handler) -> SocketAddr {
    let reserved = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = reserved.local_addr().expect("bound socket has an address");
    drop(reserved);
    let listener = HttpListener::new(handler, Rc::new(|| LIMITS));
    listener
        .serve(address)
        .await
        .expect("the released port is still free");
    address
}

/// Serves one request through a gateway whose only other agent ends it with `outcome`. Returns the caller's
/// answer and how many requests the other agent received.
fn serve_request(
    outcome: GateOutcome,
    is_keyed: bool,
    is_idempotent: bool,
    lapsed_ms_ago: Option<u64>,
) -> (HttpResponse, u32) {
    actix_rt::System::new().block_on(async {
        let request_count = Rc::new(Cell::new(0));
        let report = GateReport {
            outcome,
            load: None,
        };
        let gate = serve_other_gate(report, Rc::clone(&request_count)).await;
        let now = clock::now();
        let lapsed = lapsed_ms_ago.map(|ms| now.minus(ms));
        let gateway = gateway(snapshot(routes(is_keyed, is_idempotent), gate, lapsed));
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "3000")
            .with_header("x-shard-key", "77");
        (gateway.serve(request, now).await, request_count.get())
    })
}

/// Builds the outcome of a request that ran.
fn answered() -> GateOutcome {
    GateOutcome::Answered(HttpResponse::new(StatusCode::OK, "done"))
}

/// While the range table names the owner, no other agent has the key, so a lapsed record must not hide it.
#[gtest]
fn serve_lapsed_owner_is_asked_for_its_key() {
    let (response, request_count) = serve_request(answered(), true, true, Some(9_000));
    expect_that!(response.status, eq(StatusCode::OK));
    expect_that!(request_count, eq(1));
}

#[gtest]
fn serve_lapsed_agent_is_not_asked_without_key() {
    let (response, request_count) = serve_request(answered(), false, true, Some(9_000));
    expect_that!(response.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(request_count, eq(0));
}

/// A caller that is told "not run" may repeat a request that has run.
#[gtest]
fn serve_unknown_outcome_is_not_reported_as_not_run() {
    let unknown = || GateOutcome::Unknown {
        reason: "reset".into(),
    };
    let (response, request_count) = serve_request(unknown(), false, false, None);
    expect_that!(response.status, eq(StatusCode::BAD_GATEWAY));
    expect_that!(
        request_count,
        eq(1),
        "a request that is not idempotent is sent once"
    );
    let (response, _) = serve_request(unknown(), false, true, None);
    expect_that!(response.status, eq(StatusCode::BAD_GATEWAY));
}

#[gtest]
fn serve_refused_by_all_agents_sends_retry_after() {
    let overloaded = GateOutcome::NotRun {
        cause: NotRunCause::Overloaded,
        retry_ms: 400,
    };
    let (response, request_count) = serve_request(overloaded, false, false, None);
    expect_that!(response.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(request_count, eq(1));
    let retry_after = response
        .headers
        .get("retry-after")
        .and_then(|value| value.to_str().ok());
    expect_that!(retry_after, some(eq("0.400")));
}

/// An agent that has just started must not answer 404 for routes that it does not know yet.
#[gtest]
fn serve_without_configuration_is_unavailable() {
    let response = actix_rt::System::new().block_on(async {
        let request = HttpRequest::new(Method::GET, "/p/x").with_header("host", "h.example");
        gateway(FleetSnapshot::default())
            .serve(request, clock::now())
            .await
    });
    expect_that!(response.status, eq(StatusCode::SERVICE_UNAVAILABLE));
}

/// Builds a caller's request with a large body.
fn upload() -> HttpRequest {
    HttpRequest::new(Method::POST, "/p/x")
        .with_header("host", "h.example")
        .with_header("x-request-id", "r1")
        .with_header("x-deadline-ms", "3000")
        .with_body(Bytes::from(vec![7_u8; 40_000]))
}

/// Guards against requests that were just accepted and are cut off without an answer at the end of a shutdown.
#[gtest]
fn end_unanswered_request_is_answered_at_once() {
    let response = actix_rt::System::new().block_on(async {
        let gate = serve_gate(Rc::new(|_, _| Box::pin(std::future::pending()))).await;
        let gateway = gateway(snapshot(routes(false, false), gate, None));
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "60000");
        let ending = Rc::clone(&gateway);
        actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            ending.end();
        });
        timeout(Duration::from_secs(3), gateway.serve(request, clock::now())).await
    });
    let status = response.ok().map(|response| response.status);
    expect_that!(
        status,
        some(eq(StatusCode::BAD_GATEWAY)),
        "it was sent, so that it may have run"
    );
}

/// A body that the gate refuses to take is not sent, and its request is said not to have run.
#[gtest]
fn serve_large_body_refused_is_not_sent() {
    let (response, paths) =
        serve_upload(|_| encode_report(GateReport::not_run(NotRunCause::Overloaded, 400, None)));
    expect_that!(response.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(paths, each(eq(TRANSFER_PATH)));
}

/// Agents of an earlier version don't know the request to admit a body.
#[gtest]
fn serve_large_body_to_earlier_agent_is_sent_once() {
    let (response, paths) = serve_upload(|path| {
        if path == TRANSFER_PATH {
            HttpResponse::new(StatusCode::BAD_REQUEST, "")
        } else {
            encode_report(GateReport {
                outcome: answered(),
                load: None,
            })
        }
    });
    expect_that!(response.status, eq(StatusCode::OK));
    expect_that!(paths, elements_are![eq(TRANSFER_PATH), eq("/p/x")]);
}

/// Serves an upload through a gateway whose only other agent answers by the path of the request. Returns the
/// caller's answer and the paths that the other agent was asked for.
fn serve_upload(answer: impl Fn(&str) -> HttpResponse + 'static) -> (HttpResponse, Vec<String>) {
    actix_rt::System::new().block_on(async {
        let paths = Rc::new(RefCell::new(Vec::new()));
        let seen = Rc::clone(&paths);
        let answer = Rc::new(answer);
        let gate = serve_gate(Rc::new(move |request: HttpRequest, _| {
            seen.borrow_mut().push(request.path().to_owned());
            let response = answer(request.path());
            Box::pin(async move { response })
        }))
        .await;
        let gateway = gateway(snapshot(routes(false, false), gate, None));
        let response = gateway.serve(upload(), clock::now()).await;
        let paths = paths.borrow().clone();
        (response, paths)
    })
}

/// Guards against callers that reach what agents say to each other: a path of theirs on a route that covers it, such as
/// a denial of an owner of keys, was taken for another agent's own request.
#[gtest]
fn serve_path_of_agents_is_forwarded_as_request() {
    actix_rt::System::new().block_on(async {
        let seen: Rc<Cell<Option<bool>>> = Rc::default();
        let recorded = Rc::clone(&seen);
        let gate = serve_gate(Rc::new(move |request: HttpRequest, _| {
            recorded.set(Some(is_forwarded(&request)));
            let outcome = GateOutcome::Answered(HttpResponse::new(StatusCode::OK, "ran"));
            Box::pin(async move {
                encode_report(GateReport {
                    outcome,
                    load: None,
                })
            })
        }))
        .await;
        let mut routes = routes(false, true);
        routes.routes[0].prefix = "/jy/".into();
        let gateway = gateway(snapshot(routes, gate, None));
        let request = HttpRequest::new(Method::GET, "/jy/deny?owner=n&epoch=1&run=r")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "1000");
        let response = gateway.serve(request, clock::now()).await;
        expect_that!(response.status, eq(StatusCode::OK));
        expect_that!(seen.get(), some(eq(true)));
    });
}

/// Guards against callers that mark their requests as if an agent passed them on, or as if it did not.
#[gtest]
fn remove_peer_headers_drops_mark_of_forwarded_requests() {
    let mut request = HttpRequest::new(Method::GET, "/p/x").with_header("jy-forwarded", "1");
    expect_that!(is_forwarded(&request), eq(true));
    remove_peer_headers(&mut request.headers);
    expect_that!(is_forwarded(&request), eq(false));
}

/// Serves a gate that answers each request with `outcome` after `delay_ms` milliseconds.
async fn serve_slow_gate(delay_ms: u64, outcome: GateOutcome) -> SocketAddr {
    serve_gate(Rc::new(move |_, _| {
        let outcome = outcome.clone();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            encode_report(GateReport {
                outcome,
                load: None,
            })
        })
    }))
    .await
}

/// Guards against a refusal that says "not run" while a hedge of the request is still running: the first backend
/// server shed the request, and the budget of extra sends was used up.
#[gtest]
fn serve_shed_beside_hedge_waits_for_hedge() {
    let response = actix_rt::System::new().block_on(async {
        let shed = GateOutcome::NotRun {
            cause: NotRunCause::Shed,
            retry_ms: 0,
        };
        let mut gates = Vec::new();
        for outcome in [shed, answered()] {
            // Whichever gate is asked first, the other one is asked 120 ms later and ends later.
            let is_answer = matches!(outcome, GateOutcome::Answered(_));
            let delay_ms = if is_answer { 700 } else { 300 };
            gates.push(serve_slow_gate(delay_ms, outcome).await);
        }
        let mut routes = routes(false, true);
        routes.routes[0].objective_ms = 200;
        let snapshot = snapshot_with_second(snapshot(routes, gates[0], None), gates[1]);
        // With two agents this allows one hedge and no retry after it.
        let gateway = gateway_with_slack(snapshot, 7.0);
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "3000");
        gateway.serve(request, clock::now()).await
    });
    expect_that!(response.status, eq(StatusCode::OK));
}

/// Sends a request from `peer` through a gateway beside a backend server at `backend` that announced itself if
/// `is_heard`. Returns whether the request arrived at the other gate with the mark of calls.
fn is_marked(peer: [u8; 4], backend: [u8; 4], routes: RouteTable, is_heard: bool) -> bool {
    actix_rt::System::new().block_on(async {
        let marked: Rc<Cell<bool>> = Rc::default();
        let recorded = Rc::clone(&marked);
        let gate = serve_gate(Rc::new(move |request: HttpRequest, received_at| {
            let job = decode_job(request, "r1".into(), received_at);
            recorded.set(job.is_some_and(|job| job.is_call));
            let report = GateReport {
                outcome: answered(),
                load: None,
            };
            Box::pin(async move { encode_report(report) })
        }))
        .await;
        let address = SocketAddr::from((backend, 8_080));
        let backend = Rc::new(LocalBackend::new("own".into(), Millis(0), 10_000, 1_000));
        if is_heard {
            let announced = Announcement {
                incarnation: incarnation(),
                address,
                service: "s".into(),
                zone: "z".into(),
                slots: 4,
                phase: BackendPhase::Serving,
                sequence: 1,
                cold_ms: 0,
                held: Vec::new(),
                released: Vec::new(),
            };
            let _outcome = backend.announce(clock::now(), address, announced, None, Millis::MAX);
        }
        let gateway = gateway_beside(snapshot(routes, gate, None), backend, address, 50.0);
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "1000")
            .with_header("jy-call", "1")
            .with_header("authorization", "Token key")
            .with_peer(SocketAddr::from((peer, 40_000)));
        let response = gateway.serve(request, clock::now()).await;
        expect_that!(response.status, eq(StatusCode::OK));
        marked.get()
    })
}

/// Builds a configuration with tenants and one public route.
fn public_routes() -> RouteTable {
    let mut routes = routes(false, true);
    routes.routes[0].public = true;
    let tenant = TenantRule {
        name: "t".into(),
        priority: None,
        quota: None,
    };
    routes.tenants = Some(TenantTable::new().with_tenant(tenant, &["key"]));
    routes
}

/// A call that fails wastes the run that made it, so its gate must know that it is one.
#[gtest]
fn serve_call_of_running_request_is_marked() {
    let backend = [10, 0, 0, 9];
    expect_that!(is_marked(backend, backend, public_routes(), true), eq(true));
    expect_that!(
        is_marked(backend, backend, public_routes(), false),
        eq(false),
        "nothing has shown that a backend server has the address"
    );
}

/// Guards against callers that get ahead of all others by a header, or since they share an address.
#[gtest]
fn serve_request_of_caller_is_not_marked() {
    let (caller, backend) = ([10, 0, 0, 8], [10, 0, 0, 9]);
    expect_that!(is_marked(caller, backend, public_routes(), true), eq(false));
    let loopback = [127, 0, 0, 1];
    expect_that!(
        is_marked(loopback, loopback, public_routes(), true),
        eq(false)
    );
    let mut keyed_routes = public_routes();
    keyed_routes.routes[0].public = false;
    expect_that!(is_marked(backend, backend, keyed_routes, true), eq(false));
    let mut plain_routes = public_routes();
    plain_routes.tenants = None;
    expect_that!(is_marked(backend, backend, plain_routes, true), eq(false));
}

/// Guards against callers that are refused and then rank behind all that came after their first attempt.
#[gtest]
fn serve_retry_objective_counts_from_first_attempt() {
    let left = |routes: RouteTable| {
        actix_rt::System::new().block_on(async {
            let jobs = Rc::new(RefCell::new(Vec::new()));
            let recorded = Rc::clone(&jobs);
            let gate = serve_gate(Rc::new(move |request: HttpRequest, received_at| {
                let job = decode_job(request, "r1".into(), received_at);
                let left = job.map(|job| {
                    (
                        job.objective.since(received_at),
                        job.deadline.since(received_at),
                    )
                });
                recorded.borrow_mut().push(left.unwrap_or_default());
                let report = GateReport {
                    outcome: answered(),
                    load: None,
                };
                Box::pin(async move { encode_report(report) })
            }))
            .await;
            let gateway = gateway(snapshot(routes, gate, None));
            for time_left_ms in [4_000; 20].into_iter().chain([3_000, 1_000]) {
                let request = HttpRequest::new(Method::GET, "/p/x")
                    .with_header("host", "h.example")
                    .with_header("x-request-id", "r1")
                    .with_header("x-deadline-ms", &time_left_ms.to_string());
                let gateway = Rc::clone(&gateway);
                let _response = gateway.serve(request, clock::now()).await;
            }
            jobs.borrow().clone()
        })
    };
    // The objective of the route is 2,000 ms. Some time passes between the gateway and the gate.
    let aged = left(public_routes());
    expect_that!(aged[19].0, all![gt(1_700), le(2_000)]);
    expect_that!(aged[20].0, all![gt(700), le(1_000)]);
    expect_that!(aged[20].1, all![gt(2_700), le(3_000)]);
    expect_that!(aged[21].0, eq(0), "the objective is over");
    expect_that!(aged[21].1, all![gt(700), le(1_000)]);
    let plain = left(routes(false, true));
    expect_that!(plain[20].0, gt(1_700), "served as before without tenants");
}

/// Guards against requests that run although there is no memory for their responses, and against agents that are taken
/// for unreachable because of that.
#[gtest]
fn serve_without_memory_is_refused_and_not_sent() {
    actix_rt::System::new().block_on(async {
        let request_count = Rc::new(Cell::new(0));
        let report = GateReport {
            outcome: answered(),
            load: None,
        };
        let gate = serve_other_gate(report, Rc::clone(&request_count)).await;
        let memory = Rc::new(MemoryBudget::new(1_000_000));
        let snapshot = snapshot(routes(false, true), gate, None);
        let gateway = gateway_with_memory(snapshot, Rc::clone(&memory));
        let mut responses = memory.share(MemoryKind::Response);
        responses.set_to(1_000_000);
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1");
        let refused = Rc::clone(&gateway)
            .serve(request.clone(), clock::now())
            .await;
        expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(
            header_text(&refused.headers, "retry-after"),
            some(eq("0.500"))
        );
        expect_that!(request_count.get(), eq(0));
        drop(responses);
        let answer = gateway.serve(request, clock::now()).await;
        expect_that!(answer.status, eq(StatusCode::OK));
        expect_that!(request_count.get(), eq(1));
        drop(answer);
        expect_that!(memory.used_bytes(), eq(0));
    });
}

/// Serves a request through two gates. The one that is asked first does not own the backend server any more, after
/// `disowned_ms` milliseconds, and the other one answers after `answer_ms`. Returns the status and the time it took.
fn serve_disowned(objective_ms: u64, disowned_ms: u64, answer_ms: u64) -> (StatusCode, u64) {
    actix_rt::System::new().block_on(async {
        let is_first = Rc::new(Cell::new(true));
        let handler: Handler = Rc::new(move |_, _| {
            let (delay_ms, outcome) = if is_first.replace(false) {
                let disowned = GateOutcome::NotRun {
                    cause: NotRunCause::Disowned,
                    retry_ms: 0,
                };
                (disowned_ms, disowned)
            } else {
                (answer_ms, answered())
            };
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                encode_report(GateReport {
                    outcome,
                    load: None,
                })
            })
        });
        let gates = [
            serve_gate(Rc::clone(&handler)).await,
            serve_gate(handler).await,
        ];
        let mut routes = routes(false, true);
        routes.routes[0].objective_ms = objective_ms;
        let snapshot = snapshot_with_second(snapshot(routes, gates[0], None), gates[1]);
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "3000");
        let received_at = clock::now();
        let response = gateway(snapshot).serve(request, received_at).await;
        (response.status, clock::now().since(received_at))
    })
}

/// Guards against a wait for another owner of a service without keys, which has none, and against a hedge that is not
/// polled during such a wait.
#[gtest]
fn serve_disowned_without_keys_asks_other_gate_at_once() {
    let retried = serve_disowned(2_000, 1, 1);
    expect_that!(retried, (eq(StatusCode::OK), lt(1_000)));
    let hedged = serve_disowned(200, 200, 300);
    expect_that!(hedged, (eq(StatusCode::OK), lt(1_000)));
}

/// Guards against a retry that states another origin than the first attempt: the service of the instance changed between
/// them, after the request had begun.
#[gtest]
fn serve_retried_keeps_origin_of_its_beginning() {
    actix_rt::System::new().block_on(async {
        let backend = LocalBackend::new("own".into(), Millis(0), 10_000, 1_000);
        let backend = Rc::new(backend.with_service(WallMillis(1), "front".into()));
        let stated: Rc<RefCell<Vec<Option<String>>>> = Rc::default();
        let (changed_backend, seen) = (Rc::clone(&backend), Rc::clone(&stated));
        let handler: Handler = Rc::new(move |request, _| {
            let origin = header_text(&request.headers, "jy-origin").map(str::to_owned);
            seen.borrow_mut().push(origin);
            changed_backend.set_service(WallMillis(2), "back".into());
            let report = GateReport::not_run(NotRunCause::Disowned, 0, None);
            Box::pin(async move { encode_report(report) })
        });
        let gates = [
            serve_gate(Rc::clone(&handler)).await,
            serve_gate(handler).await,
        ];
        let snapshot = snapshot(routes(false, true), gates[0], None);
        let snapshot = snapshot_with_second(snapshot, gates[1]);
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let gateway = gateway_beside(snapshot, Rc::clone(&backend), unused_address, 50.0);
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("x-deadline-ms", "1000");
        gateway.serve(request, clock::now()).await;
        let states_front = || some(eq("front"));
        expect_that!(stated.take(), elements_are![states_front(), states_front()]);
        expect_that!(&*backend.configured_service(), eq("back"));
    });
}

/// Guards against large failures that are kept while the next attempts wait for the memory that they take.
#[gtest]
fn serve_large_failures_are_not_kept_until_deadline() {
    const BODY_BYTES: usize = 3 * 1024 * 1024;
    actix_rt::System::new().block_on(async {
        let mut failure = HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "");
        failure.body = vec![1_u8; BODY_BYTES].into();
        let gate = serve_slow_gate(200, GateOutcome::Answered(failure)).await;
        let mut snapshot = snapshot(routes(false, true), gate, None);
        let mut second = snapshot.instances["other"].clone();
        let mut record = (*second.record).clone();
        record.node = "second".into();
        second.record = Rc::new(record);
        snapshot.instances.insert("second".into(), second);
        // Two failures fit, and no third response.
        let memory = Rc::new(MemoryBudget::new(2 * BODY_BYTES + BODY_BYTES / 2));
        let gateway = gateway_with_memory(snapshot, memory);
        let received_at = clock::now();
        let served = (0..2).map(|index| {
            let request = HttpRequest::new(Method::GET, "/p/x")
                .with_header("host", "h.example")
                .with_header("x-request-id", &format!("r{index}"))
                .with_header("x-deadline-ms", "3000");
            Rc::clone(&gateway).serve(request, received_at)
        });
        let responses = futures_util::future::join_all(served).await;
        for response in responses {
            expect_that!(response.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
            expect_that!(response.body.len(), eq(BODY_BYTES));
        }
        expect_that!(clock::now().since(received_at), lt(1_500));
    });
}

/// Guards against returning callers whose requests do not wait for a moving key, since their objective has passed.
#[gtest]
fn serve_returning_caller_waits_for_moving_key() {
    actix_rt::System::new().block_on(async {
        let report = GateReport {
            outcome: GateOutcome::NotRun {
                cause: NotRunCause::NotHolder,
                retry_ms: 0,
            },
            load: None,
        };
        let gate = serve_other_gate(report, Rc::default()).await;
        let mut routes = routes(true, true);
        routes.routes[0].public = true;
        routes.tenants = public_routes().tenants;
        let gateway = gateway(snapshot(routes, gate, None));
        let serve = |time_left_ms: u64| {
            let request = HttpRequest::new(Method::GET, "/p/x")
                .with_header("host", "h.example")
                .with_header("x-request-id", "r1")
                .with_header("x-deadline-ms", &time_left_ms.to_string())
                .with_header("x-shard-key", "77");
            Rc::clone(&gateway).serve(request, clock::now())
        };
        // First attempts, from which the gateway learns the callers' time limit. Their answers are not awaited.
        let first_attempts = (0..20).map(|_| serve(6_000));
        let learning = futures_util::future::join_all(first_attempts);
        expect_that!(
            timeout(Duration::from_millis(300), learning).await,
            err(anything())
        );
        let received_at = clock::now();
        let response = serve(1_900).await;
        expect_that!(response.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(clock::now().since(received_at), ge(400));
    });
}
