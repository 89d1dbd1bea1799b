//! A server that sends bytes without end: in a head or in a body, until the client closes the connection.
//!
//! Guards against a client that keeps such bytes in memory until its time limit.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use googletest::prelude::*;
use jy_http::client::ExchangeError;
use jy_http::client::MAX_RESPONSE_BYTES;
use jy_http::message::HttpRequest;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Time limit of the request, in milliseconds: far longer than receiving the largest response takes.
const RESPONSE_TIMEOUT_MS: u64 = 60_000;
/// Bytes that the sockets may hold beyond what the client has read.
const SOCKET_BYTES: usize = 32 * 1024 * 1024;

/// Sends one request to a server that sends `head` and then `part` again and again until the connection is
/// closed. Returns the client's result and the number of bytes that the server could send.
///
/// # Panics
///
/// Panics if the server can't be started.
fn play(head: &'static str, part: &'static str) -> (std::result::Result<(), ExchangeError>, usize) {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a free port");
        let to: SocketAddr = listener
            .local_addr()
            .expect("failed to get the local address");
        let sent = Rc::new(Cell::new(0_usize));
        let server_sent = Rc::clone(&sent);
        let server = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("failed to accept");
            let mut request = [0_u8; 1024];
            let _read = stream.read(&mut request).await.expect("failed to read");
            stream
                .write_all(head.as_bytes())
                .await
                .expect("failed to write the head");
            let block = part.repeat(1 + 16 * 1024 / part.len());
            while stream.write_all(block.as_bytes()).await.is_ok() {
                server_sent.set(server_sent.get() + block.len());
            }
        });
        let options = SendOptions {
            connect_timeout_ms: 1_000,
            response_timeout_ms: RESPONSE_TIMEOUT_MS,
            max_idle_ms: 1_000,
            max_bytes_per_ms: None,
        };
        let request = HttpRequest::new(Method::GET, "/p").with_header("host", "h");
        let result = ConnectionPool::new()
            .send(to, &request, None, options)
            .await;
        let closed = tokio::time::timeout(Duration::from_secs(10), server).await;
        expect_that!(closed.is_ok(), eq(true), "the client closes the connection");
        (result.map(|_| ()), sent.get())
    })
}

/// Checks that the client gave up with an unknown outcome after a bounded number of bytes.
fn expect_bounded(head: &'static str, part: &'static str) {
    let (result, sent) = play(head, part);
    let is_unknown = matches!(&result, Err(ExchangeError::OutcomeUnknown { .. }));
    expect_that!(is_unknown, eq(true), "{result:?}");
    expect_that!(sent, le(MAX_RESPONSE_BYTES + SOCKET_BYTES));
}

#[gtest]
fn send_endless_head_line_is_bounded() {
    expect_bounded("HTTP/1.1 200 OK\r\nx: ", "aaaaaaaaaaaaaaaa");
}

#[gtest]
fn send_endless_head_lines_are_bounded() {
    expect_bounded("HTTP/1.1 200 OK\r\n", "x: aaaaaaaaaaa\r\n");
}

#[gtest]
fn send_endless_noise_is_bounded() {
    expect_bounded("", "no response at all ");
}

#[gtest]
fn send_endless_informational_responses_are_bounded() {
    expect_bounded("", "HTTP/1.1 102 Processing\r\n\r\n");
}

#[gtest]
fn send_endless_chunked_body_is_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    expect_bounded(head, "10\r\naaaaaaaaaaaaaaaa\r\n");
}

#[gtest]
fn send_endless_body_without_length_is_bounded() {
    expect_bounded("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa");
}

#[gtest]
fn send_body_of_excessive_length_is_bounded() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 100000000000\r\n\r\n";
    expect_bounded(head, "aaaaaaaaaaaaaaaa");
}

#[gtest]
fn send_endless_chunk_extension_is_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10;x=";
    expect_bounded(head, "aaaaaaaaaaaaaaaa");
}

#[gtest]
fn send_endless_blanks_after_chunk_size_are_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10";
    expect_bounded(head, "                ");
}

#[gtest]
fn send_endless_zeros_of_chunk_size_are_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0";
    expect_bounded(head, "0000000000000000");
}

#[gtest]
fn send_endless_chunks_of_one_byte_are_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    expect_bounded(head, "1\r\na\r\n");
}

#[gtest]
fn send_endless_trailer_line_is_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    expect_bounded(head, "aaaaaaaaaaaaaaaa");
}

#[gtest]
fn send_endless_trailer_lines_are_bounded() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    expect_bounded(head, "x: aaaaaaaaaaa\r\n");
}

#[gtest]
fn send_endless_empty_lines_are_bounded() {
    expect_bounded("", "\r\n\r\n\r\n\r\n");
}

#[gtest]
fn send_endless_reason_is_bounded() {
    expect_bounded("HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa");
}

#[gtest]
fn send_endless_field_name_is_bounded() {
    expect_bounded("HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaa");
}
