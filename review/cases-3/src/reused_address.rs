//! An endpoint that holds keys falls silent, and its address goes to an endpoint of another service.

use std::cell::RefCell;
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

const VERIFIER: &str = "verifier";
const CATALOGUE: &str = "catalogue";
/// Service of each machine, one of each in every zone.
const MACHINES: [&str; 6] = [
    VERIFIER, VERIFIER, VERIFIER, CATALOGUE, CATALOGUE, CATALOGUE,
];
/// Requests of `serial-verify`: work, time limit, number of things and the exponent of their Zipf distribution.
const WORK_MS: u64 = 150;
const TIME_LIMIT_MS: u64 = 1_000;
const THINGS: u32 = 60_000;
const SKEW: f64 = 0.869_781_733;
/// Time between two requests that begin on a machine: 20 a second in all, of the 51 that the verifiers of the site get.
const REQUEST_INTERVAL_MS: u64 = 300;
/// Longest time until the endpoints hold their keys.
const START_MS: u64 = 30_000;
/// Time of traffic before the disruption.
const BEFORE_MS: u64 = 5_000;
/// Time from the crash to the next use of the address: `reuse_delay_s` is 2.
const REUSE_MS: u64 = 2_100;
/// Bound `recovery_s`, and how long requests are judged after it.
const RECOVERY_MS: u64 = 15_000;
const JUDGED_MS: u64 = 10_000;
/// The rule: less than one request in this many is served.
const LEAST_SHARE: usize = 4;

/// When a request was sent, and whether it was served.
type Outcome = (u64, bool);

/// Draws the keys of requests.
struct KeyChooser {
    /// For each thing, the share of requests that are about it or a busier one.
    shares: Vec<f64>,
    state: u64,
}

impl KeyChooser {
    fn new() -> Self {
        let mut sum = 0.0;
        let weights = (1..=THINGS).map(|rank| f64::from(rank).powf(-SKEW));
        let sums: Vec<f64> = weights
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
        Self {
            shares: sums.iter().map(|part| part / sum).collect(),
            state: 1,
        }
    }

    /// Returns the key of the next request. Busy keys are close to one another.
    fn next(&mut self) -> u16 {
        // The step of `splitmix64`.
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        let draw = f64::from((bits >> 32) as u32) / f64::from(u32::MAX);
        let thing = self.shares.partition_point(|share| *share < draw);
        let key = thing * usize::from(u16::MAX) / THINGS as usize;
        u16::try_from(key).unwrap_or(u16::MAX)
    }
}

