//! Malformed responses of a backend server or of another agent.
//!
//! Guards against a response that is no answer, or whose body is not the one that was sent, and that callers get as an
//! answer.

use std::io;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use googletest::prelude::*;
use jy_agent::exchange::RequestExchange;
use jy_agent::send;
use jy_agent::send::SendOutcome;
use jy_kernel::clock;
use jy_types::time::WallMillis;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Time limit of requests, in milliseconds: far longer than any of them takes.
const TIMEOUT_MS: u64 = 60_000;
/// Time limit of a request that gets bytes without an end, and the time after which it has ended, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 500;
const ENDED_MS: u64 = 1_500;

/// Sends a request to a server that writes `text` and closes the connection.
///
/// # Errors
///
/// Returns an error if the server's address can't be bound.
fn send_to(text: &str) -> io::Result<SendOutcome> {
    send_to_endless(text, "", TIMEOUT_MS)
}

/// Sends a request with a time limit to a server that writes `text`, and then `part` again and again until the connection is
/// closed; it closes the connection itself if `part` is empty.
///
/// # Errors
///
/// Returns an error if the server's address can't be bound.
fn send_to_endless(text: &str, part: &'static str, timeout_ms: u64) -> io::Result<SendOutcome> {
    let text = text.to_owned();
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await?;
            let mut head = [0; 1_024];
            let count = stream.read(&mut head).await?;
            stream.write_all(text.as_bytes()).await?;
            let block = part.repeat(8 * 1_024);
            while !block.is_empty() {
                stream.write_all(block.as_bytes()).await?;
            }
            io::Result::Ok(count)
        });
        let exchange = RequestExchange {
            method: Method::GET,
            path: "/".into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            workspace: "workspace".into(),
            service: "service".into(),
            key: None,
            idempotency_key: None,
            request_id: "id".into(),
            timeout_ms: None,
            received: WallMillis(0),
        };
        let deadline = clock::now().plus(timeout_ms);
        Ok(send::send(&send::client(1), address, &exchange, &[], deadline).await)
    })
}

/// Checks that a response is not taken for an answer.
///
/// # Panics
///
/// Panics if the server can't be started.
fn expect_unknown(text: &str) {
    let outcome = send_to(text).expect("the server is started");
    let is_unknown = matches!(outcome, SendOutcome::Unknown(_));
    expect_that!(is_unknown, eq(true), "{text:?}: {outcome:?}");
}

#[gtest]
fn send_undefined_status_has_unknown_outcome() {
    for status in ["000", "099", "20", "2000", "600", "999", "101"] {
        expect_unknown(&format!(
            "HTTP/1.1 {status} OK\r\ncontent-length: 4\r\n\r\nfour"
        ));
    }
}

#[gtest]
fn send_two_lengths_have_unknown_outcome() {
    for framing in [
        "content-length: 4\r\ncontent-length: 4\r\n\r\nfour",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
        "content-length: 4\r\ntransfer-encoding: identity\r\n\r\nfour",
    ] {
        expect_unknown(&format!("HTTP/1.1 200 OK\r\n{framing}"));
    }
}

/// Guards against a body that the HTTP client does not read, or reads although there is none.
#[gtest]
fn send_body_unlike_head_has_unknown_outcome() {
    for response in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nfour",
        "HTTP/1.1 200 OK\r\nupgrade: websocket\r\ncontent-length: 4\r\n\r\nfour",
        "HTTP/1.1 204 No Content\r\ncontent-length: 4\r\n\r\nfour",
        "HTTP/1.1 304 Not Modified\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
    ] {
        expect_unknown(response);
    }
}

#[gtest]
fn send_malformed_field_name_has_unknown_outcome() {
    for byte in (0..=0x20_u8).chain([0x7f]).map(char::from) {
        for line in [
            format!("{byte}x-note: n"),
            format!("x-{byte}note: n"),
            format!("x-note{byte}: n"),
        ] {
            expect_unknown(&format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n{line}\r\n\r\nfour"
            ));
        }
    }
}

/// Guards against a request that never ends: bytes that the HTTP client drops arrive faster than it reads them, so that its
/// own timer is never asked.
#[gtest]
fn send_endless_framing_ends_at_deadline() {
    let chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, part) in [
        ("1;", "extension"),
        ("1", "        "),
        ("0\r\n", "x: t\r\n"),
    ] {
        let sent_at = clock::now();
        let text = format!("{chunks}{start}");
        let outcome =
            send_to_endless(&text, part, SHORT_TIMEOUT_MS).expect("the server is started");
        let is_unknown = matches!(outcome, SendOutcome::Unknown(_));
        expect_that!(is_unknown, eq(true), "{start:?}: {outcome:?}");
        expect_that!(clock::now().since(sent_at), le(ENDED_MS), "{start:?}");
    }
}
