//! What callers get of an agent that is stopped as planned, while its backend server goes on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use jy_kernel::clock;
use jy_types::time::Millis;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fleet::AgentFleet;
use crate::fleet::AgentProcess;
use crate::fleet::GRACE_S;
use crate::fleet::HOST;
use crate::fleet::ServeFn;
use crate::fleet::request_id;
use crate::fleet::whole_response;

/// Body of an upload.
const BODY: &str = "0123456789";
/// Time of the request that keeps the agent running to the end of the grace time, in milliseconds after SIGTERM.
const LONG_REQUEST_MS: u64 = 1_600;
/// Times of an upload's first and last bytes, in milliseconds after SIGTERM. All begin while the agent accepts requests, for
/// 2.5 s. They end before that is over, after it, and so late that the backend server is at work at the end of the grace
/// time.
const UPLOADS_MS: [(u64, u64); 4] = [(500, 1_500), (2_200, 3_000), (2_200, 4_000), (2_200, 5_000)];
/// Time that the backend server works on an upload, in milliseconds.
const WORK_MS: u64 = 1_000;
/// Time limit of the long request, in milliseconds: it ends after the grace time.
const LONG_TIMEOUT_MS: u64 = 4_000;
/// Pause between the requests on a kept connection, in milliseconds.
const KEPT_PAUSE_MS: u64 = 10;
/// Time limit of an upload, in milliseconds.
const UPLOAD_TIMEOUT_MS: u64 = 2_000;

/// An answer to a caller, or `None` if the connection ended before it was complete.
type CallerAnswer = Option<String>;

/// Answers a request after the time that its path names in milliseconds.
async fn serve_after(mut stream: TcpStream, head: String) {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let work_ms = path.rsplit('-').next().and_then(|text| text.parse().ok());
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.parse().ok()).flatten()
    });
    let mut body = vec![0_u8; length.unwrap_or_default()];
    // The agent may have closed the connection; the response is then not needed.
    let _body = stream.read_exact(&mut body).await;
    sleep(Duration::from_millis(work_ms.unwrap_or_default())).await;
    let _written = stream.write_all(whole_response(&head).as_bytes()).await;
}

/// Reads one response with a length.
async fn read_answer(stream: &mut TcpStream) -> CallerAnswer {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let value = line.strip_prefix("content-length: ")?;
                value.parse::<usize>().ok()
            });
            if length.is_some_and(|length| body.len() >= length) {
                return Some(text);
            }
        }
        if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
            return None;
        }
    }
}

/// Sends a request whose head is `head` and whose body is [`BODY`], which ends at `end_at`.
///
/// # Panics
///
/// Panics if the agent can't be reached.
async fn upload(to: SocketAddr, head: String, end_at: Millis) -> CallerAnswer {
    let mut stream = TcpStream::connect(to).await.expect("failed to connect");
    let (first, last) = BODY.split_at(BODY.len() / 2);
    let length = BODY.len();
    let start = format!("{head}content-length: {length}\r\n\r\n{first}");
    stream
        .write_all(start.as_bytes())
        .await
        .expect("failed to write the request");
    sleep(Duration::from_millis(end_at.since(clock::now()))).await;
    // The agent may have closed the connection; the answer is then missing.
    let _written = stream.write_all(last.as_bytes()).await;
    read_answer(&mut stream).await
}

/// Sends requests one after the other on one connection until the agent closes it. Returns the ids of all requests, each
/// with its answer.
///
/// # Panics
///
/// Panics if the agent can't be reached.
async fn keep_sending(fleet: &AgentFleet, to: SocketAddr) -> Vec<(String, CallerAnswer)> {
    let mut stream = TcpStream::connect(to).await.expect("failed to connect");
    let mut answers = Vec::new();
    loop {
        let id = fleet.next_id();
        let request = format!(
            "GET /once/work-20 HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\n\r\n"
        );
        let written = stream.write_all(request.as_bytes()).await;
        let answer = if written.is_ok() {
            read_answer(&mut stream).await
        } else {
            None
        };
        let is_closed = answer
            .as_ref()
            .is_none_or(|answer| answer.contains("connection: close"));
        answers.push((id, answer));
        if is_closed {
            return answers;
        }
        sleep(Duration::from_millis(KEPT_PAUSE_MS)).await;
    }
}

/// Checks that a request which reached the backend server has its answer, and that any other is refused as not run or has
/// no answer.
fn expect_not_cut(reached: &[&str], case: &str, id: &str, answer: &CallerAnswer) {
    let status = answer.as_ref().map(|answer| &answer[9..12]);
    let expected: &[Option<&str>] = if reached.contains(&id) {
        &[Some("200")]
    } else {
        &[Some("503"), None]
    };
    expect_that!(expected.contains(&status), eq(true), "{case}: {answer:?}");
}

