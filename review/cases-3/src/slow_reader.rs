//! A machine is stopped by SIGTERM while requesters read their answers slowly.

use std::io::Result;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jy_platform_standins::operator::OperatorLimits;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::RunFn;
use crate::wire;

/// Time limit of the requests and of their route, as of `press-reserve`.
const TIME_LIMIT_MS: u64 = 5_000;
/// Work of a request, as of `press-reserve`.
const WORK_MS: u64 = 250;
const ANSWER_BYTES: usize = 3_500_000;
/// Time in which a slow requester reads its answer, at a steady rate.
const READ_MS: u64 = 4_200;
const READ_STEP_MS: u64 = 20;
/// Receive buffer of a slow requester.
const RECEIVE_BYTES: u32 = 32 * 1024;
/// When the requests are sent, after SIGTERM.
const SENT_MS: [u64; 4] = [500, 1_300, 1_400, 1_450];

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
    let work: RunFn = Rc::new(|mut stream, head| {
        Box::pin(async move {
            let left_bytes = head.body_bytes().saturating_sub(head.rest.len());
            fleet::read_rest(&mut stream, left_bytes).await.ok()?;
            sleep(Duration::from_millis(WORK_MS)).await;
            let text = fleet::answer_head(&head, ANSWER_BYTES);
            stream.write_all(text.as_bytes()).await.ok()?;
            stream.write_all(&vec![b'a'; ANSWER_BYTES]).await.ok()?;
            Some(stream)
        })
    });
    let fleet = Rc::new(Fleet::start(3, limits, 0, work).await?);
    let mut streams = Vec::new();
    for _ in SENT_MS {
        let stream = wire::connect(fleet.machines[0].outbound, RECEIVE_BYTES).await?;
        streams.push(fleet.open(stream).await?);
    }
    let stopped_at = fleet.record.now_ms();
    fleet
        .record
        .add(&format!("SIGTERM to {}", fleet.machines[0].outbound));
    fleet.machines[0].signal(Signal::TERM)?;
    let requesters = streams.into_iter().zip(SENT_MS).map(|(stream, sent_ms)| {
        let fleet = Rc::clone(&fleet);
        actix_rt::spawn(
            async move { request(&fleet, stream, stopped_at + sent_ms, has_trouble).await },
        )
    });
    let mut cut = 0;
    for requester in requesters.collect::<Vec<_>>() {
        let is_cut = requester.await.map_err(std::io::Error::other)?;
        cut += u32::from(is_cut);
    }
    fleet.record.add(&format!("{cut} answers were cut"));
    fleet.record.write(path)?;
    Ok(cut > 0)
}

/// Sends a request at a time and reads its answer. Returns whether the connection ended before the answer was complete,
/// within the time limit.
async fn request(fleet: &Fleet, stream: TcpStream, sent_at: u64, is_slow: bool) -> bool {
    let record = &fleet.record;
    sleep(Duration::from_millis(
        sent_at.saturating_sub(record.now_ms()),
    ))
    .await;
    let id = fleet.next_id();
    let limit = Duration::from_millis(TIME_LIMIT_MS);
    let started_at = record.now_ms();
    record.add(&format!(
        "requester sends POST /press/slot id={id} deadline_ms={TIME_LIMIT_MS}"
    ));
    let (end, is_cut) = match timeout(limit, exchange(stream, &id, is_slow)).await {
        Ok(Ok((status, read_bytes, length))) => {
            let is_cut = status != 0 && read_bytes < length;
            (
                format!("status={status} read={read_bytes} of {length}"),
                is_cut,
            )
        }
        Ok(Err(error)) => (format!("connection failed: {error}"), true),
        Err(_) => ("time limit reached".into(), false),
    };
    let elapsed_ms = record.now_ms() - started_at;
    record.add(&format!(
        "requester id={id} after {elapsed_ms} ms: {end} cut={is_cut}"
    ));
    is_cut
}

/// Sends a request and reads its answer. Returns the status, and how many bytes of the body were read and stated.
async fn exchange(stream: TcpStream, id: &str, is_slow: bool) -> Result<(u16, usize, usize)> {
    let mut stream = stream;
    let body = "slot=7";
    let mut text = fleet::request_head("POST", "/press/slot", id, TIME_LIMIT_MS, body.len());
    text.push_str(body);
    stream.write_all(text.as_bytes()).await?;
    let Some(head) = wire::read_head(&mut stream).await? else {
        return Ok((0, 0, 0));
    };
    let length = head.body_bytes();
    let mut read_bytes = head.rest.len();
    let step_bytes = if is_slow {
        length * READ_STEP_MS as usize / READ_MS as usize + 1
    } else {
        length
    };
    let mut buffer = vec![0_u8; 64 * 1024];
    let started = tokio::time::Instant::now();
    let mut steps = 0;
    while read_bytes < length {
        steps += 1;
        if is_slow {
            tokio::time::sleep_until(started + Duration::from_millis(READ_STEP_MS * steps)).await;
        }
        let mut wanted = step_bytes.min(length - read_bytes);
        while wanted > 0 {
            let size = wanted.min(buffer.len());
            let count = match stream.read(&mut buffer[..size]).await {
                Ok(0) | Err(_) => return Ok((head.status(), read_bytes, length)),
                Ok(count) => count,
            };
            wanted -= count;
            read_bytes += count;
        }
    }
    Ok((head.status(), read_bytes, length))
}
