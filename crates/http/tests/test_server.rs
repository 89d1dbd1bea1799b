//! Requests whose callers disconnect, and requests that violate the protocol.

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
use jy_http::message::HttpResponse;
use jy_http::server::Handler;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use tokio::time::sleep;

const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 100,
    read_ms: 5_000,
    idle_ms: 5_000,
};

/// Time for the listener to handle the bytes sent to it, in milliseconds.
const HANDLING_TIME_MS: u64 = 100;

/// Starts a listener that counts the requests whose handler is started.
///
/// # Panics
///
/// If no port can be bound.
async fn listener(started: Rc<Cell<usize>>) -> SocketAddr {
    serve(Rc::new(move |_, _| {
        let started = Rc::clone(&started);
        Box::pin(async move {
            started.set(started.get() + 1);
            HttpResponse::new(StatusCode::OK, "done")
        })
    }))
    .await
}

/// Starts a listener that handles each request with `handle`.
///
/// # Panics
///
/// If no port can be bound.
async fn serve(handle: Handler) -> SocketAddr {
    let address = {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
        probe.local_addr().expect("failed to get the local address")
    };
    let listener = HttpListener::new(handle, Rc::new(|| LIMITS));
    listener
        .serve(address)
        .await
        .expect("failed to bind the port just released");
    address
}

/// Sends bytes and closes the connection before the listener runs on this thread, then returns the number of
/// requests whose handler was started.
///
/// # Panics
///
/// If the connection can't be opened, written to or shut down.
fn started_after_disconnect(bytes: &'static [u8]) -> usize {
    actix_rt::System::new().block_on(async {
        let started = Rc::new(Cell::new(0));
        let address = listener(Rc::clone(&started)).await;
        let mut caller = TcpStream::connect(address).expect("failed to connect to the listener");
        caller
            .write_all(bytes)
            .expect("failed to write the request");
        caller
            .shutdown(Shutdown::Both)
            .expect("failed to shut down the connection");
        drop(caller);
        sleep(Duration::from_millis(HANDLING_TIME_MS)).await;
        started.get()
    })
}

/// Sends bytes and returns the first bytes of the response.
///
/// # Panics
///
/// If the connection can't be opened, written or read.
fn response_to(bytes: &'static [u8]) -> String {
    actix_rt::System::new().block_on(async {
        let address = listener(Rc::default()).await;
        let mut caller = TcpStream::connect(address).expect("failed to connect to the listener");
        caller
            .write_all(bytes)
            .expect("failed to write the request");
        sleep(Duration::from_millis(HANDLING_TIME_MS)).await;
        let mut text = [0_u8; 1024];
        let read = caller.read(&mut text).expect("failed to read the response");
        String::from_utf8_lossy(&text[..read]).into_owned()
    })
}

#[gtest]
fn handler_caller_disconnected_is_not_started() {
    expect_that!(
        started_after_disconnect(b"GET /p HTTP/1.1\r\nhost: h\r\n\r\n"),
        eq(0)
    );
}

#[gtest]
fn handler_request_truncated_is_not_started() {
    let truncated = b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf";
    expect_that!(started_after_disconnect(truncated), eq(0));
}

#[gtest]
fn request_complete_is_answered() {
    let response = response_to(b"GET /p HTTP/1.1\r\nhost: h\r\n\r\n");
    expect_that!(response, starts_with("HTTP/1.1 200 OK"));
}

/// Guards against calls of running requests that are taken for those of other callers, or the reverse.
#[gtest]
fn handler_peer_is_address_of_caller() {
    actix_rt::System::new().block_on(async {
        let address = serve(Rc::new(|request, _| {
            let peer = request
                .peer
                .map_or_else(String::new, |peer| peer.to_string());
            Box::pin(async move { HttpResponse::new(StatusCode::OK, &peer) })
        }))
        .await;
        let mut caller = TcpStream::connect(address).expect("failed to connect to the listener");
        let own_address = caller
            .local_addr()
            .expect("failed to get the local address");
        caller
            .write_all(b"GET /p HTTP/1.1\r\nhost: h\r\n\r\n")
            .expect("failed to write the request");
        sleep(Duration::from_millis(HANDLING_TIME_MS)).await;
        let mut response = [0; 1024];
        let length = caller
            .read(&mut response)
            .expect("failed to read the response");
        let text = String::from_utf8_lossy(&response[..length]).into_owned();
        expect_that!(text, ends_with(&*own_address.to_string()));
    });
}

#[gtest]
fn request_malformed_or_too_large_is_rejected() {
    let conflicting_lengths = b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    expect_that!(
        response_to(conflicting_lengths),
        starts_with("HTTP/1.1 400")
    );
    expect_that!(
        response_to(b"nonsense\r\n\r\n"),
        starts_with("HTTP/1.1 400")
    );
    let too_large = b"POST /p HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n7f\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456\r\n0\r\n\r\n";
    expect_that!(response_to(too_large), starts_with("HTTP/1.1 413"));
}
