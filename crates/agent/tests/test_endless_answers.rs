//! A server that sends bodies without an end, many at the same time.
//!
//! Guards against an agent that keeps them all until it runs out of memory, and against one that reads on past the
//! deadline of the request. This program holds nothing else, so that its memory is that of the answers.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use jy_agent::exchange::RequestExchange;
use jy_agent::send;
use jy_agent::send::SendOutcome;
use jy_kernel::clock;
use jy_types::time::WallMillis;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Number of answers at the same time.
const ANSWERS: usize = 32;
/// Memory of an instance in the deployments, in kilobytes.
const MEMORY_KB: u64 = 260_000;
/// Time limit of the requests, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;
/// Time for a request to end after its deadline, in milliseconds.
const SLACK_MS: u64 = 1_000;

/// Answers a request with `head`, and then with `part` again and again until the connection is closed.
///
/// # Errors
///
/// Returns an error once the connection is closed.
async fn serve_endless(
    mut stream: TcpStream,
    head: &'static str,
    part: &'static str,
) -> io::Result<()> {
    let mut request = [0; 1_024];
    let _count = stream.read(&mut request).await?;
    stream.write_all(head.as_bytes()).await?;
    let block = part.repeat(1 + 64 * 1024 / part.len());
    loop {
        stream.write_all(block.as_bytes()).await?;
    }
}

/// Returns the largest resident memory of this process so far, in kilobytes.
///
/// # Panics
///
/// Panics if it can't be read.
fn peak_memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("failed to read the state");
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let number = number.and_then(|number| number.parse().ok());
    number.expect("the state has the memory")
}

#[gtest]
fn send_endless_answers_are_bounded() {
    const STARTS: [(&str, &str); 4] = [
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "10\r\naaaaaaaaaaaaaaaa\r\n",
        ),
        ("HTTP/1.1 200 OK\r\ncontent-length: 17000000\r\n\r\n", "a"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
            "extension",
        ),
        ("HTTP/1.1 200 OK\r\nx-note: ", "n"),
    ];
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
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind");
        let address = listener
            .local_addr()
            .expect("failed to get the local address");
        let start = Rc::new(Cell::new(STARTS[0]));
        let shared = Rc::clone(&start);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (head, part) = shared.get();
                actix_rt::spawn(serve_endless(stream, head, part));
            }
        });
        let client = send::client(ANSWERS);
        for case in STARTS {
            start.set(case);
            let deadline = clock::now().plus(TIMEOUT_MS);
            let sends =
                (0..ANSWERS).map(|_| send::send(&client, address, &exchange, &[], deadline));
            for outcome in join_all(sends).await {
                let is_unknown = matches!(outcome, SendOutcome::Unknown(_));
                expect_that!(is_unknown, eq(true), "{case:?}: {outcome:?}");
            }
            expect_that!(clock::now(), le(deadline.plus(SLACK_MS)), "{case:?}");
            expect_that!(peak_memory_kb(), le(MEMORY_KB), "{case:?}");
        }
    });
}
