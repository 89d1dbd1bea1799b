//! Tests of requests with API keys, from a gateway over another agent's gate to a backend server.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use googletest::prelude::*;
use jy_edge::backend::LocalBackend;
use jy_edge::backend::SharedBackend;
use jy_edge::feed::SnapshotSender;
use jy_edge::forward::GateOutcome;
use jy_edge::forward::GateReport;
use jy_edge::forward::NotRunCause;
use jy_edge::forward::decode_job;
use jy_edge::forward::encode_report;
use jy_edge::gate::LocalGate;
use jy_edge::gateway::CallerGateway;
use jy_edge::gateway::GatewayParts;
use jy_edge::keys::KeyChecker;
use jy_edge::metrics::EdgeMetrics;
use jy_edge::quota::LocalQuota;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_name_text;
use jy_http::message::header_text;
use jy_http::server::Handler;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use jy_platform::announce;
use jy_platform::operator;
use jy_platform::operator::OperatorRecord;
use jy_policy::budget::BudgetLimits;
use jy_types::endpoint::InstanceRecord;
use jy_types::record::Record;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;

const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    read_ms: 5_000,
    idle_ms: 5_000,
};
const LINK_BYTES_PER_MS: f64 = 1_250.0;
const REVOKE_MS: u64 = 5_000;
const SEED: u64 = 20_261_206;
const REQUESTS: usize = 1_500;
/// Part of each API key in these tests, which no output may contain.
const KEY_PART: &str = "zq5secret";

/// The tenants of the configuration, and the same without their keys.
const TENANTS: &str =
    r#"[["gold",["zq5secret-gold"],0],["bürö",["zq5secret-b"],9],["plain",["zq5secret-p"],null]]"#;
const TENANTS_WITHOUT_KEYS: &str = r#"[["gold",null,0]]"#;

/// Collects all log lines of the process.
struct LineCollector {
    lines: Mutex<Vec<String>>,
}

static LINES: LineCollector = LineCollector {
    lines: Mutex::new(Vec::new()),
};

impl log::Log for LineCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if let Ok(mut lines) = self.lines.lock() {
            lines.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// A gateway and another agent's gate with a backend server.
struct Rig {
    gateway: Rc<CallerGateway>,
    snapshot: Rc<SnapshotSender>,
    /// The other agent's gate.
    gate: Rc<LocalGate>,
    metrics: Rc<EdgeMetrics>,
    /// The proof of the gateway's configuration.
    proved_until: Rc<Cell<Millis>>,
    /// Requests that reached the gate's listener.
    forwarded: Rc<RefCell<Vec<HttpRequest>>>,
    /// Requests that reached the backend server.
    dispatched: Rc<RefCell<Vec<HttpRequest>>>,
}

/// Decodes a configuration with two routes, one of them public, and with the given table of tenants.
///
/// # Panics
///
/// Panics if the configuration is not valid.
fn snapshot_with(tenants: Option<&str>, gate: SocketAddr) -> FleetSnapshot {
    let tenants = tenants.map_or("null".into(), |rows| {
        format!(r#"{{"columns":["name","api_keys","priority"],"rows":{rows}}}"#)
    });
    let text = format!(
        r#"{{"version":"r4","routes":{{"columns":["name","host","prefix","kind","timeout_ms","target_latency_ms",
        "priority","max_attempts","service","public"],"rows":[
        ["closed","h.example","/p/","safe",5000,2000,1,2,"s",null],
        ["open","h.example","/open/","safe",5000,2000,1,2,"s",true]]}},
        "services":{{"columns":["name"],"rows":[["s"]]}},"tenants":{tenants},
        "limits":{{"max_header_bytes":9000,"max_body_bytes":9000,"header_timeout_ms":900,"idle_timeout_ms":900}}}}"#
    );
    let record = Record {
        key: "op/config".into(),
        revision: 4,
        value: Some(text.into()),
    };
    let Ok(OperatorRecord::Config(routes)) = operator::decode(&record) else {
        panic!("the configuration is not decoded");
    };
    let body = announcement(gate);
    let announced = announce::decode("i-1".into(), body.as_bytes()).expect("an announcement");
    let backend = LocalBackend::new("other".into(), clock::now(), 10_000, 1_000);
    backend.announce(clock::now(), gate, announced, None, Millis::MAX);
    let record = InstanceRecord {
        node: "other".into(),
        run: "run".into(),
        gate,
        zone: "z".into(),
        leaving: false,
        backend: backend.listed(),
    };
    let observed = ObservedInstance {
        record: Rc::new(record),
        revision: 1,
        lapsed: None,
        lapse_revision: 0,
    };
    FleetSnapshot {
        routes: Some(Rc::new(*routes)),
        instances: BTreeMap::from([("other".into(), observed)]),
        ..FleetSnapshot::default()
    }
}

