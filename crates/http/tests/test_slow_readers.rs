//! Tests of memory and time limits with callers and servers that are slow, over real connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::join;
use futures_util::future::join_all;
use googletest::prelude::*;
use jy_http::client::MAX_RESPONSE_BYTES;
use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// The largest body that deployments allow.
const LARGEST_BODY_BYTES: usize = 64 * 1024 * 1024;
const SENDERS: usize = 10;
const READERS: usize = 8;
/// Bytes that a slow reader takes at once, and its receive buffer.
const READ_BYTES: usize = 32 * 1024;
const READ_INTERVAL_MS: u64 = 10;
/// Interval and bytes of a reader that takes longer than [`WRITE_TIMEOUT_MS`] for a third of what the kernel buffers.
const STEADY_INTERVAL_MS: u64 = 100;
const SLOW_BYTES: usize = 20 * READ_BYTES;
/// Far shorter than a slow reader needs for its response.
const WRITE_TIMEOUT_MS: u64 = 600;
/// Time for which a server handles a request.
const HANDLING_MS: u64 = 500;
/// More than the heads of all connections of a test.
const HEADS_BYTES: usize = 64 * 1024;
/// Time after which a test gives up waiting.
const PATIENCE_MS: u64 = 20_000;
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: LARGEST_BODY_BYTES,
    read_ms: PATIENCE_MS,
    idle_ms: PATIENCE_MS,
};
const OPTIONS: SendOptions = SendOptions {
    connect_timeout_ms: 1_000,
    response_timeout_ms: PATIENCE_MS,
    max_idle_ms: 1_000,
    max_bytes_per_ms: None,
};

/// Starts a listener and returns its address.
///
/// # Panics
///
/// Panics if no port can be bound.
async fn serve(
    memory: &Rc<MemoryBudget>,
    write_timeout_ms: u64,
    handle: impl AsyncFn(HttpRequest) -> HttpResponse + Clone + 'static,
) -> SocketAddr {
    let address = {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
        probe.local_addr().expect("failed to get the local address")
    };
    let refuse = || HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "");
    let handler = move |request| {
        let handle = handle.clone();
        async move { handle(request).await }
    };
    let listener = HttpListener::new(
        Rc::new(move |request, _| Box::pin(handler(request))),
        Rc::new(|| LIMITS),
    )
    .with_memory(Rc::clone(memory), Rc::new(refuse))
    .with_essential(Rc::new(|headers| headers.contains_key("essential")))
    .with_write_timeout_ms(write_timeout_ms);
    listener
        .serve(address)
        .await
        .expect("failed to bind the port just released");
    address
}

/// Returns a budget that limits nothing.
fn unlimited() -> Rc<MemoryBudget> {
    Rc::new(MemoryBudget::new(usize::MAX))
}

/// Returns a response with a body of `length` bytes.
fn response_of(length: usize) -> HttpResponse {
    let mut response = HttpResponse::new(StatusCode::OK, "");
    response.body = Bytes::from(vec![b'a'; length]);
    response
}

/// Waits until a condition holds, and returns whether it did.
async fn eventually(condition: impl Fn() -> bool) -> bool {
    let check = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_millis(PATIENCE_MS), check)
        .await
        .is_ok()
}

/// Opens a connection with a small receive buffer and sends a request for `target`.
///
/// # Panics
///
/// Panics if the connection can't be opened or written.
async fn ask(to: SocketAddr, target: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("failed to create a socket");
    socket
        .set_recv_buffer_size(READ_BYTES as u32)
        .expect("failed to set the size of the receive buffer");
    let mut stream = socket.connect(to).await.expect("failed to connect");
    let text = format!("GET {target} HTTP/1.1\r\nhost: h\r\n\r\n");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("failed to write the request");
    stream
}

/// Reads a part every `interval_ms` until `length` bytes have arrived or the connection ends. Returns the number of bytes read.
async fn read_slowly(stream: &mut TcpStream, length: usize, interval_ms: u64) -> usize {
    let mut part = vec![0_u8; READ_BYTES];
    let mut read_bytes = 0;
    while read_bytes < length {
        sleep(Duration::from_millis(interval_ms)).await;
        match stream.read(&mut part).await {
            Ok(count @ 1..) => read_bytes += count,
            _ => break,
        }
    }
    read_bytes
}

/// Guards against a limit on the whole time for writing, and against reading that is only noticed once the kernel has
/// sent much of what it has taken: both cut off callers that read slowly but steadily.
#[gtest]
fn write_slow_but_steady_reader_gets_all() {
    actix_rt::System::new().block_on(async {
        let memory = unlimited();
        let address = serve(&memory, WRITE_TIMEOUT_MS, async |_| {
            response_of(MAX_RESPONSE_BYTES)
        })
        .await;
        let mut stream = ask(address, "/p").await;
        let started = std::time::Instant::now();
        let slow_bytes = read_slowly(&mut stream, SLOW_BYTES, STEADY_INTERVAL_MS).await;
        let elapsed_ms = started.elapsed().as_millis() as u64;
        expect_that!(elapsed_ms, gt(2 * WRITE_TIMEOUT_MS), "the reader was slow");
        let rest_bytes = read_slowly(&mut stream, MAX_RESPONSE_BYTES - slow_bytes, 0).await;
        expect_that!(slow_bytes + rest_bytes, ge(MAX_RESPONSE_BYTES));
        expect_that!(memory.stalled(), eq(0));
    });
}

