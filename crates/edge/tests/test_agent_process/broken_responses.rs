//! What callers get if a backend server sends a broken response.
//!
//! The backend server is a socket whose bytes the test writes.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use jy_http::message::HttpResponse;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet::AgentFleet;
use crate::fleet::AgentProcess;
use crate::fleet::GOOD_PATH;
use crate::fleet::HOST;
use crate::fleet::MEMORY_KB;
use crate::fleet::ServeFn;
use crate::fleet::request_id;
use crate::fleet::signature;

/// Statuses by which a response says that its request has not run and will not.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// A request that does not fit into the buffers of the sockets, in bytes.
const LARGE_BYTES: usize = 8 * 1024 * 1024;
/// Number of endless responses at the same time.
const ENDLESS_RESPONSES: usize = 16;
/// Number of lines of the second agent's log that are printed with a failure.
const LOG_LINES: usize = 10;
/// Time in which an agent sends whatever it sends for a request, in milliseconds.
const QUIET_MS: u64 = 300;

/// Sends a request to `/ROUTE/name` on each route to each agent, and checks that no caller takes the broken response for
/// an answer, and that a request that may run once reaches the backend server once. `case` describes the response.
///
/// # Panics
///
/// Panics if an agent does not answer.
async fn expect_failure(fleet: &AgentFleet, name: &str, case: &str, body: &Bytes) {
    for (number, agent) in fleet.agents.iter().enumerate() {
        for route in ["safe", "once"] {
            fleet.requests.borrow_mut().clear();
            let path = format!("/{route}/{name}");
            let result = fleet.send(agent, &path, body.clone()).await;
            let response = result.expect("the agent answers");
            let case = format!("{case}, {route}, agent {number}, {} bytes", body.len());
            expect_unknown_outcome(&response, &case);
            let sends = fleet.requests.borrow().len();
            let most_sends = if route == "safe" { 2 } else { 1 };
            expect_that!(sends, all![ge(1), le(most_sends)], "{case}");
            if !(1..=most_sends).contains(&sends) {
                println!("{case}:\n{}", fleet.agents[1].last_log_lines(LOG_LINES));
            }
        }
    }
}

/// Checks that a response says neither that its request ran nor that it did not.
fn expect_unknown_outcome(response: &HttpResponse, case: &str) {
    let status = response.status.as_u16();
    expect_that!(status, ge(500), "{case}: {:?}", response.body);
    expect_that!(NOT_RUN_STATUSES.contains(&status), eq(false), "{case}");
    let is_sealed = response.headers.contains_key("x-response-seal");
    expect_that!(is_sealed, eq(false), "{case}");
}

/// The response that the backend server sends to each request, with `SIGNED` in place of its signature and `ID` in place
/// of the request's id.
type SharedResponse = Rc<RefCell<String>>;

/// Starts a fleet whose backend server sends the returned response and ends the connection.
async fn start_responding() -> (AgentFleet, SharedResponse) {
    let response = SharedResponse::default();
    let text = Rc::clone(&response);
    let serve: ServeFn = Rc::new(move |mut stream, head| {
        let text = text.borrow().replace("SIGNED\r\n", &signature(&head));
        let text = text.replace("ID\r\n", &format!("{}\r\n", request_id(&head)));
        Box::pin(async move {
            // The agent may have given the request up.
            let _written = stream.write_all(text.as_bytes()).await;
            // Closing is not enough: an agent that is being started has a copy of the socket until it executes its program,
            // and the connection stays open until then.
            let _ended = stream.shutdown().await;
        })
    });
    (AgentFleet::start(serve).await, response)
}

/// Checks that callers don't get this response of the backend server, as [`expect_failure`] does.
async fn expect_rejected(fleet: &AgentFleet, response: &SharedResponse, text: String) {
    let case = format!("{text:?}");
    response.replace(text);
    expect_failure(fleet, "x", &case, &Bytes::new()).await;
}