/// Returns an announcement of a backend server with one slot.
fn announcement(address: SocketAddr) -> String {
    let body = serde_json::json!({
        "address": address.to_string(),
        "born": 1,
        "info": { "service": "s", "version": "v1", "zone": "z", "slots": 1 },
        "status": { "state": "ready", "sequence": 7, "cold_remaining_ms": 0 },
        "holds": [],
        "freed": [],
    });
    body.to_string()
}

/// Serves each request with `handler` on a free port.
///
/// # Panics
///
/// Panics if no port is free.
async fn serve(handler: Handler) -> SocketAddr {
    let reserved = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = reserved.local_addr().expect("bound socket has an address");
    drop(reserved);
    let listener = HttpListener::new(handler, Rc::new(|| LIMITS));
    listener.serve(address).await.expect("the port is free");
    address
}

/// Starts a gate whose backend server answers after `work_ms`, and a gateway that knows only this agent. The gate
/// answers instead with `report` as often as that returns one.
///
/// # Panics
///
/// Panics if no port is free, or if the announcement is not valid.
async fn rig(
    tenants: Option<&str>,
    work_ms: u64,
    report: impl Fn() -> Option<GateReport> + 'static,
) -> Rig {
    let (forwarded, dispatched): (Rc<RefCell<Vec<_>>>, Rc<RefCell<Vec<_>>>) = Default::default();
    let seen = Rc::clone(&dispatched);
    let server = serve(Rc::new(move |request: HttpRequest, _| {
        let id = header_text(&request.headers, "x-request-id").unwrap_or_default();
        let response = HttpResponse::new(StatusCode::OK, "ran")
            .with_header("x-request-id", id)
            .with_header("x-response-seal", "i-1");
        seen.borrow_mut().push(request);
        Box::pin(async move {
            sleep(Duration::from_millis(work_ms)).await;
            response
        })
    }))
    .await;
    let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::default()));
    let backend: SharedBackend = Rc::new(LocalBackend::new(
        "other".into(),
        clock::now(),
        10_000,
        1_000,
    ));
    let announced = announce::decode("i-1".into(), announcement(server).as_bytes());
    let announced = announced.expect("an announcement");
    backend.announce(clock::now(), server, announced, None, Millis::MAX);
    let gate = new_gate(server, backend, &snapshot);
    let (seen, serving_gate) = (Rc::clone(&forwarded), Rc::clone(&gate));
    let gate_address = serve(Rc::new(move |request: HttpRequest, received_at| {
        seen.borrow_mut().push(request.clone());
        let (gate, report) = (Rc::clone(&serving_gate), report());
        Box::pin(async move {
            let job = decode_job(request, "r1".into(), received_at).expect("a forwarded request");
            encode_report(match report {
                Some(report) => report,
                None => gate.serve(job).await,
            })
        })
    }))
    .await;
    snapshot.send_replace(Rc::new(snapshot_with(tenants, gate_address)));
    let proved_until = Rc::new(Cell::new(clock::now()));
    let metrics = Rc::new(EdgeMetrics::new());
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let own_backend = Rc::new(LocalBackend::new("own".into(), Millis(0), 10_000, 1_000));
    let gateway = Rc::new(CallerGateway::new(GatewayParts {
        node: "own".into(),
        zone: "z".into(),
        reload_settings: Rc::new(|| ()),
        gate: new_gate(unused_address, own_backend, &snapshot),
        snapshot: Rc::clone(&snapshot),
        link_bytes_per_ms: LINK_BYTES_PER_MS,
        budget: BudgetLimits {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
        },
        quota: Rc::new(LocalQuota::new("own".into(), None)),
        keys: KeyChecker::new(Rc::clone(&proved_until), Some(REVOKE_MS)),
        metrics: Rc::clone(&metrics),
        refresh_requested: Rc::new(Notify::new()),
    }));
    Rig {
        gateway,
        snapshot,
        gate,
        metrics,
        proved_until,
        forwarded,
        dispatched,
    }
}

