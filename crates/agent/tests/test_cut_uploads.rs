//! A server that answers before it has read the whole request, and breaks off.
//!
//! Guards against a part of a response that is taken for a complete one, and against a request that counts as not sent
//! although the server may have run it.

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

/// Sends a request with a body of `bytes` bytes to a server that reads a part of it, writes `text` and closes the
/// connection, which resets it.
///
/// # Errors
///
/// Returns an error if the server's address can't be bound.
fn send_to_cut_server(text: &'static str, bytes: usize) -> io::Result<SendOutcome> {
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await?;
            let mut part = [0; 64];
            let count = stream.read(&mut part).await?;
            stream.write_all(text.as_bytes()).await?;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            io::Result::Ok(count)
        });
        let exchange = RequestExchange {
            method: Method::POST,
            path: "/".into(),
            headers: HeaderMap::new(),
            body: Bytes::from(vec![b'x'; bytes]),
            workspace: "workspace".into(),
            service: "service".into(),
            key: None,
            idempotency_key: None,
            request_id: "id".into(),
            timeout_ms: None,
            received: WallMillis(0),
        };
        let deadline = clock::now().plus(60_000);
        Ok(send::send(&send::client(1), address, &exchange, &[], deadline).await)
    })
}

#[gtest]
fn send_cut_response_has_unknown_outcome() {
    const RESPONSES: [&str; 5] = [
        "",
        "HTTP/1.1 200 OK\r\ncontent-",
        "HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\npart",
    ];
    for response in RESPONSES {
        for bytes in [1_024, 8 * 1024 * 1024] {
            let outcome = send_to_cut_server(response, bytes).expect("the server is started");
            let is_unknown = matches!(outcome, SendOutcome::Unknown(_));
            expect_that!(
                is_unknown,
                eq(true),
                "{response:?}, {bytes} bytes: {outcome:?}"
            );
        }
    }
}
