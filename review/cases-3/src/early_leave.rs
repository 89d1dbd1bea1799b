//! An endpoint starts again under its id and leaves before its first liveness report has arrived.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Result;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jy_platform_standins::operator;
use jy_platform_standins::operator::OperatorConfig;
use jy_platform_standins::operator::OperatorRoute;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet;
use crate::fleet::CFSMA_SEALS;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::owner::Owner;
use crate::owner::OwnerPlan;
use crate::wire;

const SERVICE: &str = "registry";
/// The largest share of `srv_crash` in the site file is 0.14: one of eight.
const MACHINES: usize = 8;
/// The machine whose endpoint leaves.
const LEAVING: usize = 0;
/// Requests of `batch-register`.
const WORK_MS: u64 = 78;
const TIME_LIMIT_MS: u64 = 600;
/// Time between two requests that begin on a machine: 40 a second in all.
const REQUEST_INTERVAL_MS: u64 = 200;
/// Longest time until all machines serve requests.
const START_MS: u64 = 30_000;
/// Bound `contact_ms`, and as much again.
const BEFORE_MS: u64 = 6_000;
/// How long the crashed endpoint is down.
const DOWN_MS: u64 = 2_000;
/// Delay in transit of a liveness report.
const REPORT_DELAY_MS: u64 = 5_000;
/// Time from that report to the `DELETE`.
const LEAVE_AFTER_MS: u64 = 100;
/// How often the `DELETE` is sent at most, until it is acknowledged.
const MAX_ATTEMPTS: u32 = 3;
/// How long the endpoint serves after the ack.
const SERVE_ON_MS: u64 = 8_000;
/// Bound `drain_ms`, and an allowance for the clock of this program.
const DRAIN_MS: u64 = 2_000;
const SLACK_MS: u64 = 100;

/// Plays the case. Returns whether the rule was broken.
///
/// # Errors
///
/// The I/O error if it couldn't run.
pub async fn run(has_trouble: bool, path: &Path) -> Result<bool> {
    let mut fleet = Fleet::create().await?;
    let route = OperatorRoute {
        name: "batch",
        is_idempotent: false,
        service: SERVICE,
    };
    let config = OperatorConfig {
        version: 12,
        host: HOST,
        routes: &[route],
        services: &[(SERVICE, false)],
    };
    operator::configure(&fleet.store, &config);
    fleet.start_machines(&CFSMA_SEALS, &[SERVICE; MACHINES])?;
    let mut endpoints = Vec::new();
    for machine in &fleet.machines {
        let plan = plan(&machine.name, false);
        endpoints.push(Owner::start(machine, plan, &fleet.record).await?);
    }
    let fleet = Rc::new(fleet);
    wait_until_ready(&fleet).await?;
    let statuses = Rc::new(RefCell::new(BTreeMap::<String, u16>::new()));
    for index in 0..MACHINES {
        let (fleet, statuses) = (Rc::clone(&fleet), Rc::clone(&statuses));
        actix_rt::spawn(async move {
            loop {
                let (fleet, statuses) = (Rc::clone(&fleet), Rc::clone(&statuses));
                actix_rt::spawn(async move {
                    let (id, status) = send(&fleet, index).await;
                    statuses.borrow_mut().insert(id, status);
                });
                sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
            }
        });
    }
    sleep(Duration::from_millis(BEFORE_MS)).await;
    let machine = &fleet.machines[LEAVING];
    if has_trouble {
        fleet.record.add(&format!(
            "disruption: endpoint {} crashes",
            endpoints[LEAVING].plan.id
        ));
        endpoints[LEAVING].end();
        sleep(Duration::from_millis(DOWN_MS)).await;
        fleet.record.add("it starts again under its id");
        let plan = plan(&machine.name, true);
        endpoints[LEAVING] = Owner::start(machine, plan, &fleet.record).await?;
    }
    let endpoint = &endpoints[LEAVING];
    endpoint.delay_next_report(REPORT_DELAY_MS);
    while endpoint.has_delay_pending() {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(LEAVE_AFTER_MS)).await;
    let mut attempts = 1;
    while !endpoint.leave(machine.control).await {
        if attempts == MAX_ATTEMPTS {
            return Err(std::io::Error::other("DELETE was not acknowledged"));
        }
        attempts += 1;
    }
    let acknowledged_ms = fleet.record.now_ms();
    fleet
        .record
        .add("the endpoint has sent DELETE, and its agent has acknowledged it; it serves on");
    sleep(Duration::from_millis(SERVE_ON_MS)).await;
    endpoint.end();
    fleet.record.add("the endpoint has exited");
    sleep(Duration::from_millis(2 * TIME_LIMIT_MS)).await;
    let runs = endpoint.runs();
    let late: Vec<&(u64, String)> = runs
        .iter()
        .filter(|run| run.0 > acknowledged_ms + DRAIN_MS + SLACK_MS)
        .collect();
    let statuses = statuses.borrow();
    let is_lost = |run: &&&(u64, String)| statuses.get(&run.1) != Some(&200);
    let lost = late.iter().filter(is_lost).count();
    let after_ms = |run: Option<&&(u64, String)>| run.map(|run| run.0 - acknowledged_ms);
    fleet.record.add(&format!(
        "{} requests reached the endpoint later than drain_ms after the ack, first {:?} ms, last {:?} ms after it; \
         {lost} of them were not answered with success",
        late.len(),
        after_ms(late.first()),
        after_ms(late.last()),
    ));
    fleet.record.write(path)?;
    for endpoint in &endpoints {
        endpoint.end();
    }
    Ok(!late.is_empty())
}

/// Returns what the endpoint of a machine is.
fn plan(machine: &str, is_cold: bool) -> OwnerPlan {
    OwnerPlan {
        id: format!("i-{machine}"),
        service: SERVICE,
        is_keyed: false,
        is_cold,
        work_ms: WORK_MS,
    }
}

/// Waits until each machine serves requests.
async fn wait_until_ready(fleet: &Rc<Fleet>) -> Result<()> {
    let deadline_ms = fleet.record.now_ms() + START_MS;
    for index in 0..MACHINES {
        while send(fleet, index).await.1 != 200 {
            if fleet.record.now_ms() > deadline_ms {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
    fleet.record.add("all machines serve requests");
    Ok(())
}

/// Sends a request on a new connection. Returns its id and the status of its answer; zero if there is none.
async fn send(fleet: &Fleet, index: usize) -> (String, u16) {
    let id = fleet.next_id();
    let machine = &fleet.machines[index];
    let exchange = async {
        let mut stream = wire::connect(machine.outbound, 0).await?;
        let text = fleet::request_head("POST", "/batch/register", &id, TIME_LIMIT_MS, 0);
        stream.write_all(text.as_bytes()).await?;
        wire::read_head(&mut stream).await
    };
    let answer = timeout(Duration::from_millis(TIME_LIMIT_MS), exchange).await;
    let head = answer.ok().and_then(Result::ok).flatten();
    let status = head.map_or(0, |head| head.status());
    fleet.record.add(&format!(
        "requester on {}: id={id} status={status}",
        machine.name
    ));
    (id, status)
}