/// Guards against responses that are held for callers that read nothing.
#[gtest]
fn write_reader_that_stops_is_disconnected() {
    actix_rt::System::new().block_on(async {
        let memory = unlimited();
        let address = serve(&memory, WRITE_TIMEOUT_MS, async |_| {
            response_of(MAX_RESPONSE_BYTES)
        })
        .await;
        let stream = ask(address, "/p").await;
        let held = || memory.used_bytes_of(MemoryKind::Response) == MAX_RESPONSE_BYTES;
        expect_that!(eventually(held).await, eq(true));
        let is_released = eventually(|| memory.used_bytes() == 0).await;
        expect_that!(is_released, eq(true));
        expect_that!(memory.stalled(), eq(1));
        drop(stream);
    });
}

/// Guards against responses that are read into memory that there is not: the server is not read from until memory is
/// released, and its response is then complete.
#[gtest]
fn exchange_without_memory_waits_and_completes() {
    actix_rt::System::new().block_on(async {
        let memory = Rc::new(MemoryBudget::new(2 * MAX_RESPONSE_BYTES));
        let address = serve(&unlimited(), PATIENCE_MS, async |_| {
            response_of(MAX_RESPONSE_BYTES)
        })
        .await;
        let mut held = memory.share(MemoryKind::Response);
        held.set_to(2 * MAX_RESPONSE_BYTES - READ_BYTES);
        let pool = ConnectionPool::new().with_memory(Rc::clone(&memory));
        let request = HttpRequest::new(Method::GET, "/p").with_header("host", "h");
        let release = async {
            expect_that!(eventually(|| memory.waiting() == 1).await, eq(true));
            drop(held);
        };
        let (response, ()) = join(pool.send(address, &request, None, OPTIONS), release).await;
        let response = response.expect("the response is complete");
        expect_that!(response.body.len(), eq(MAX_RESPONSE_BYTES));
        expect_that!(memory.used_bytes(), eq(MAX_RESPONSE_BYTES));
        drop(response);
        expect_that!(memory.used_bytes(), eq(0));
        expect_that!(memory.peak_bytes(), le(2 * MAX_RESPONSE_BYTES));
    });
}

/// Guards against a wait for memory that outlasts the request, and against a place that it keeps afterwards.
#[gtest]
fn exchange_without_memory_ends_at_deadline() {
    actix_rt::System::new().block_on(async {
        let memory = Rc::new(MemoryBudget::new(MAX_RESPONSE_BYTES));
        let address = serve(&unlimited(), PATIENCE_MS, async |_| response_of(READ_BYTES)).await;
        let mut held = memory.share(MemoryKind::Response);
        held.set_to(MAX_RESPONSE_BYTES);
        let pool = ConnectionPool::new().with_memory(Rc::clone(&memory));
        let request = HttpRequest::new(Method::GET, "/p").with_header("host", "h");
        let options = SendOptions {
            response_timeout_ms: HANDLING_MS,
            ..OPTIONS
        };
        let result = pool.send(address, &request, None, options).await;
        let may_have_run = result.is_err_and(|error| error.may_have_run());
        expect_that!(may_have_run, eq(true));
        expect_that!(memory.waiting(), eq(0));
        expect_that!(pool.admits_unsent(), eq(false));
        expect_that!(memory.refused(), eq(1));
    });
}

/// Guards against a chunked response that takes memory in parts: two of them could wait for each other.
#[gtest]
fn exchange_chunked_response_takes_memory_once() {
    actix_rt::System::new().block_on(async {
        let memory = Rc::new(MemoryBudget::new(2 * MAX_RESPONSE_BYTES));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a free port");
        let to = listener
            .local_addr()
            .expect("failed to get the local address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("failed to accept");
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let chunk = format!("{:x}\r\n{}\r\n", READ_BYTES, "c".repeat(READ_BYTES));
            for text in [head, &chunk] {
                stream
                    .write_all(text.as_bytes())
                    .await
                    .expect("failed to write a part");
            }
            sleep(Duration::from_millis(HANDLING_MS)).await;
            stream
                .write_all(b"0\r\n\r\n")
                .await
                .expect("failed to write the end");
        });
        let pool = ConnectionPool::new().with_memory(Rc::clone(&memory));
        let request = HttpRequest::new(Method::GET, "/p").with_header("host", "h");
        let taken = eventually(|| memory.used_bytes() == MAX_RESPONSE_BYTES);
        let (response, is_taken) = join(pool.send(to, &request, None, OPTIONS), taken).await;
        expect_that!(is_taken, eq(true));
        let response = response.expect("the response is complete");
        expect_that!(response.body.len(), eq(READ_BYTES));
        let used_bytes = memory.used_bytes();
        expect_that!(used_bytes, all![ge(READ_BYTES), le(2 * READ_BYTES)]);
    });
}

