//! An endpoint reads the body of a request slowly while the machine that took the request is stopped by SIGTERM.

use std::io::Result;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jy_platform_standins::operator::OperatorLimits;
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::RunFn;
use crate::wire;

/// Time limit of the requests and of their route, as of `press-reserve`.
const TIME_LIMIT_MS: u64 = 5_000;
/// Work of a request. A slow endpoint does it after it has read a part of the body, any other after the whole.
const WORK_MS: u64 = 2_000;
const BODY_BYTES: usize = 900_000;
/// Bytes that a slow endpoint reads before its work.
const FIRST_BYTES: usize = 64 * 1024;
/// Receive buffer of an endpoint.
const RECEIVE_BYTES: u32 = 64 * 1024;
/// When the requests are sent, after SIGTERM.
const SENT_MS: [u64; 3] = [200, 300, 400];

/// Plays the case. Returns whether the rule was broken.
///
/// # Errors
///
/// The I/O error if it couldn't run.
pub async fn run(has_trouble: bool, path: &Path) -> Result<bool> {
    let limits = OperatorLimits {
        timeout_ms: TIME_LIMIT_MS,
        ..OperatorLimits::new()
    };
    let work: RunFn = Rc::new(move |mut stream, head| {
        Box::pin(async move {
            let mut left_bytes = head.body_bytes().saturating_sub(head.rest.len());
            if has_trouble {
                let first_bytes = FIRST_BYTES.min(left_bytes);
                fleet::read_rest(&mut stream, first_bytes).await.ok()?;
                left_bytes -= first_bytes;
                sleep(Duration::from_millis(WORK_MS)).await;
                fleet::read_rest(&mut stream, left_bytes).await.ok()?;
            } else {
                fleet::read_rest(&mut stream, left_bytes).await.ok()?;
                sleep(Duration::from_millis(WORK_MS)).await;
            }
            let text = fleet::answer_head(&head, 4) + "done";
            stream.write_all(text.as_bytes()).await.ok()?;
            Some(stream)
        })
    });
    let fleet = Rc::new(Fleet::start(3, limits, RECEIVE_BYTES, work).await?);
    let stopped_at = fleet.record.now_ms();
    fleet
        .record
        .add(&format!("SIGTERM to {}", fleet.machines[0].outbound));
    fleet.machines[0].signal(Signal::TERM)?;
    let requesters = SENT_MS.map(|sent_ms| {
        let fleet = Rc::clone(&fleet);
        actix_rt::spawn(async move { request(&fleet, stopped_at + sent_ms).await })
    });
    let mut broken_off = 0;
    for requester in requesters {
        let is_broken_off = requester.await.map_err(std::io::Error::other)?;
        broken_off += u32::from(is_broken_off);
    }
    fleet
        .record
        .add(&format!("{broken_off} requests were broken off"));
    fleet.record.write(path)?;
    Ok(broken_off > 0)
}

/// Sends a request at a time. Returns whether it was broken off within the time limit.
async fn request(fleet: &Fleet, sent_at: u64) -> bool {
    let record = &fleet.record;
    sleep(Duration::from_millis(
        sent_at.saturating_sub(record.now_ms()),
    ))
    .await;
    let id = fleet.next_id();
    let started_at = record.now_ms();
    record.add(&format!(
        "requester sends POST /press/slot id={id} deadline_ms={TIME_LIMIT_MS} body={BODY_BYTES}"
    ));
    let limit = Duration::from_millis(TIME_LIMIT_MS);
    let result = timeout(limit, exchange(fleet, &id)).await;
    let (end, is_broken_off) = match result {
        // These statuses promise that the request has not run, and say when to come back.
        Ok(Ok(status @ (200 | 429 | 503))) => (format!("status={status}"), false),
        Ok(Ok(status)) => (format!("status={status}"), true),
        Ok(Err(error)) => (format!("connection failed: {error}"), true),
        Err(_) => ("time limit reached".into(), false),
    };
    let elapsed_ms = record.now_ms() - started_at;
    record.add(&format!(
        "requester id={id} after {elapsed_ms} ms: {end} broken_off={is_broken_off}"
    ));
    is_broken_off
}

/// Sends a request and returns the status of its answer; zero if the connection ends without one.
async fn exchange(fleet: &Fleet, id: &str) -> Result<u16> {
    let mut stream = wire::connect(fleet.machines[0].outbound, 0).await?;
    let text = fleet::request_head("POST", "/press/slot", id, TIME_LIMIT_MS, BODY_BYTES);
    stream.write_all(text.as_bytes()).await?;
    stream.write_all(&vec![b'b'; BODY_BYTES]).await?;
    let head = wire::read_head(&mut stream).await?;
    Ok(head.map_or(0, |head| head.status()))
}
