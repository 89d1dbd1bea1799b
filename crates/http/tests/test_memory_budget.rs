//! Tests of the budget for memory, alone and over connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use jy_http::client::MAX_RESPONSE_BYTES;
use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_text;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const BUDGET_BYTES: usize = 1_000_000;
/// A body of which one fits beside another small one, but not two.
const LARGE_BYTES: usize = 400_000;
const HANDLING_MS: u64 = 300;
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: BUDGET_BYTES,
    read_ms: 500,
    idle_ms: 5_000,
};
const OPTIONS: SendOptions = SendOptions {
    connect_timeout_ms: 1_000,
    response_timeout_ms: 5_000,
    max_idle_ms: 1_000,
    max_bytes_per_ms: None,
};

/// Starts a listener that handles each request for [`HANDLING_MS`], and returns its address and its budget.
///
/// # Panics
///
/// Panics if no port can be bound.
async fn listener() -> (SocketAddr, Rc<MemoryBudget>) {
    let address = {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
        probe.local_addr().expect("failed to get the local address")
    };
    let budget = Rc::new(MemoryBudget::new(BUDGET_BYTES));
    let handle = |request: HttpRequest| async move {
        sleep(Duration::from_millis(HANDLING_MS)).await;
        HttpResponse::new(StatusCode::OK, &request.body.len().to_string())
    };
    let refuse =
        || HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "").with_header("retry-after", "1");
    let listener = HttpListener::new(
        Rc::new(move |request, _| Box::pin(handle(request))),
        Rc::new(|| LIMITS),
    )
    .with_memory(Rc::clone(&budget), Rc::new(refuse));
    listener
        .serve(address)
        .await
        .expect("failed to bind the port just released");
    (address, budget)
}

/// Sends a body and returns the response.
///
/// # Panics
///
/// Panics if there is no complete response.
async fn send(to: SocketAddr, length: usize) -> HttpResponse {
    let request = HttpRequest::new(Method::POST, "/p")
        .with_header("host", "h")
        .with_body(Bytes::from(vec![1_u8; length]));
    ConnectionPool::new()
        .send(to, &request, None, OPTIONS)
        .await
        .expect("the response is complete")
}

#[gtest]
fn reserve_large_bodies_leave_room_for_small_ones() {
    let budget = Rc::new(MemoryBudget::new(BUDGET_BYTES));
    let large = budget.reserve(MemoryKind::Body, LARGE_BYTES);
    expect_that!(large.is_some(), eq(true));
    expect_that!(
        budget.reserve(MemoryKind::Body, LARGE_BYTES).is_none(),
        eq(true)
    );
    let small = budget.reserve(MemoryKind::Body, 1_000);
    expect_that!(small.is_some(), eq(true));
    expect_that!(budget.used_bytes(), eq(LARGE_BYTES + 1_000));
    drop((large, small));
    expect_that!(budget.used_bytes(), eq(0));
}

#[gtest]
fn grow_to_past_limit_changes_nothing() {
    let budget = Rc::new(MemoryBudget::new(BUDGET_BYTES));
    let mut share = budget
        .reserve(MemoryKind::Body, 1_000)
        .expect("the budget is unused");
    expect_that!(share.grow_to(BUDGET_BYTES), eq(false));
    expect_that!(share.grow_to(usize::MAX), eq(false));
    expect_that!(share.grow_to(LARGE_BYTES), eq(true));
    expect_that!(budget.used_bytes(), eq(LARGE_BYTES));
}

/// Load pattern: four callers send large bodies at once. Guards against a process that is ended for its memory, and
/// takes all other requests with it: what does not fit is refused as not run, and small bodies still fit.
#[gtest]
fn serve_large_bodies_at_once_are_bounded() {
    actix_rt::System::new().block_on(async {
        let (address, budget) = listener().await;
        let large = join_all((0..4).map(|_| send(address, LARGE_BYTES)));
        let small = async {
            sleep(Duration::from_millis(HANDLING_MS / 3)).await;
            let used_bytes = budget.used_bytes_of(MemoryKind::Body);
            (used_bytes, send(address, 1_000).await)
        };
        let (large, (used_bytes, small)) = futures_util::future::join(large, small).await;
        let count = |status| {
            let responses = large.iter();
            responses
                .filter(|response| response.status == status)
                .count()
        };
        expect_that!(count(StatusCode::OK), eq(1));
        expect_that!(count(StatusCode::SERVICE_UNAVAILABLE), eq(3));
        let mut refused = large
            .iter()
            .filter(|response| !response.status.is_success());
        let has_retry =
            |response: &HttpResponse| header_text(&response.headers, "retry-after") == Some("1");
        expect_that!(refused.all(has_retry), eq(true));
        expect_that!(used_bytes, eq(LARGE_BYTES));
        expect_that!(small.status, eq(StatusCode::OK));
        expect_that!(budget.used_bytes(), eq(0), "all requests have ended");
        expect_that!(send(address, LARGE_BYTES).await.status, eq(StatusCode::OK));
    });
}

