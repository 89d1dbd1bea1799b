//! Tests which requests the gateway marks as calls of a request that runs at the backend server beside it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Method;
use actix_http::StatusCode;
use googletest::prelude::*;
use jy_edge::backend::LocalBackend;
use jy_edge::forward::GateReport;
use jy_edge::forward::decode_job;
use jy_edge::forward::encode_report;
use jy_http::message::HttpRequest;
use jy_kernel::clock;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendPhase;
use jy_types::routing::RouteTable;
use jy_types::time::Millis;

use crate::fixture::answered;
use crate::fixture::gateway_beside;
use crate::fixture::incarnation;
use crate::fixture::public_routes;
use crate::fixture::serve_gate;
use crate::fixture::snapshot;

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
