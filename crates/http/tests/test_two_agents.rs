//! Tests that two agents that read large responses from each other do not wait for each other's memory.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use futures_util::future::join_all;
use googletest::prelude::*;
use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_http::server::Handler;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use tokio::time::sleep;

const BODY_BYTES: usize = 3 * 1024 * 1024;
/// Six bodies fit, and no seventh.
const BUDGET_BYTES: usize = 6 * BODY_BYTES + BODY_BYTES / 2;
/// Number of requests that each agent sends to the other at once.
const REQUESTS: usize = 6;
const TIMEOUT_MS: u64 = 3_000;

/// Serves responses that were read from the agent's own backend server.
///
/// # Panics
///
/// Panics if it can't listen.
async fn serve_agent(memory: &Rc<MemoryBudget>) -> SocketAddr {
    let reserved = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = reserved.local_addr().expect("it has an address");
    drop(reserved);
    let own_memory = Rc::clone(memory);
    let handler: Handler = Rc::new(move |_, _| {
        let own_memory = Rc::clone(&own_memory);
        Box::pin(async move {
            // All requests arrive before the first response takes memory, and all responses that fit take it before
            // the first one is written.
            sleep(Duration::from_millis(100)).await;
            let mut share = own_memory.share(MemoryKind::BackendResponse);
            share.wait_for(BODY_BYTES).await;
            sleep(Duration::from_millis(100)).await;
            let mut response = HttpResponse::new(StatusCode::OK, "");
            response.body = vec![1_u8; BODY_BYTES].into();
            response.memory = Some(share);
            response
        })
    });
    let limits = Rc::new(|| ReadLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        read_ms: 3_000,
        idle_ms: 15_000,
    });
    let refuse = Rc::new(|| HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, ""));
    let listener = HttpListener::new(handler, limits).with_memory(Rc::clone(memory), refuse);
    listener.serve(address).await.expect("the port is free");
    address
}

/// Guards against two agents whose budgets each hold responses for the other, and wait for each other until the
/// deadline.
#[gtest]
fn send_both_ways_with_full_budgets_completes() {
    actix_rt::System::new().block_on(async {
        let memories = [0, 1].map(|_| Rc::new(MemoryBudget::new(BUDGET_BYTES)));
        let addresses = [
            serve_agent(&memories[0]).await,
            serve_agent(&memories[1]).await,
        ];
        let started_at = clock::now();
        let sent = (0..2 * REQUESTS).map(|index| {
            let side = index % 2;
            let pool = ConnectionPool::new().with_memory(Rc::clone(&memories[side]));
            let to = addresses[1 - side];
            async move {
                let options = SendOptions {
                    connect_timeout_ms: 200,
                    response_timeout_ms: TIMEOUT_MS,
                    max_idle_ms: 0,
                    max_bytes_per_ms: None,
                };
                let request = HttpRequest::new(Method::GET, "/").with_header("host", "h");
                let result = pool.send(to, &request, None, options).await;
                result.is_ok_and(|response| response.status == StatusCode::OK)
            }
        });
        expect_that!(join_all(sent).await, each(eq(&true)));
        expect_that!(clock::now().since(started_at), lt(TIMEOUT_MS));
    });
}
