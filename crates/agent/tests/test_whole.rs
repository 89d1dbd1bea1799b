//! Tests that an answer that is cut short is an error.

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

/// Makes a request.
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

/// Sends a request to a server that answers with a text and closes; returns whether a whole answer
/// came back.
///
/// # Errors
///
/// If the server can't listen.
fn comes_whole(text: &'static str) -> io::Result<bool> {
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
        let end = send::send(&send::client(1), address, &exchange(), &[], deadline).await;
        Ok(matches!(end, SendOutcome::Answered { .. }))
    })
}

#[gtest]
fn body_whole() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour";
    assert_that!(comes_whole(text), ok(eq(&true)));
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n";
    assert_that!(comes_whole(text), ok(eq(&true)));
}

#[gtest]
fn body_shorter_than_its_length() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nfour";
    assert_that!(comes_whole(text), ok(eq(&false)));
}

#[gtest]
fn body_without_its_last_chunk() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n";
    assert_that!(comes_whole(text), ok(eq(&false)));
}

#[gtest]
fn body_that_only_the_end_of_the_connection_ends() {
    let text = "HTTP/1.1 200 OK\r\n\r\nfour";
    assert_that!(comes_whole(text), ok(eq(&false)));
}