/// Writes the response that the path of a request names, and cuts the connection as it names.
///
/// # Panics
///
/// Panics if an option of the socket can't be set.
async fn serve_cut(mut stream: TcpStream, head: String) {
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let signature = signature(&head);
    let framing = match () {
        () if path.contains("length") => "content-length: 11\r\n\r\n",
        () if path.contains("chunks") => "transfer-encoding: chunked\r\n\r\nb\r\n",
        () => "\r\n",
    };
    let text = format!("HTTP/1.1 200 OK\r\n{signature}{framing}part");
    let body_at = text.find("\r\n\r\n").map_or(0, |index| index + 4);
    let sent = match () {
        () if path.contains("nothing") => "",
        () if path.contains("half-head") => &text[..body_at - 4],
        () if path.contains("head") => &text[..body_at],
        () => &text,
    };
    // The agent may have given the request up.
    let _written = stream.write_all(sent.as_bytes()).await;
    if path.contains("late") {
        sleep(Duration::from_millis(50)).await;
    }
    if path.contains("reset") {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("failed to set the linger time");
    } else {
        let mut byte = [0_u8; 1];
        let _unread = stream.peek(&mut byte).await;
    }
}

/// Guards against a part of a response that callers get as a complete one: the backend server answers a request before
/// it has read its body, and breaks off while the agent still writes it.
#[gtest]
fn answer_cut_during_upload_is_a_failure() {
    actix_rt::System::new().block_on(async {
        let serve: ServeFn = Rc::new(|stream, head| Box::pin(serve_cut(stream, head)));
        let fleet = AgentFleet::start(serve).await;
        let (small, large) = (vec![b'x'; 1_024], vec![b'x'; LARGE_BYTES]);
        let (small, large) = (Bytes::from(small), Bytes::from(large));
        for framing in ["until-close", "length", "chunks"] {
            for cut in ["reset", "unread", "late-reset", "late-unread"] {
                for sent in ["nothing", "half-head", "head", "part"] {
                    let case = format!("{framing}-{sent}-{cut}");
                    expect_failure(&fleet, &case, &case, &small).await;
                }
                let case = format!("{framing}-part-{cut}");
                expect_failure(&fleet, &case, &case, &large).await;
            }
        }
    });
}

/// Writes a whole response before the request was read. One with a length is followed by a reset; one without ends with
/// the server's side of the connection, which goes on reading.
async fn serve_whole_early(mut stream: TcpStream, head: String) {
    let is_reset = head.contains("/length ");
    let framing = if is_reset {
        "content-length: 5\r\n"
    } else {
        ""
    };
    let text = format!("HTTP/1.1 200 OK\r\n{}{framing}\r\nwhole", signature(&head));
    // The agent may have given the request up.
    let _written = stream.write_all(text.as_bytes()).await;
    if is_reset {
        let mut byte = [0_u8; 1];
        let _unread = stream.peek(&mut byte).await;
        return;
    }
    let _ended = stream.shutdown().await;
    let mut unread = vec![0_u8; 64 * 1024];
    while matches!(stream.read(&mut unread).await, Ok(1..)) {}
}

/// Guards against a whole response that callers don't get because its request was still being written.
#[gtest]
fn answer_whole_before_upload_ends_is_delivered() {
    actix_rt::System::new().block_on(async {
        let serve: ServeFn = Rc::new(|stream, head| Box::pin(serve_whole_early(stream, head)));
        let fleet = AgentFleet::start(serve).await;
        for agent in &fleet.agents {
            for path in ["/safe/length", "/once/length", "/safe/end", "/once/end"] {
                let body = Bytes::from(vec![b'x'; LARGE_BYTES]);
                let result = fleet.send(agent, path, body).await;
                let answer = result.expect("the agent answers");
                expect_that!(answer.status, eq(StatusCode::OK), "{path}");
                expect_that!(answer.body, eq(&Bytes::from("whole")), "{path}");
            }
        }
    });
}

/// Guards against a response with a status that HTTP does not define, such as 000.
#[gtest]
fn answer_undefined_status_is_a_failure() {
    actix_rt::System::new().block_on(async {
        let (fleet, response) = start_responding().await;
        for status in [
            "000", "001", "099", "20", "2000", "-20", "2x0", "600", "999",
        ] {
            for rest in ["content-length: 5\r\n\r\nwhole", "\r\nwhole"] {
                let text = format!("HTTP/1.1 {status} OK\r\nSIGNED\r\n{rest}");
                expect_rejected(&fleet, &response, text).await;
            }
        }
    });
}

