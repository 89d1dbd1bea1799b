//! Callers that leave, and requests that break the protocol.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use googletest::prelude::*;
use jy_http::message::HttpAnswer;
use jy_http::server::HandleFn;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use tokio::time::sleep;

/// Limits of the listener of these tests.
const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 100,
    read_ms: 5_000,
    idle_ms: 5_000,
};

/// Time for a listener to handle what it was sent, in milliseconds.
const SETTLE_MS: u64 = 100;

/// Starts a listener that counts the requests that it begins to run.
///
/// # Panics
///
/// If no port is free.
async fn listener(begun: Rc<Cell<usize>>) -> SocketAddr {
    let handle: HandleFn = Rc::new(move |_, _| {
        let begun = Rc::clone(&begun);
        Box::pin(async move {
            begun.set(begun.get() + 1);
            HttpAnswer::new(StatusCode::OK, "done")
        })
    });
    let address = {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        probe.local_addr().expect("an address")
    };
    let listener = HttpListener::new(handle, Rc::new(|| LIMITS));
    listener.serve(address).await.expect("the port is free");
    address
}

/// Sends bytes and closes before the listener's thread runs, then returns how many requests it began.
///
/// # Panics
///
/// If the connection fails.
fn begun_after_leaving(bytes: &'static [u8]) -> usize {
    actix_rt::System::new().block_on(async {
        let begun = Rc::new(Cell::new(0));
        let address = listener(Rc::clone(&begun)).await;
        let mut caller = TcpStream::connect(address).expect("a listener");
        caller.write_all(bytes).expect("a reader");
        caller.shutdown(Shutdown::Both).expect("a connection");
        drop(caller);
        sleep(Duration::from_millis(SETTLE_MS)).await;
        begun.get()
    })
}

/// Sends bytes and returns the start of the answer.
///
/// # Panics
///
/// If the connection fails.
fn answer_to(bytes: &'static [u8]) -> String {
    actix_rt::System::new().block_on(async {
        let address = listener(Rc::default()).await;
        let mut caller = TcpStream::connect(address).expect("a listener");
        caller.write_all(bytes).expect("a reader");
        sleep(Duration::from_millis(SETTLE_MS)).await;
        let mut text = [0_u8; 1024];
        let read = caller.read(&mut text).expect("an answer");
        String::from_utf8_lossy(&text[..read]).into_owned()
    })
}

#[gtest]
fn request_of_caller_that_left_is_not_begun() {
    expect_that!(
        begun_after_leaving(b"GET /p HTTP/1.1\r\nhost: h\r\n\r\n"),
        eq(0)
    );
}

#[gtest]
fn request_cut_short_is_not_begun() {
    let cut = b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf";
    expect_that!(begun_after_leaving(cut), eq(0));
}

#[gtest]
fn request_whole_is_answered() {
    let answer = answer_to(b"GET /p HTTP/1.1\r\nhost: h\r\n\r\n");
    expect_that!(answer, starts_with("HTTP/1.1 200 OK"));
}

#[gtest]
fn request_malformed_or_too_large_is_refused() {
    let both = b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    expect_that!(answer_to(both), starts_with("HTTP/1.1 400"));
    expect_that!(answer_to(b"nonsense\r\n\r\n"), starts_with("HTTP/1.1 400"));
    let large = b"POST /p HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n7f\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456\r\n0\r\n\r\n";
    expect_that!(answer_to(large), starts_with("HTTP/1.1 413"));
}