/// Plays the case. Returns whether the rule was broken.
///
/// # Errors
///
/// The I/O error if it couldn't run.
pub async fn run(has_trouble: bool, path: &Path) -> Result<bool> {
    let mut fleet = Fleet::create().await?;
    configure(&fleet);
    fleet.start_machines(&CFSMA_SEALS, &MACHINES)?;
    let mut owners = Vec::new();
    for (machine, service) in fleet.machines.iter().zip(MACHINES) {
        let plan = OwnerPlan {
            id: format!("i-{}", machine.name),
            service,
            is_keyed: service == VERIFIER,
            is_cold: false,
            work_ms: WORK_MS,
        };
        owners.push(Owner::start(machine, plan, &fleet.record).await?);
    }
    let fleet = Rc::new(fleet);
    wait_until_ready(&fleet).await?;
    let outcomes = Rc::new(RefCell::new(Vec::<Outcome>::new()));
    let keys = Rc::new(RefCell::new(KeyChooser::new()));
    for index in 0..fleet.machines.len() {
        let (fleet, keys) = (Rc::clone(&fleet), Rc::clone(&keys));
        let outcomes = Rc::clone(&outcomes);
        actix_rt::spawn(async move {
            loop {
                let (fleet, outcomes) = (Rc::clone(&fleet), Rc::clone(&outcomes));
                let key = keys.borrow_mut().next();
                actix_rt::spawn(async move {
                    let sent_ms = fleet.record.now_ms();
                    let is_served = send(&fleet, index, key).await;
                    outcomes.borrow_mut().push((sent_ms, is_served));
                });
                sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
            }
        });
    }
    sleep(Duration::from_millis(BEFORE_MS)).await;
    // The owner of the busiest keys.
    let index = owners.iter().position(|owner| owner.holds(0));
    let index = index.ok_or(std::io::ErrorKind::NotFound)?;
    let fault_ms = fleet.record.now_ms();
    let mut replacement = None;
    if has_trouble {
        let id = &owners[index].plan.id;
        fleet.record.add(&format!(
            "disruption: endpoint {id} crashes for good and falls silent"
        ));
        owners[index].fall_silent();
        sleep(Duration::from_millis(REUSE_MS)).await;
        let machine = &fleet.machines[index];
        let plan = OwnerPlan {
            id: format!("i-{}-next", machine.name),
            service: CATALOGUE,
            is_keyed: false,
            is_cold: true,
            work_ms: WORK_MS,
        };
        fleet.record.add(&format!(
            "disruption: the address goes to endpoint {} of {CATALOGUE}, and the settings of the machine say so",
            plan.id
        ));
        machine.write_settings(CATALOGUE)?;
        // At no moment does the address refuse connections, as a host that is gone does not.
        let listener = owners[index].hand_over();
        let listener = listener.ok_or(std::io::ErrorKind::NotConnected)?;
        replacement = Some(Owner::start_on(listener, machine, plan, &fleet.record));
    }
    let judged_from_ms = fleet.record.now_ms() + RECOVERY_MS;
    let judged_until_ms = judged_from_ms + JUDGED_MS;
    sleep(Duration::from_millis(RECOVERY_MS + JUDGED_MS)).await;
    // Requests that are still unanswered end by their time limit.
    sleep(Duration::from_millis(2 * TIME_LIMIT_MS)).await;
    let count = |from_ms, until_ms| {
        let outcomes = outcomes.borrow();
        let within = outcomes
            .iter()
            .filter(|outcome| (from_ms..until_ms).contains(&outcome.0));
        let served = within.clone().filter(|outcome| outcome.1).count();
        (served, within.count())
    };
    let before = count(0, fault_ms);
    let after = count(judged_from_ms, judged_until_ms);
    for (name, (served, sent)) in [("before", before), ("later than recovery_s", after)] {
        fleet
            .record
            .add(&format!("{name}: {served} of {sent} requests were served"));
    }
    fleet.record.write(path)?;
    for owner in owners.iter().chain(&replacement) {
        owner.end();
    }
    if before.0 * LEAST_SHARE < before.1 || after.1 == 0 {
        return Err(std::io::Error::other("too few requests were served before"));
    }
    Ok(after.0 * LEAST_SHARE < after.1)
}

/// Writes the configuration into the store.
fn configure(fleet: &Fleet) {
    let route = |name, service| OperatorRoute {
        name,
        is_idempotent: true,
        service,
    };
    let config = OperatorConfig {
        version: 12,
        host: HOST,
        routes: &[route("verify", VERIFIER), route("design", CATALOGUE)],
        services: &[(VERIFIER, true), (CATALOGUE, false)],
    };
    operator::configure(&fleet.store, &config);
}

/// Waits until keys all over the range are served through each machine, and the machines are in touch.
async fn wait_until_ready(fleet: &Rc<Fleet>) -> Result<()> {
    let deadline_ms = fleet.record.now_ms() + START_MS;
    for index in 0..fleet.machines.len() {
        for key in (0..=u16::MAX).step_by(8_000) {
            while !send(fleet, index, key).await {
                if fleet.record.now_ms() > deadline_ms {
                    return Err(std::io::ErrorKind::TimedOut.into());
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
    }
    fleet
        .record
        .add("all machines serve requests and are in touch");
    Ok(())
}

/// Sends a request on a new connection. Returns whether it was served.
async fn send(fleet: &Fleet, index: usize, key: u16) -> bool {
    let id = fleet.next_id();
    let machine = &fleet.machines[index];
    let exchange = async {
        let mut stream = wire::connect(machine.outbound, 0).await?;
        let text = fleet::request_head("GET", "/verify/serial", &id, TIME_LIMIT_MS, 0);
        let text = text.replace("\r\n\r\n", &format!("\r\nX-Shard-Key: {key}\r\n\r\n"));
        stream.write_all(text.as_bytes()).await?;
        wire::read_head(&mut stream).await
    };
    let answer = timeout(Duration::from_millis(TIME_LIMIT_MS), exchange).await;
    let head = answer.ok().and_then(Result::ok).flatten();
    let status = head.as_ref().map_or(0, |head| head.status());
    fleet.record.add(&format!(
        "requester on {}: id={id} key={key} status={status}",
        machine.name
    ));
    let has_seal = head.is_some_and(|head| head.field("x-response-seal").is_some());
    status == 200 && has_seal
}