/// Load pattern: many connections that each send a part of a head. Guards against heads that pass the budget, and
/// against a shortage that stops the agents' own messages.
#[gtest]
fn serve_many_partial_heads_are_bounded() {
    const CONNECTIONS: usize = 60;
    const LIMIT_BYTES: usize = 200_000;
    actix_rt::System::new().block_on(async {
        let memory = Rc::new(MemoryBudget::new(LIMIT_BYTES));
        let address = serve(&memory, WRITE_TIMEOUT_MS, async |_| response_of(1)).await;
        let mut held = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut stream = TcpStream::connect(address)
                .await
                .expect("failed to connect to the listener");
            let part = format!("GET /p HTTP/1.1\r\nhost: h\r\nx: {}", "x".repeat(12_000));
            stream
                .write_all(part.as_bytes())
                .await
                .expect("failed to write a part of a head");
            held.push(stream);
        }
        expect_that!(eventually(|| memory.refused() > 0).await, eq(true));
        let heads = memory.used_bytes_of(MemoryKind::Head);
        expect_that!(heads, all![ge(12_000), le(LIMIT_BYTES)]);
        let mut rest = memory.share(MemoryKind::Response);
        rest.set_to(LIMIT_BYTES);
        let request = HttpRequest::new(Method::GET, "/p").with_header("host", "h");
        let essential = request.clone().with_header("essential", "1");
        let pool = ConnectionPool::new();
        let mut statuses = Vec::new();
        for request in [request, essential] {
            let response = pool.send(address, &request, None, OPTIONS).await;
            statuses.push(response.expect("the response is complete").status);
        }
        let expected = vec![StatusCode::SERVICE_UNAVAILABLE, StatusCode::OK];
        expect_that!(statuses, eq(&expected));
        drop((held, rest));
        expect_that!(eventually(|| memory.used_bytes() == 0).await, eq(true));
    });
}

/// Plays ten senders of the largest body beside slow readers of the largest response, through a process that may use
/// `memory_mb` megabytes.
///
/// # Panics
///
/// Panics if a sender gets no complete response.
fn play_largest_messages(memory_mb: f64) {
    actix_rt::System::new().block_on(async {
        let memory = Rc::new(MemoryBudget::for_process(memory_mb));
        let backend = serve(&unlimited(), PATIENCE_MS, async |request: HttpRequest| {
            sleep(Duration::from_millis(HANDLING_MS)).await;
            response_of(if request.body.is_empty() {
                MAX_RESPONSE_BYTES
            } else {
                1
            })
        })
        .await;
        let pool = Rc::new(ConnectionPool::new().with_memory(Rc::clone(&memory)));
        let address = serve(
            &memory,
            WRITE_TIMEOUT_MS,
            async move |request: HttpRequest| {
                let sent = pool.send(backend, &request, None, OPTIONS).await;
                sent.unwrap_or_else(|error| {
                    HttpResponse::new(StatusCode::BAD_GATEWAY, &error.to_string())
                })
            },
        )
        .await;
        let body = Bytes::from(vec![b'b'; LARGEST_BODY_BYTES]);
        let senders = (0..SENDERS).map(|_| {
            let request = HttpRequest::new(Method::POST, "/p")
                .with_header("host", "h")
                .with_body(body.clone());
            async move {
                let pool = ConnectionPool::new();
                let sent = pool.send(address, &request, None, OPTIONS).await;
                sent.expect("the response is complete").status
            }
        });
        let readers = (0..READERS).map(|_| async {
            let mut stream = ask(address, "/p").await;
            read_slowly(&mut stream, MAX_RESPONSE_BYTES, READ_INTERVAL_MS).await
        });
        let (statuses, read_bytes) = join(join_all(senders), join_all(readers)).await;
        let count = |status| statuses.iter().filter(|sent| **sent == status).count();
        let (run, refused) = (
            count(StatusCode::OK),
            count(StatusCode::SERVICE_UNAVAILABLE),
        );
        expect_that!(run, ge(1), "{statuses:?}");
        expect_that!(run + refused, eq(SENDERS), "{statuses:?}");
        expect_that!(read_bytes, each(ge(&MAX_RESPONSE_BYTES)));
        let held_together = LARGEST_BODY_BYTES + READERS / 2 * MAX_RESPONSE_BYTES;
        expect_that!(memory.peak_bytes(), ge(held_together), "the test is void");
        expect_that!(memory.peak_bytes(), le(memory.limit_bytes() + HEADS_BYTES));
        expect_that!(eventually(|| memory.used_bytes() == 0).await, eq(true));
        expect_that!((memory.waiting(), memory.stalled()), eq((0, 0)));
    });
}

/// Guards against an agent that is ended for its memory on most instances.
#[gtest]
fn serve_largest_messages_with_160_mb_is_bounded() {
    play_largest_messages(160.0);
}

/// Guards against an agent that is ended for its memory on instances with more.
#[gtest]
fn serve_largest_messages_with_260_mb_is_bounded() {
    play_largest_messages(260.0);
}
