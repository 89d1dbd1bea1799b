//! Tests of the gateway: which agent it asks, and what it answers the caller.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use googletest::prelude::*;
use jy_edge::backend::LocalBackend;
use jy_edge::forward::GateOutcome;
use jy_edge::forward::GateReport;
use jy_edge::forward::NotRunCause;
use jy_edge::forward::decode_job;
use jy_edge::forward::encode_report;
use jy_edge::forward::is_forwarded;
use jy_edge::forward::remove_peer_headers;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::transfer::TRANSFER_PATH;
use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_text;
use jy_http::server::Handler;
use jy_kernel::clock;
use jy_types::routing::RouteTable;
use jy_types::time::Millis;
use jy_types::time::WallMillis;
use tokio::time::timeout;

mod calls;
mod fixture;

use crate::fixture::answered;
use crate::fixture::gateway;
use crate::fixture::gateway_beside;
use crate::fixture::gateway_with_memory;
use crate::fixture::gateway_with_slack;
use crate::fixture::public_routes;
use crate::fixture::routes;
use crate::fixture::serve_gate;
use crate::fixture::serve_other_gate;
use crate::fixture::serve_request;
use crate::fixture::snapshot;
use crate::fixture::snapshot_with_second;

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