/// Guards against a field whose name holds a blank or a control byte: callers got its line, or a body that ended
/// elsewhere than the backend server's.
#[gtest]
fn answer_malformed_field_name_is_a_failure() {
    actix_rt::System::new().block_on(async {
        let (fleet, response) = start_responding().await;
        for byte in (0..=0x20_u8).chain([0x7f]).map(char::from) {
            for line in [
                format!("{byte}x-note: n"),
                format!("x-{byte}note: n"),
                format!("x-note{byte}: n"),
                format!("{byte}content-length: 5"),
                format!("content-{byte}length: 5"),
                format!("content-length{byte}: 5"),
            ] {
                let text = format!("HTTP/1.1 200 OK\r\nSIGNED\r\n{line}\r\n\r\nwhole");
                expect_rejected(&fleet, &response, text).await;
            }
        }
    });
}

/// Guards against a response whose body has two lengths.
#[gtest]
fn answer_two_lengths_is_a_failure() {
    actix_rt::System::new().block_on(async {
        let (fleet, response) = start_responding().await;
        for framing in [
            "content-length: 5\r\ncontent-length: 5\r\n\r\nwhole",
            "content-length: 5\r\ncontent-length: 2\r\n\r\nwhole",
            "content-length: 5, 5\r\n\r\nwhole",
            "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 15\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "content-length: 5\r\ntransfer-encoding: identity\r\n\r\nwhole",
        ] {
            let text = format!("HTTP/1.1 200 OK\r\nSIGNED\r\n{framing}");
            expect_rejected(&fleet, &response, text).await;
        }
    });
}

