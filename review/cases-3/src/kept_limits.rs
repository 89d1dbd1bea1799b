//! The operator raises `max_body_bytes` while requesters keep idle connections.

use std::io::Result;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jy_platform_standins::operator::OperatorLimits;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::RunFn;
use crate::wire;

/// Time limit of the requests and of their route, as of `order-place`.
const TIME_LIMIT_MS: u64 = 3_000;
const WORK_MS: u64 = 130;
/// Largest body by the first configuration, and by the later one.
const FIRST_MAX_BYTES: u64 = 65_536;
const LATER_MAX_BYTES: u64 = 1_048_576;
const BODY_BYTES: usize = 200_000;
/// Connections that are kept, over all machines.
const CONNECTIONS: usize = 12;
/// Time from the acknowledgement of the later configuration to the requests: `config_apply_ms` and as much again.
const APPLY_MS: u64 = 2_500;
/// The rule allows this many answers of the kind, and one in this many requests.
const MAX_DENIED: u64 = 5;
const MAX_DENIED_SHARE: u64 = 500;

/// Plays the case. Returns whether the rule was broken.
///
/// # Errors
///
/// The I/O error if it couldn't run.
pub async fn run(has_trouble: bool, path: &Path) -> Result<bool> {
    let limits = |max_body_bytes| OperatorLimits {
        timeout_ms: TIME_LIMIT_MS,
        max_body_bytes,
        ..OperatorLimits::new()
    };
    let work: RunFn = Rc::new(|mut stream, head| {
        Box::pin(async move {
            let left_bytes = head.body_bytes().saturating_sub(head.rest.len());
            fleet::read_rest(&mut stream, left_bytes).await.ok()?;
            sleep(Duration::from_millis(WORK_MS)).await;
            let text = fleet::answer_head(&head, 4) + "done";
            stream.write_all(text.as_bytes()).await.ok()?;
            Some(stream)
        })
    });
    let first_max_bytes = if has_trouble {
        FIRST_MAX_BYTES
    } else {
        LATER_MAX_BYTES
    };
    let fleet = Rc::new(Fleet::start(3, limits(first_max_bytes), 0, work).await?);
    let mut kept = Vec::new();
    for index in 0..CONNECTIONS {
        let machine = &fleet.machines[index % fleet.machines.len()];
        let stream = wire::connect(machine.outbound, 0).await?;
        kept.push((index, fleet.open(stream).await?));
    }
    if has_trouble {
        fleet.configure(13, limits(LATER_MAX_BYTES));
        fleet.record.add(&format!(
            "operator: r13 acknowledged, max_body_bytes={LATER_MAX_BYTES}"
        ));
    }
    sleep(Duration::from_millis(2 * APPLY_MS)).await;
    let mut requesters = Vec::new();
    for (index, stream) in kept {
        let fleet = Rc::clone(&fleet);
        requesters.push(actix_rt::spawn(async move {
            let new = wire::connect(fleet.machines[index % fleet.machines.len()].outbound, 0).await;
            let on_new = match new {
                Ok(stream) => send(&fleet, stream, "new").await,
                Err(_) => 0,
            };
            (send(&fleet, stream, "kept").await, on_new)
        }));
    }
    let is_denied =
        |status: u16| (300..500).contains(&status) && ![408, 421, 429].contains(&status);
    let (mut denied, mut served_on_new) = (0, 0);
    for requester in requesters {
        let (on_kept, on_new) = requester.await.map_err(std::io::Error::other)?;
        denied += u64::from(is_denied(on_kept)) + u64::from(is_denied(on_new));
        served_on_new += u64::from(on_new == 200);
    }
    let requests = fleet.sent();
    fleet.record.add(&format!(
        "{denied} of {requests} requests were denied; {served_on_new} of {CONNECTIONS} on new connections were served"
    ));
    fleet.record.write(path)?;
    Ok(denied > MAX_DENIED + requests / MAX_DENIED_SHARE)
}

/// Sends a request on a connection, and returns the status of its answer; zero if there is none.
async fn send(fleet: &Fleet, stream: TcpStream, kind: &str) -> u16 {
    let id = fleet.next_id();
    fleet.record.add(&format!(
        "requester sends POST /press/order id={id} body={BODY_BYTES} on a {kind} connection"
    ));
    let limit = Duration::from_millis(TIME_LIMIT_MS);
    let result = timeout(limit, exchange(stream, &id)).await;
    let status = result.map_or(0, Result::unwrap_or_default);
    fleet
        .record
        .add(&format!("requester id={id}: status={status}"));
    status
}

/// Sends a request and returns the status of its answer; zero if the connection ends without one.
async fn exchange(stream: TcpStream, id: &str) -> Result<u16> {
    let (mut reader, mut writer) = stream.into_split();
    let text = fleet::request_head("POST", "/press/order", id, TIME_LIMIT_MS, BODY_BYTES);
    // An answer may come before the whole body is sent.
    let writing = actix_rt::spawn(async move {
        let _is_sent = writer.write_all(text.as_bytes()).await.is_ok()
            && writer.write_all(&vec![b'b'; BODY_BYTES]).await.is_ok();
        writer
    });
    let head = wire::read_head(&mut reader).await;
    writing.abort();
    Ok(head?.map_or(0, |head| head.status()))
}
