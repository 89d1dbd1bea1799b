//! An endpoint leaves, its agent is killed and starts again, and a late report of the endpoint arrives.

use std::io::Error;
use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::RESTART_DELAY;
use crate::fleet::RouteConfig;
use crate::fleet::ServiceConfig;
use crate::http::HttpMessage;
use crate::http::call;
use crate::record::Record;

const REGISTRY: ServiceConfig = ServiceConfig {
    name: "registry",
    is_sharded: false,
    slots: 6,
    work: Duration::from_millis(78),
};
const CATALOGUE: ServiceConfig = ServiceConfig {
    name: "catalogue",
    is_sharded: false,
    slots: 6,
    work: Duration::from_millis(60),
};
const LAYOUT: [(&str, ServiceConfig); 6] = [
    ("kgn-a", REGISTRY),
    ("kgn-a", CATALOGUE),
    ("kgn-b", REGISTRY),
    ("kgn-b", CATALOGUE),
    ("kgn-c", REGISTRY),
    ("kgn-c", CATALOGUE),
];
const ROUTES: [RouteConfig; 1] = [RouteConfig {
    name: "batch-register",
    service: "registry",
    is_safe: false,
    timeout_ms: 600,
    target_latency_ms: 250,
}];
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];
/// Machine whose endpoint leaves and whose agent is killed.
const LEAVING: &str = "sidecar-kgn-a-1";
/// Time from the start of the machines to the first requests.
const LEAD: Duration = Duration::from_secs(8);
const BEFORE: Duration = Duration::from_secs(4);
/// From the report that is held up to the next events.
const REPORT_TO_LEAVE: Duration = Duration::from_millis(900);
const LEAVE_TO_KILL: Duration = Duration::from_millis(200);
/// How late the report arrives.
const REPORT_DELAY: Duration = Duration::from_secs(5);
/// `drain_ms` of the settings.
const DRAIN_MS: u64 = 2_000;
/// How long the endpoint serves after the ack of its leaving.
const SERVE: Duration = Duration::from_secs(8);
/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 3_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const TIME_LIMIT: Duration = Duration::from_millis(600);
const BODY_BYTES: usize = 4_000;

/// Runs the case.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict> {
    let fleet = Fleet::start(Arc::clone(record), &LAYOUT, &ROUTES, None)?;
    let result = play(&fleet, has_trouble);
    fleet.end();
    result
}

fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict> {
    let record = &fleet.record;
    thread::sleep(LEAD);
    let requesting = Arc::clone(fleet);
    thread::spawn(move || send_requests(&requesting));
    thread::sleep(BEFORE);
    let machine = Arc::clone(fleet.machine(LEAVING)?);
    let endpoint = machine
        .endpoint()
        .ok_or_else(|| Error::other("no endpoint"))?;
    let (late_report, _) = endpoint.next_report();
    record.say("a report of the endpoint is held up");
    let control = machine.control();
    let delivering = Arc::clone(record);
    let delivery = thread::spawn(move || {
        thread::sleep(REPORT_DELAY);
        let answer = call(control, &late_report, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        delivering.say(&format!(
            "the late report arrives and is answered with {status}"
        ));
    });
    thread::sleep(REPORT_TO_LEAVE);
    if !endpoint.leave() {
        return Err(Error::other("the end of the endpoint was not acknowledged"));
    }
    let left_at_ms = record.now_ms();
    record.say("the endpoint has left; its end is acknowledged, and it serves on for some seconds");
    thread::sleep(LEAVE_TO_KILL);
    if has_trouble {
        fleet.kill_agent(&machine);
        record.say("the agent is killed");
        thread::sleep(RESTART_DELAY);
        fleet.start_agent(&machine)?;
    } else {
        thread::sleep(RESTART_DELAY);
    }
    thread::sleep(SERVE.saturating_sub(LEAVE_TO_KILL + RESTART_DELAY));
    endpoint.end();
    record.say("the endpoint exits");
    delivery.join().map_err(|_| Error::other("no delivery"))?;
    thread::sleep(TIME_LIMIT);
    let started_at_ms = *machine.started_at_ms.lock().unwrap();
    let runs = record.runs();
    let late = runs.values().flatten().filter(|(at_ms, id)| {
        let is_late = *at_ms > left_at_ms + DRAIN_MS;
        *id == endpoint.config.id && is_late && *at_ms >= started_at_ms + CONTACT_MS
    });
    let late = late.count();
    record.say(&format!(
        "{late} requests reached the endpoint later than {DRAIN_MS} ms after the ack, from an agent in touch"
    ));
    if runs.len() < 200 {
        return Err(Error::other("too few requests were run"));
    }
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests from all zones, for as long as the program runs.
fn send_requests(fleet: &Arc<Fleet>) {
    for number in 0_u64.. {
        let zone = ZONES[number as usize % ZONES.len()];
        let fleet = Arc::clone(fleet);
        thread::spawn(move || {
            let open = fleet.open_machines(zone);
            if open.is_empty() {
                return;
            }
            let machine = &open[(number / 3) as usize % open.len()];
            let id = format!("{number:08x}");
            let request = HttpMessage::request("POST", "/batch-register/new")
                .with("Host", HOST)
                .with("X-Request-Id", &id)
                .with("X-Deadline-Ms", &TIME_LIMIT.as_millis().to_string())
                .with_body(vec![b'b'; BODY_BYTES]);
            fleet.record.note(&format!("send {id} to {}", machine.name));
            let answer = call(machine.outbound(), &request, TIME_LIMIT);
            let status = answer.as_ref().map_or(0, HttpMessage::status);
            fleet.record.note(&format!("answer to {id}: {status}"));
        });
        thread::sleep(REQUEST_INTERVAL);
    }
}
