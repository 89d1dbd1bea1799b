//! A gateway, and the gates of other agents that it asks.

use actix_http::Method;
use actix_http::StatusCode;
use jy_edge::backend::LocalBackend;
use jy_edge::feed::SnapshotSender;
use jy_edge::forward::GateOutcome;
use jy_edge::forward::GateReport;
use jy_edge::forward::encode_report;
use jy_edge::gate::LocalGate;
use jy_edge::gateway::CallerGateway;
use jy_edge::gateway::GatewayParts;
use jy_edge::keys::KeyChecker;
use jy_edge::metrics::EdgeMetrics;
use jy_edge::quota::LocalQuota;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_edge::snapshot::VersionedRanges;
use jy_http::memory_budget::MemoryBudget;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::server::Handler;
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
use jy_types::tenant::TenantRule;
use jy_types::tenant::TenantTable;
use jy_types::time::Millis;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Limits of the listener that acts as another agent's gate.
pub const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    read_ms: 5_000,
    idle_ms: 5_000,
};

/// Rate of the instance's link, in bytes per millisecond.
pub const LINK_BYTES_PER_MS: f64 = 1_250.0;

/// The incarnation of the other agent's backend server.
pub fn incarnation() -> BackendIncarnation {
    BackendIncarnation {
        id: "i-1".into(),
        started_at: 1,
    }
}

/// Builds a configuration with one route to one service.
pub fn routes(is_keyed: bool, is_idempotent: bool) -> RouteTable {
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

/// Builds a configuration with tenants and one public route.
pub fn public_routes() -> RouteTable {
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

/// Builds a snapshot in which the other agent, with its gate at `gate`, owns all keys. Its record lapsed at
/// `lapsed`, if set.
///
/// # Panics
///
/// Panics if the range table can't be created.
pub fn snapshot(routes: RouteTable, gate: SocketAddr, lapsed: Option<Millis>) -> FleetSnapshot {
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
pub fn snapshot_with_second(mut snapshot: FleetSnapshot, gate: SocketAddr) -> FleetSnapshot {
    let mut second = snapshot.instances["other"].clone();
    let mut record = (*second.record).clone();
    record.node = "second".into();
    record.gate = gate;
    second.record = Rc::new(record);
    snapshot.instances.insert("second".into(), second);
    snapshot
}

/// Builds a gateway with the given snapshot and no backend server beside it.
pub fn gateway(snapshot: FleetSnapshot) -> Rc<CallerGateway> {
    gateway_with_slack(snapshot, 50.0)
}

/// Builds a gateway whose fleet may make `slack` extra sends beyond a share of the requests.
pub fn gateway_with_slack(snapshot: FleetSnapshot, slack: f64) -> Rc<CallerGateway> {
    let backend = LocalBackend::new("own".into(), Millis(0), 10_000, 1_000);
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    gateway_beside(snapshot, Rc::new(backend), unused_address, slack)
}

/// Builds a gateway whose responses take memory from a budget.
pub fn gateway_with_memory(snapshot: FleetSnapshot, memory: Rc<MemoryBudget>) -> Rc<CallerGateway> {
    let backend = LocalBackend::new("own".into(), Millis(0), 10_000, 1_000);
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    build_gateway(snapshot, Rc::new(backend), unused_address, 50.0, memory)
}

/// Builds a gateway with the given snapshot beside the backend server at `address`.
pub fn gateway_beside(
    snapshot: FleetSnapshot,
    backend: Rc<LocalBackend>,
    address: SocketAddr,
    slack: f64,
) -> Rc<CallerGateway> {
    let memory = Rc::new(MemoryBudget::new(usize::MAX));
    build_gateway(snapshot, backend, address, slack, memory)
}

/// Builds a gateway beside the backend server at `address`, whose responses take memory from a budget.
pub fn build_gateway(
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
pub async fn serve_other_gate(report: GateReport, request_count: Rc<Cell<u32>>) -> SocketAddr {
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
pub async fn serve_gate(handler: Handler) -> SocketAddr {
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
pub fn serve_request(
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
pub fn answered() -> GateOutcome {
    GateOutcome::Answered(HttpResponse::new(StatusCode::OK, "done"))
}