/// Returns all bytes that an agent sends in answer to one request on a connection that stays open.
///
/// # Panics
///
/// Panics if the agent can't be reached.
async fn read_raw_answer(fleet: &AgentFleet, agent: &AgentProcess) -> String {
    let mut stream = TcpStream::connect(agent.caller)
        .await
        .expect("failed to connect");
    let id = fleet.next_id();
    let request = format!(
        "GET /safe/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 2000\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("failed to write the request");
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _is_open = timeout(Duration::from_millis(QUIET_MS), read)
        .await
        .is_err();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a body behind a response that has none: the caller takes its bytes for the next response on the
/// connection.
#[gtest]
fn answer_body_of_bodiless_status_is_dropped() {
    actix_rt::System::new().block_on(async {
        let (fleet, response) = start_responding().await;
        for status in ["204 No Content", "304 Not Modified"] {
            for framing in [
                "content-length: 5\r\n\r\nwhole",
                "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                "\r\nwhole",
            ] {
                response.replace(format!("HTTP/1.1 {status}\r\nSIGNED\r\n{framing}"));
                for agent in &fleet.agents {
                    let answer = read_raw_answer(&fleet, agent).await;
                    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
                    let is_own_failure = answer.starts_with("HTTP/1.1 502");
                    let has_body = body.is_some_and(|body| !body.is_empty());
                    expect_that!(has_body && !is_own_failure, eq(false), "{answer:?}");
                }
            }
        }
    });
}

/// Guards against an empty body in place of the backend server's.
#[gtest]
fn answer_body_beside_upgrade_is_whole() {
    actix_rt::System::new().block_on(async {
        let (fleet, response) = start_responding().await;
        for framing in [
            "content-length: 5\r\n\r\nwhole",
            "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "\r\nwhole",
        ] {
            response.replace(format!(
                "HTTP/1.1 200 OK\r\nSIGNED\r\nupgrade: websocket\r\n{framing}"
            ));
            for agent in &fleet.agents {
                let result = fleet.send(agent, "/once/x", Bytes::new()).await;
                let answer = result.expect("the agent answers");
                expect_that!(answer.body, eq(&Bytes::from("whole")), "{framing:?}");
            }
        }
    });
}

/// Guards against a switch of protocols that no request asks for, after which the codec is in a state for another
/// protocol: the task that served the caller panicked, and the caller got no answer.
#[gtest]
fn answer_switched_protocols_is_a_failure() {
    actix_rt::System::new().block_on(async {
        let (fleet, response) = start_responding().await;
        for rest in [
            "",
            "HTTP/1.1 200 OK\r\nSIGNED\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nSIGNED\r\ncontent-length: 5\r\n\r\nwhole",
        ] {
            let text = format!("HTTP/1.1 101 Switching Protocols\r\nSIGNED\r\n\r\n{rest}");
            expect_rejected(&fleet, &response, text).await;
        }
    });
}

/// Guards against a status by which callers understand that their request has not run, in a response that does not say
/// so: they send a request that may run once again.
#[gtest]
fn answer_not_run_status_alone_is_a_failure() {
    actix_rt::System::new().block_on(async {
        let (fleet, response) = start_responding().await;
        for status in ["408 Late", "429 Many", "503 Busy"] {
            for signature in ["SIGNED\r\n", "x-request-id: ID\r\n"] {
                for framing in ["content-length: 5\r\n\r\nwhole", "\r\nwhole"] {
                    let text = format!("HTTP/1.1 {status}\r\n{signature}{framing}");
                    expect_rejected(&fleet, &response, text).await;
                }
            }
        }
    });
}

/// Sends `start`, and then `part` again and again until the connection is closed.
async fn serve_endless(mut stream: TcpStream, start: String, part: &str) {
    let block = part.repeat(1 + 16 * 1024 / part.len());
    let mut written = stream.write_all(start.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(block.as_bytes()).await;
    }
}

/// Guards against bytes without an end, in a head or in a body, which an agent keeps until it runs out of memory.
#[gtest]
fn answer_endless_bytes_is_a_failure_in_bounded_memory() {
    const STARTS: [(&str, &str); 12] = [
        ("", "no response at all "),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        ("HTTP/1.1 200 ", "reason "),
        ("HTTP/1.1 200 OK\r\nSIGNED\r\n", "x-note"),
        ("HTTP/1.1 200 OK\r\nSIGNED\r\nx-note: ", "n"),
        ("HTTP/1.1 200 OK\r\nSIGNED\r\n", "x-note: n\r\n"),
        ("HTTP/1.1 200 OK\r\nSIGNED\r\n\r\n", "body "),
        (
            "HTTP/1.1 200 OK\r\nSIGNED\r\ncontent-length: 100000000000\r\n\r\n",
            "body ",
        ),
        ("CHUNKS", "5\r\nbody \r\n"),
        ("CHUNKS5;x=", "extension"),
        ("CHUNKS5", "          "),
        ("CHUNKS0\r\n", "x-trailer: t\r\n"),
    ];
    actix_rt::System::new().block_on(async {
        let start = Rc::new(Cell::new(STARTS[0]));
        let shared = Rc::clone(&start);
        let serve: ServeFn = Rc::new(move |stream, head| {
            let (text, part) = shared.get();
            let chunks = "HTTP/1.1 200 OK\r\nSIGNED\r\ntransfer-encoding: chunked\r\n\r\n";
            let text = text.replace("CHUNKS", chunks);
            let text = text.replace("SIGNED\r\n", &signature(&head));
            Box::pin(serve_endless(stream, text, part))
        });
        let fleet = AgentFleet::start(serve).await;
        for case in STARTS {
            start.set(case);
            for agent in &fleet.agents {
                let requests = (0..ENDLESS_RESPONSES).map(|number| {
                    let route = ["safe", "once"][number % 2];
                    let path = format!("/{route}/x");
                    let fleet = &fleet;
                    async move { fleet.send(agent, &path, Bytes::new()).await }
                });
                for result in join_all(requests).await {
                    let response = result.expect("the agent answers");
                    expect_unknown_outcome(&response, &format!("{case:?}"));
                }
            }
        }
        for agent in &fleet.agents {
            let result = fleet.send(agent, GOOD_PATH, Bytes::new()).await;
            expect_that!(
                result.is_ok_and(|response| response.status == StatusCode::OK),
                eq(true)
            );
            expect_that!(agent.peak_memory_kb(), le(MEMORY_KB));
        }
    });
}
