//! Requests to the gate of another agent that answers before it has read them, and breaks off.
//!
//! Guards against a part of a report that is taken for the whole, and against one that says "not run" although the
//! gate may go on.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use googletest::prelude::*;
use jy_edge::forward;
use jy_edge::forward::GateJob;
use jy_edge::forward::GateOutcome;
use jy_edge::forward::TransferLimits;
use jy_edge::transfer::TRANSFER_PATH;
use jy_http::message::HttpRequest;
use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_types::time::Millis;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// A request that does not fit into the buffers of the sockets, in bytes.
const LARGE_BYTES: usize = 8 * 1024 * 1024;
const TIMEOUT_MS: u64 = 10_000;

/// Serves as a gate that admits each body, answers the request that brings it with `report`, and closes the connection
/// while bytes of the request are unread, which resets it.
///
/// # Panics
///
/// Panics if the report can't be written.
async fn serve_gate(listener: TcpListener, report: &'static str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        actix_rt::spawn(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0_u8; 1];
                let count = stream.read(&mut byte).await;
                if !matches!(count, Ok(1)) {
                    return;
                }
                head.push(byte[0]);
            }
            let is_admission = String::from_utf8_lossy(&head).contains(TRANSFER_PATH);
            let admission = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            let text = if is_admission { admission } else { report };
            stream
                .write_all(text.as_bytes())
                .await
                .expect("failed to write the report");
            if !is_admission {
                let mut byte = [0_u8; 1];
                let _unread = stream.peek(&mut byte).await;
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
}

/// Creates a request with a body.
fn job() -> GateJob {
    let now = clock::now();
    let request = HttpRequest::new(Method::POST, "/p")
        .with_header("host", "h")
        .with_header("x-request-id", "r")
        .with_body(Bytes::from(vec![b'x'; LARGE_BYTES]));
    GateJob {
        request,
        id: "r".into(),
        route: "route".into(),
        service: "s".into(),
        origin: "front".into(),
        key: None,
        is_call: false,
        tenant: None,
        key_valid_until: Millis::MAX,
        objective: now.plus(TIMEOUT_MS),
        deadline: now.plus(TIMEOUT_MS),
    }
}

/// Sends a request at most at `bytes_per_ms` to a gate that answers with `report`. Returns the outcome.
///
/// # Panics
///
/// Panics if the gate can't be started.
fn send(report: &'static str, bytes_per_ms: u64) -> GateOutcome {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a free port");
        let gate: SocketAddr = listener
            .local_addr()
            .expect("failed to get the local address");
        actix_rt::spawn(serve_gate(listener, report));
        let limits = TransferLimits {
            admit_by: clock::now().plus(1_000),
            bytes_per_ms,
        };
        let report = forward::send(&ConnectionPool::new(), gate, &job(), limits).await;
        report.outcome
    })
}

#[gtest]
fn send_cut_report_has_unknown_outcome() {
    const REPORTS: [&str; 6] = [
        "HTTP/1.1 200 OK\r\njy-outcome: answered\r\nx-response-seal: s\r\n\r\npart",
        "HTTP/1.1 200 OK\r\njy-outcome: answered\r\nx-response-seal: s\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\njy-outcome: answered\r\nx-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n9\r\npart",
        "HTTP/1.1 503 Busy\r\njy-outcome: not-run\r\njy-reason: overloaded\r\n\r\n",
        "HTTP/1.1 503 Busy\r\njy-outcome: not-run\r\njy-reason: overloaded\r\n",
        "",
    ];
    for report in REPORTS {
        for bytes_per_ms in [1_000, 20_000, u64::MAX] {
            let outcome = send(report, bytes_per_ms);
            let is_unknown = matches!(outcome, GateOutcome::Unknown { .. });
            expect_that!(
                is_unknown,
                eq(true),
                "{bytes_per_ms} bytes/ms, {report:?}: {outcome:?}"
            );
        }
    }
}