/// Returns the head of a request, without its end, that another agent passes on.
fn forwarded_head(path: &str, id: &str, left_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: {left_ms}\r\n\
         jy-forwarded: 1\r\njy-route: once\r\njy-service: s\r\njy-origin: front\r\njy-left-ms: {left_ms}\r\n\
         jy-objective-ms: {left_ms}\r\n"
    )
}

/// Returns the head of a caller's request, without its end.
fn caller_head(path: &str, id: &str, left_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: {left_ms}\r\n"
    )
}

/// Stops an agent to whose address `to` requests with heads of `build_head` are sent, in such a way that their last byte
/// arrives at different times, and requests of callers on a kept connection. Checks that none of them is cut.
fn expect_stop_without_cuts(
    stopped: usize,
    to: impl Fn(&AgentProcess) -> SocketAddr,
    build_head: impl Fn(&str, &str, u64) -> String,
) {
    actix_rt::System::new().block_on(async {
        let serve: ServeFn = Rc::new(|stream, head| Box::pin(serve_after(stream, head)));
        let fleet = AgentFleet::start(serve).await;
        let agent = &fleet.agents[stopped];
        let to = to(agent);
        let stopped_at = clock::now();
        agent.signal(Signal::TERM);
        let uploads = UPLOADS_MS.map(|(start_ms, end_ms)| {
            let id = fleet.next_id();
            let head = build_head(&format!("/once/work-{WORK_MS}"), &id, UPLOAD_TIMEOUT_MS);
            async move {
                sleep(Duration::from_millis(start_ms)).await;
                let answer = upload(to, head, stopped_at.plus(end_ms)).await;
                (format!("ended after {end_ms} ms"), id, answer)
            }
        });
        let long_head = build_head("/once/work-10000", &fleet.next_id(), LONG_TIMEOUT_MS);
        let long_request = async {
            let end_at = stopped_at.plus(LONG_REQUEST_MS);
            sleep(Duration::from_millis(end_at.since(clock::now()))).await;
            // It is unfinished at the end of the grace time.
            upload(to, long_head, end_at).await
        };
        let (uploads, _long_answer, kept) = tokio::join!(
            join_all(uploads),
            long_request,
            keep_sending(&fleet, agent.caller)
        );
        let requests = fleet.requests.take();
        let reached: Vec<&str> = requests.iter().map(|head| request_id(head)).collect();
        for (case, id, answer) in uploads {
            expect_not_cut(&reached, &case, &id, &answer);
        }
        for (id, answer) in kept {
            expect_not_cut(&reached, "on a kept connection", &id, &answer);
        }
        let deadline = stopped_at.plus(GRACE_S * 1_000);
        while agent.is_running() && clock::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }
        expect_that!(agent.is_running(), eq(false), "{}", agent.log());
        expect_that!(
            clock::now().since(stopped_at),
            ge(GRACE_S * 800),
            "the long request keeps it running"
        );
    });
}

/// Guards against callers' requests that an agent reads so late after SIGTERM that it ends while a backend server works on
/// them: they were passed on, and answered as of unknown outcome at the end.
#[gtest]
fn stop_late_requests_of_callers_are_not_cut() {
    expect_stop_without_cuts(0, |agent| agent.caller, caller_head);
}

/// The same for requests that another agent has passed on.
#[gtest]
fn stop_late_requests_of_agents_are_not_cut() {
    expect_stop_without_cuts(1, |agent| agent.gate, forwarded_head);
}

/// Guards against a request that another agent reports as not run, or as answered, when the agent that has passed it to
/// the backend server is killed.
#[gtest]
fn kill_agent_of_running_request_is_a_failure() {
    actix_rt::System::new().block_on(async {
        let serve: ServeFn = Rc::new(|stream, head| Box::pin(serve_after(stream, head)));
        let fleet = AgentFleet::start(serve).await;
        let [gateway, killed] = &fleet.agents;
        let kill = async {
            while fleet.requests.borrow().is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
            killed.signal(Signal::KILL);
        };
        let body = Bytes::from(vec![b'x'; 1024 * 1024]);
        let (result, ()) = tokio::join!(fleet.send(gateway, "/once/work-1000", body), kill);
        let status = result.map(|response| response.status.as_u16());
        expect_that!(status, ok(eq(&502)));
        expect_that!(fleet.requests.borrow().len(), eq(1));
    });
}
