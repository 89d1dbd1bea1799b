//! Tests that a truncated answer is not treated as complete.
//!
//! The HTTP client alone treats the end of a connection as the end of a body.

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

/// Creates a request.
fn exchange() -> RequestExchange {
    RequestExchange {
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
    }
}

/// Sends a request to a server that writes `text` and closes the connection. Returns whether a complete answer
/// was received.
///
/// # Errors
///
/// Returns an error if the server's address can't be bound.
fn receives_answer(text: &'static str) -> io::Result<bool> {
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await?;
            let mut head = [0; 1_024];
            let count = stream.read(&mut head).await?;
            stream.write_all(text.as_bytes()).await?;
            io::Result::Ok(count)
        });
        let deadline = clock::now().plus(60_000);
        let outcome = send::send(&send::client(1), address, &exchange(), &[], deadline).await;
        Ok(matches!(outcome, SendOutcome::Answered { .. }))
    })
}

#[gtest]
fn send_complete_body_is_answered() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour";
    assert_that!(receives_answer(text), ok(eq(&true)));
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n";
    assert_that!(receives_answer(text), ok(eq(&true)));
}

#[gtest]
fn send_body_shorter_than_content_length_is_not_answered() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nfour";
    assert_that!(receives_answer(text), ok(eq(&false)));
}

#[gtest]
fn send_body_without_last_chunk_is_not_answered() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n";
    assert_that!(receives_answer(text), ok(eq(&false)));
}

#[gtest]
fn send_body_without_declared_length_is_not_answered() {
    let text = "HTTP/1.1 200 OK\r\n\r\nfour";
    assert_that!(receives_answer(text), ok(eq(&false)));
}
