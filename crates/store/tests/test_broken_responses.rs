//! A store that breaks off its answer, or sends one that is none.
//!
//! Guards against a write that counts as applied, as superseded or as refused because of such an answer: it may have taken
//! effect or not.

use std::time::Duration;

use googletest::prelude::*;
use jy_store::client::StoreClient;
use jy_store::client::StoreError;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Writes a value to a store that sends `response` before it has read the whole call, closes the connection, which resets
/// it, and does not answer again.
///
/// # Errors
///
/// The error of the write.
///
/// # Panics
///
/// Panics if the store can't be started.
fn swap_to_broken_store(
    response: &'static str,
    value: &str,
) -> std::result::Result<SwapOutcome, StoreError> {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a free port");
        let store = listener
            .local_addr()
            .expect("failed to get the local address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("failed to accept");
            let mut part = [0_u8; 64];
            let _read = stream.read(&mut part).await.expect("failed to read");
            stream
                .write_all(response.as_bytes())
                .await
                .expect("failed to write the response");
            sleep(Duration::from_millis(20)).await;
        });
        let call = SwapCall {
            key: "k".into(),
            expect: 0,
            value: Some(value.into()),
            lease: None,
        };
        StoreClient::new(&store.to_string()).swap(&call).await
    })
}

#[gtest]
fn swap_broken_response_is_no_answer() {
    const RESPONSES: [&str; 6] = [
        "",
        "HTTP/1.1 200 OK\r\ncontent-",
        "HTTP/1.1 200 OK\r\n\r\n{\"swapped\":{\"revision\":7}}",
        "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"swapped\":{\"revision\":7}}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1a\r\n{\"swapped\":{\"revision\":7}}\r\n",
        "HTTP/1.1 999 No\r\ncontent-length: 0\r\n\r\n",
    ];
    for response in RESPONSES {
        for bytes in [10, 1_000_000] {
            let result = swap_to_broken_store(response, &"x".repeat(bytes));
            let is_unanswered = matches!(result, Err(StoreError::NoAnswer { .. }));
            expect_that!(
                is_unanswered,
                eq(true),
                "{response:?}, {bytes} bytes: {result:?}"
            );
        }
    }
}