/// Creates a gate.
fn new_gate(
    address: SocketAddr,
    backend: SharedBackend,
    snapshot: &Rc<SnapshotSender>,
) -> Rc<LocalGate> {
    let (snapshot, metrics) = (Rc::clone(snapshot), Rc::new(EdgeMetrics::new()));
    let zone = "z".into();
    Rc::new(LocalGate::new(
        zone,
        address,
        backend,
        snapshot,
        metrics,
        LINK_BYTES_PER_MS,
    ))
}

/// Builds a caller's request with the given headers.
///
/// # Panics
///
/// Panics if a value is not valid.
fn request(path: &str, fields: &[(&'static str, &str)]) -> HttpRequest {
    let mut request = HttpRequest::new(Method::GET, path)
        .with_header("host", "h.example")
        .with_header("x-request-id", "r1")
        .with_header("x-deadline-ms", "3000");
    for (name, value) in fields {
        let value = HeaderValue::from_str(value).expect("a header value");
        request.headers.append(HeaderName::from_static(name), value);
    }
    request
}

impl Rig {
    /// Serves a request and returns the status.
    async fn status(&self, path: &str, fields: &[(&'static str, &str)]) -> u16 {
        let request = request(path, fields);
        let response = Rc::clone(&self.gateway).serve(request, clock::now()).await;
        response.status.as_u16()
    }

    /// Returns `X-Tenant` of each request that reached the backend server.
    fn tenants(&self) -> Vec<Option<String>> {
        let tenant_of = |request: &HttpRequest| {
            header_name_text(&request.headers, "x-tenant").map(ToOwned::to_owned)
        };
        self.dispatched.borrow().iter().map(tenant_of).collect()
    }
}

#[gtest]
fn serve_key_decides_status_and_tenant() {
    actix_rt::System::new().block_on(async {
        let rig = rig(Some(TENANTS), 0, || None).await;
        let gold = ("authorization", "Token zq5secret-gold");
        expect_that!(rig.status("/p/x", &[gold]).await, eq(200));
        let smuggled = ("x-tenant", "other");
        let own_key = ("authorization", "Token zq5secret-b");
        expect_that!(
            rig.status("/p/x", &[smuggled, own_key, smuggled]).await,
            eq(200)
        );
        expect_that!(rig.status("/open/x", &[gold, smuggled]).await, eq(200));
        expect_that!(rig.status("/open/x", &[gold, gold]).await, eq(200));
        let tenants = [Some("gold".into()), Some("bürö".into()), None, None];
        expect_that!(rig.tenants(), eq(&tenants));
        let rejected: [&[(&'static str, &str)]; 6] = [
            &[],
            &[smuggled],
            &[("authorization", "Bearer zq5secret-gold")],
            &[("authorization", "Token zq5secret")],
            &[gold, gold],
            &[gold, ("authorization", "Basic eA==")],
        ];
        for fields in rejected {
            expect_that!(rig.status("/p/x", fields).await, eq(401), "{fields:?}");
        }
        expect_that!(
            rig.status("/none", &[]).await,
            eq(404),
            "no route comes first"
        );
        expect_that!(rig.dispatched.borrow().len(), eq(4));
    });
}

/// Guards against requests that reach the backend server under another tenant's name or without any.
#[gtest]
fn serve_tenant_with_unsendable_name_is_refused() {
    actix_rt::System::new().block_on(async {
        let tenants = r#"[["gold ",["zq5secret-1"],0],["go\nld",["zq5secret-2"],0],["gold",["zq5secret-3"],0]]"#;
        let rig = rig(Some(tenants), 0, || None).await;
        for (api_key, status) in [("1", 503), ("2", 503), ("3", 200)] {
            let value = format!("Token zq5secret-{api_key}");
            let fields = [("authorization", value.as_str())];
            expect_that!(rig.status("/p/x", &fields).await, eq(status), "{api_key}");
        }
        expect_that!(rig.tenants(), eq(&[Some("gold".into())]));
    });
}

/// Guards against deployments without tenants that lose headers.
#[gtest]
fn serve_without_tenants_passes_headers() {
    actix_rt::System::new().block_on(async {
        let rig = rig(None, 0, || None).await;
        rig.proved_until.set(Millis(0));
        let fields = [("authorization", "Bearer b"), ("x-tenant", "t")];
        expect_that!(rig.status("/p/x", &fields).await, eq(200));
        let dispatched = rig.dispatched.borrow();
        let text = |name| header_text(&dispatched[0].headers, name);
        expect_that!(text("authorization"), some(eq("Bearer b")));
        expect_that!(text("x-tenant"), some(eq("t")));
    });
}

/// Guards against callers that choose their tenant or the time for which their key is valid.
#[gtest]
fn serve_smuggled_peer_headers_are_removed() {
    actix_rt::System::new().block_on(async {
        let rig = rig(Some(TENANTS), 0, || None).await;
        let fields = [("jy-tenant", "gold"), ("jy-key-left-ms", "0")];
        expect_that!(rig.status("/open/x", &fields).await, eq(200));
        expect_that!(rig.tenants(), eq(&[None]));
        let mut keyed = fields.to_vec();
        keyed.push(("authorization", "Token zq5secret-p"));
        keyed.push(("connection", "jy-tenant, x-tenant"));
        expect_that!(rig.status("/p/x", &keyed).await, eq(200));
        expect_that!(rig.tenants()[1].as_deref(), some(eq("plain")));
        for request in rig.dispatched.borrow().iter() {
            expect_that!(request.headers.contains_key("jy-tenant"), eq(false));
            expect_that!(request.headers.contains_key("jy-key-left-ms"), eq(false));
        }
        let job = decode_job(rig.forwarded.borrow()[1].clone(), "r1".into(), Millis(0));
        let job = job.expect("a forwarded request");
        expect_that!(job.tenant.as_deref(), some(eq("plain")));
        expect_that!(job.key_valid_until, gt(Millis(REVOKE_MS - 1_500)));
        expect_that!(job.key_valid_until, le(Millis(REVOKE_MS - 500)));
        let job = decode_job(rig.forwarded.borrow()[0].clone(), "r1".into(), Millis(0));
        let valid_until = job.expect("a forwarded request").key_valid_until;
        expect_that!(valid_until, eq(Millis::MAX), "public routes have no limit");
    });
}

/// An outage of the store, and an agent that is frozen after it read the request: both leave an old proof.
#[gtest]
fn serve_old_proof_is_refused_as_not_run() {
    actix_rt::System::new().block_on(async {
        let rig = rig(Some(TENANTS), 0, || None).await;
        let gold = [("authorization", "Token zq5secret-gold")];
        let unknown = [("authorization", "Token zq5secret-new")];
        rig.proved_until.set(clock::now().minus(4_000));
        expect_that!(rig.status("/p/x", &gold).await, eq(200), "a short outage");
        expect_that!(rig.status("/p/x", &unknown).await, eq(503), "it may be new");
        expect_that!(rig.status("/p/x", &[]).await, eq(401));
        let received_at = clock::now().minus(400);
        rig.proved_until.set(clock::now().minus(4_600));
        let response = Rc::clone(&rig.gateway).serve(request("/p/x", &gold), received_at);
        let response = response.await;
        expect_that!(
            response.status,
            eq(StatusCode::SERVICE_UNAVAILABLE),
            "valid when received only"
        );
        expect_that!(response.headers.contains_key("retry-after"), eq(true));
        expect_that!(rig.status("/open/x", &gold).await, eq(200), "needs no key");
        rig.proved_until.set(clock::now());
        expect_that!(rig.status("/p/x", &unknown).await, eq(401));
        expect_that!(rig.dispatched.borrow().len(), eq(2));
    });
}

/// Guards against a request that waits at another gate past the time for which its key is valid and runs then. The
/// refusal comes at that time, so that the caller can retry.
#[gtest]
fn serve_queue_wait_past_key_is_not_run() {
    actix_rt::System::new().block_on(async {
        let rig = rig(Some(TENANTS), 1_200, || None).await;
        let gold = [("authorization", "Token zq5secret-gold")];
        let first = rig.status("/p/x", &gold);
        let second = async {
            sleep(Duration::from_millis(50)).await;
            rig.proved_until
                .set(clock::now().minus(REVOKE_MS - 500 - 200));
            let started_at = clock::now();
            let status = rig.status("/p/x", &gold).await;
            (status, clock::now().since(started_at))
        };
        let (first, (second, elapsed_ms)) = tokio::join!(first, second);
        expect_that!(first, eq(200));
        expect_that!(second, eq(503));
        expect_that!(elapsed_ms, ge(200));
        expect_that!(elapsed_ms, lt(1_000));
        expect_that!(rig.dispatched.borrow().len(), eq(1));
    });
}

/// Guards against a gate that relies on the gateway alone: the gateway was frozen after its check, or its configuration
/// has no tenants yet.
#[gtest]
fn serve_at_gate_checks_key_and_removes_credentials() {
    actix_rt::System::new().block_on(async {
        let rig = rig(Some(TENANTS), 0, || None).await;
        let gold = [("authorization", "Token zq5secret-gold")];
        expect_that!(rig.status("/p/x", &gold).await, eq(200));
        let request = rig.forwarded.borrow()[0].clone();
        let job = decode_job(request, "r1".into(), clock::now());
        let mut job = job.expect("a forwarded request");
        job.key_valid_until = clock::now();
        let report = rig.gate.serve(job.clone()).await;
        let is_refused = matches!(
            report.outcome,
            GateOutcome::NotRun {
                cause: NotRunCause::KeyExpired,
                ..
            }
        );
        expect_that!(is_refused, eq(true), "{:?}", report.outcome);
        expect_that!(rig.dispatched.borrow().len(), eq(1));
        job.key_valid_until = Millis::MAX;
        job.tenant = None;
        for (name, value) in [gold[0], ("x-tenant", "gold")] {
            job.request = job.request.with_header(name, value);
        }
        let report = rig.gate.serve(job).await;
        let is_answered = matches!(report.outcome, GateOutcome::Answered(_));
        expect_that!(is_answered, eq(true), "{:?}", report.outcome);
        expect_that!(rig.tenants()[1], none());
        let headers = rig.dispatched.borrow()[1].headers.clone();
        expect_that!(headers.contains_key("authorization"), eq(false));
    });
}

/// Serves one request whose first attempt ends with an expired key. `change` is called before that attempt ends.
/// Returns the status and the number of attempts.
///
/// # Panics
///
/// Panics if the attempt ends before the rig is complete.
fn serve_expired_key(change: impl Fn(&Rig) + 'static) -> (u16, usize) {
    actix_rt::System::new().block_on(async {
        let reported: Rc<RefCell<Option<Rc<Rig>>>> = Rc::default();
        let target = Rc::clone(&reported);
        let is_first = Cell::new(true);
        let rig = rig(Some(TENANTS), 0, move || {
            let report = GateReport::not_run(NotRunCause::KeyExpired, 0, None);
            is_first.replace(false).then(|| {
                change(target.borrow().as_ref().expect("the rig is set"));
                report
            })
        })
        .await;
        let rig = Rc::new(rig);
        reported.replace(Some(Rc::clone(&rig)));
        rig.proved_until.set(clock::now().minus(1_000));
        let fields = [("authorization", "Token zq5secret-gold")];
        let status = rig.status("/p/x", &fields).await;
        let attempts = rig.forwarded.borrow().len();
        (status, attempts)
    })
}

#[gtest]
fn serve_expired_key_is_retried_with_newer_proof_only() {
    expect_that!(serve_expired_key(|_| {}), eq((503, 1)));
    let is_proved = |rig: &Rig| rig.proved_until.set(clock::now());
    expect_that!(serve_expired_key(is_proved), eq((200, 2)));
    let is_withdrawn = |rig: &Rig| {
        rig.proved_until.set(clock::now());
        let mut next = (**rig.snapshot.borrow()).clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        next.routes = snapshot_with(Some(TENANTS_WITHOUT_KEYS), address).routes;
        rig.snapshot.send_replace(Rc::new(next));
    };
    expect_that!(serve_expired_key(is_withdrawn), eq((503, 1)));
}

/// Serves requests with the given keys, one 80 ms after the other, at a backend server that runs one request at a time.
/// Returns their tenants in the order in which they ran.
fn serve_in_turn(keys: [&'static str; 3]) -> Vec<Option<String>> {
    actix_rt::System::new().block_on(async {
        let rig = rig(Some(TENANTS), 400, || None).await;
        let send = |index: usize| {
            let (rig, value) = (&rig, keys[index]);
            async move {
                sleep(Duration::from_millis(80 * index as u64)).await;
                rig.status("/p/x", &[("authorization", value)]).await
            }
        };
        let statuses = tokio::join!(send(0), send(1), send(2));
        expect_that!(statuses, eq((200, 200, 200)));
        rig.tenants()
    })
}

/// The route has priority 1. Guards against a tenant's priority that is ignored, and against a tenant without one that
/// loses the route's.
#[gtest]
fn serve_tenant_priority_orders_queue() {
    let (gold, last, plain) = (
        "Token zq5secret-gold",
        "Token zq5secret-b",
        "Token zq5secret-p",
    );
    let names = |names: [&str; 3]| names.map(|name| Some(name.to_owned()));
    let order = serve_in_turn([gold, last, plain]);
    expect_that!(order, eq(&names(["gold", "plain", "bürö"])));
    let order = serve_in_turn([last, plain, gold]);
    expect_that!(order, eq(&names(["bürö", "gold", "plain"])));
}

/// Formats all that a request shows to its receiver.
fn wire_text(request: &HttpRequest) -> String {
    let mut text = request.target.to_string();
    for (name, value) in &request.headers {
        text += &format!("\n{name}: {}", String::from_utf8_lossy(value.as_bytes()));
    }
    text
}

/// Guards against a key in a forwarded or dispatched request, a response, a log line or a debug output, over random
/// headers, routes and ages of the proof.
#[gtest]
fn serve_random_requests_show_no_key() {
    log::set_logger(&LINES).expect("the test binary sets no other logger");
    log::set_max_level(log::LevelFilter::Trace);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let values = [
        "Token zq5secret-gold",
        "token zq5secret-b",
        "Token  zq5secret-p",
        "Token zq5secret-unknown",
        "Bearer zq5secret-gold",
        "zq5secret-gold",
        "Token\tzq5secret-gold",
        "Tokenzq5secret-gold",
        "Basic zq5secret-gold, Token zq5secret-gold",
    ];
    let names = ["x-tenant", "jy-tenant", "connection", "jy-key-left-ms"];
    let paths = ["/p/x", "/open/x", "/none"];
    actix_rt::System::new().block_on(async {
        let rig = rig(Some(TENANTS), 0, || None).await;
        let mut statuses = BTreeMap::new();
        for _ in 0..REQUESTS {
            let mut fields = Vec::new();
            for _ in 0..rng.random_range(0..3) {
                let value = values[rng.random_range(0..values.len())];
                fields.push(("authorization", value));
            }
            for name in names {
                if rng.random_bool(0.3) {
                    fields.push((name, ["authorization", "gold", "7"][rng.random_range(0..3)]));
                }
            }
            let age_ms = [0, 400, 3_000, 9_000][rng.random_range(0..4)];
            rig.proved_until.set(clock::now().minus(age_ms));
            let request = request(paths[rng.random_range(0..paths.len())], &fields);
            let debug = format!("{request:?}");
            let response = Rc::clone(&rig.gateway).serve(request, clock::now()).await;
            *statuses.entry(response.status.as_u16()).or_insert(0) += 1;
            let answer = format!("{response:?} {:?} {:?}", response.headers, response.body);
            expect_that!(debug + &answer, not(contains_substring(KEY_PART)));
        }
        for status in [200, 401, 404, 503] {
            expect_that!(statuses.get(&status).copied(), some(gt(10)), "{status}");
        }
        let forwarded = rig.forwarded.borrow();
        for request in forwarded.iter().chain(rig.dispatched.borrow().iter()) {
            let text = wire_text(request);
            expect_that!(text, not(contains_substring(KEY_PART)));
            expect_that!(text, not(contains_substring("\nauthorization:")));
        }
        let snapshot = format!("{:?}", rig.snapshot.borrow());
        expect_that!(snapshot, not(contains_substring(KEY_PART)));
        let metrics = rig.metrics.to_text().expect("metrics can be encoded");
        expect_that!(metrics, contains_substring("unknown-api-key"));
        expect_that!(metrics, not(contains_substring(KEY_PART)));
    });
    let lines = LINES.lines.lock().expect("no test panics with the lock");
    let refusals = lines.iter().filter(|line| line.contains("proof_age_ms="));
    expect_that!(refusals.count(), gt(5));
    for line in lines.iter() {
        expect_that!(line, not(contains_substring(KEY_PART)));
    }
}
