//! An endpoint that is cut off from its agent's control address exits as planned while it works on a request.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use anyhow::Result;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_platform_standins::caller;
use jy_platform_standins::caller::CallerRequest;
use jy_platform_standins::invariants::InvariantChecker;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::InstancePlan;
use crate::owner::Owner;
use crate::owner::OwnerPlan;
use crate::record::RunRecord;

/// Time from the start of the machines to the first requests, in milliseconds, as in the site.
const LEAD_MS: u64 = 8_000;
/// Time from the start of the endpoint that exits to that of the others, in milliseconds.
const START_GAP_MS: u64 = 450;
/// Time from the start of traffic to the cut, in milliseconds.
const CUT_AT_MS: u64 = 4_000;
/// Times from the cut, in milliseconds: the endpoint drains, expects the long request, and exits, two seconds after its
/// first report that it drains.
const DRAIN_AFTER_MS: u64 = 5;
const LONG_AFTER_MS: u64 = 1_700;
const EXIT_AFTER_MS: u64 = 2_010;
/// The cut begins after a report whose answer lets the endpoint hold its keys for at least this long, in milliseconds.
/// Holds are 2,300 to 2,900 ms long.
const MIN_HOLD_MS: u64 = 2_750;
/// How long the run is watched after the exit, in milliseconds.
const WATCH_MS: u64 = 6_000;
const POLL_MS: u64 = 2;
const REQUEST_INTERVAL_MS: u64 = 30;
const TIMEOUT_MS: u64 = 1_500;
const SERVICES: [(&str, bool); 3] = [
    ("catalogue", false),
    ("registry", false),
    ("verifier", true),
];
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];
/// The instance whose endpoint exits.
const EXITING: usize = 2;

/// Sends requests with changing keys from one machine.
async fn send_requests(record: Rc<RunRecord>, machine: usize, to: SocketAddr) {
    let pool = ConnectionPool::new();
    let options = SendOptions {
        connect_timeout_ms: TIMEOUT_MS,
        response_timeout_ms: TIMEOUT_MS,
        max_idle_ms: 5_000,
        max_bytes_per_ms: None,
    };
    for number in 0_u64.. {
        let id = format!("{machine:x}-{number:x}");
        let key = (number * 7_919 + machine as u64 * 30_011) % 65_536;
        let request = caller::request(CallerRequest {
            method: &Method::GET,
            host: HOST,
            path: "/verify/x",
            id: &id,
            timeout_ms: TIMEOUT_MS,
            key: u16::try_from(key).unwrap_or_default(),
        });
        record.line(&format!("machine {machine}: {id} sent, key {key}"));
        match pool.send(to, &request, None, options).await {
            Ok(response) => record.line(&format!("{id} answered {}", response.status.as_u16())),
            Err(error) => record.line(&format!("{id}: {error}")),
        }
        sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
    }
}

/// Returns a configuration with one route, whose time limit is that of `archive-search`.
fn configuration() -> Value {
    json!({
        "version": "r1",
        "routes": {
            "columns": ["name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority",
                        "max_attempts", "service"],
            "rows": [["verify", HOST, "/verify/", "safe", TIMEOUT_MS, 600, 2, 2, "verifier"]],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "cold_start_s", "cold_per_s", "sharded"],
            "rows": [["catalogue", "/health", 110, 3.0, 1_000.0, false],
                     ["registry", "/health", 110, 3.0, 1_000.0, false],
                     ["verifier", "/health", 110, 3.0, 1_000.0, true]],
        },
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_048_576,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    })
}

/// Returns the first and the last key of a grant that the checker reports, if it is one over keys that `lifetime` holds.
fn granted_keys(text: &str, lifetime: &str) -> Option<(u16, u16)> {
    let (grant, holder) = text.split_once(" while ")?;
    let (_, keys) = grant.split_once(" was granted ")?;
    let (first, last) = keys.split_once("..=")?;
    let keys = (first.parse().ok()?, last.parse().ok()?);
    holder.starts_with(lifetime).then_some(keys)
}

/// Runs the case.
///
/// # Errors
///
/// If it can't run.
pub async fn run(
    program: &Path,
    folder: &Path,
    record: Rc<RunRecord>,
    has_trouble: bool,
) -> Result<()> {
    let mut plans = Vec::new();
    for zone in ZONES {
        for (service, is_keyed) in SERVICES {
            plans.push(InstancePlan {
                service,
                is_keyed,
                zone,
            });
        }
    }
    let fleet = Fleet::create(program, folder, &plans).await?;
    fleet.store.put("op/config", &configuration());
    let invariants = Rc::new(InvariantChecker::new());
    let mut backends = Vec::new();
    for index in 0..plans.len() {
        fleet.start_agent(index)?;
    }
    let instance = &fleet.instances[EXITING];
    let plan = OwnerPlan {
        id: "i-verifier-exiting".into(),
        service: instance.plan.service,
        zone: instance.plan.zone,
        address: instance.backend,
        agent: instance.announce,
    };
    let owner = Owner::start(plan, Rc::clone(&record), Rc::clone(&invariants)).await?;
    // The endpoints report at different times.
    sleep(Duration::from_millis(START_GAP_MS)).await;
    for index in (0..plans.len()).filter(|index| *index != EXITING) {
        backends.push(fleet.start_backend(index, 50, &invariants).await?);
    }
    sleep(Duration::from_millis(LEAD_MS)).await;
    record.line("traffic starts");
    for (index, instance) in fleet.instances.iter().enumerate() {
        actix_rt::spawn(send_requests(Rc::clone(&record), index, instance.caller));
    }
    sleep(Duration::from_millis(CUT_AT_MS)).await;
    owner.wait_for_acknowledgement().await;
    while owner.held_until().since(clock::now()) < MIN_HOLD_MS {
        owner.wait_for_acknowledgement().await;
    }
    let cut_at = clock::now();
    let sleep_until = |after| {
        sleep(Duration::from_millis(
            cut_at.plus(after).since(clock::now()),
        ))
    };
    if has_trouble {
        owner.cut_reports();
        let left_ms = owner.held_until().since(cut_at);
        record.line(&format!(
            "disruption: reports of the endpoint are lost; it holds its keys for another {left_ms} ms"
        ));
    }
    sleep_until(DRAIN_AFTER_MS).await;
    owner.drain();
    record.line("the endpoint reports that it drains");
    if has_trouble {
        sleep_until(LONG_AFTER_MS).await;
        owner.expect_long_request();
        sleep_until(EXIT_AFTER_MS).await;
        owner.exit();
        record.line(
            "without an ack, the endpoint exits: it takes no connections and finishes its work",
        );
    }
    let end = clock::now().plus(WATCH_MS);
    let mut seen = 0;
    while clock::now() < end {
        let violations = invariants.violations();
        for text in &violations[seen..] {
            let now = clock::now();
            record.line(text);
            let keys = granted_keys(text, &owner.lifetime());
            let key = owner.long_key();
            if let (Some((first, last)), Some(key)) = (keys, key)
                && first <= key
                && key <= last
                && now < owner.held_until()
            {
                let left_ms = owner.held_until().since(now);
                record.violation(&format!(
                    "OWNER: {text}; the endpoint is still at work on key {key}, and holds it for another {left_ms} ms"
                ));
            }
        }
        seen = violations.len();
        sleep(Duration::from_millis(POLL_MS)).await;
    }
    for index in 0..fleet.instances.len() {
        anyhow::ensure!(fleet.is_running(index), "an agent has ended by itself");
    }
    for backend in &backends {
        backend.crash();
    }
    Ok(())
}