/// Guards against slow senders that each hold a part of the memory without an end.
#[gtest]
fn serve_slow_sender_holds_memory_until_time_limit() {
    actix_rt::System::new().block_on(async {
        let (address, budget) = listener().await;
        let mut sender = TcpStream::connect(address)
            .await
            .expect("failed to connect to the listener");
        let head = format!("POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
        sender
            .write_all(head.as_bytes())
            .await
            .expect("failed to write the head");
        sleep(Duration::from_millis(LIMITS.read_ms / 2)).await;
        expect_that!(budget.used_bytes_of(MemoryKind::Body), eq(LARGE_BYTES));
        let refused = send(address, LARGE_BYTES).await;
        expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        sleep(Duration::from_millis(LIMITS.read_ms)).await;
        expect_that!(budget.used_bytes(), eq(0));
    });
}

/// Guards against bodies of unknown size that pass the budget.
#[gtest]
fn serve_chunked_body_counts_as_it_grows() {
    actix_rt::System::new().block_on(async {
        let (address, budget) = listener().await;
        let mut sender = TcpStream::connect(address)
            .await
            .expect("failed to connect to the listener");
        let head = "POST /p HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        sender
            .write_all(head.as_bytes())
            .await
            .expect("failed to write the head");
        let chunk = format!("{:x}\r\n{}\r\n", 200_000, "c".repeat(200_000));
        sender
            .write_all(chunk.as_bytes())
            .await
            .expect("failed to write a chunk");
        sleep(Duration::from_millis(LIMITS.read_ms / 5)).await;
        let used_bytes = budget.used_bytes_of(MemoryKind::Body);
        expect_that!(used_bytes, all![ge(200_000), le(400_000)]);
        drop(sender);
        sleep(Duration::from_millis(LIMITS.read_ms / 5)).await;
        expect_that!(budget.used_bytes(), eq(0));
    });
}

/// Guards against a deadlock: requests never take the part that the largest response needs, not even with the
/// smallest memory that the settings allow.
#[gtest]
fn reserve_requests_leave_room_for_largest_response() {
    let budget = Rc::new(MemoryBudget::for_process(64.0));
    let mut requests = Vec::new();
    while let Some(share) = budget.reserve(MemoryKind::Body, 10_000) {
        requests.push(share);
    }
    expect_that!(budget.has_room(), eq(true));
    let response = budget.reserve(MemoryKind::Response, MAX_RESPONSE_BYTES);
    expect_that!(response.is_some(), eq(true));
    expect_that!(budget.has_room(), eq(false));
}

/// Guards against small responses that pass a large one for ever.
#[gtest]
fn wait_for_is_served_in_order() {
    actix_rt::System::new().block_on(async {
        let budget = Rc::new(MemoryBudget::new(BUDGET_BYTES));
        let held = budget.reserve(MemoryKind::Response, BUDGET_BYTES / 2);
        let ended = Rc::new(RefCell::new(Vec::new()));
        for bytes in [BUDGET_BYTES, 1_000] {
            let mut share = budget.share(MemoryKind::Response);
            let ended = Rc::clone(&ended);
            actix_rt::spawn(async move {
                share.wait_for(bytes).await;
                ended.borrow_mut().push(bytes);
            });
        }
        sleep(Duration::from_millis(20)).await;
        expect_that!(budget.waiting(), eq(2));
        drop(held);
        sleep(Duration::from_millis(20)).await;
        expect_that!(*ended.borrow(), eq(&vec![BUDGET_BYTES, 1_000]));
        expect_that!(budget.used_bytes(), eq(0));
    });
}
