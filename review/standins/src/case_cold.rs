//! A busy endpoint turns cold again between two of its liveness reports.

use std::io::Error;
use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::endpoint::MAX_COLD_PER_SECOND;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::RouteConfig;
use crate::fleet::ServiceConfig;
use crate::http::HttpMessage;
use crate::http::call;
use crate::record::Record;

const CATALOGUE: ServiceConfig = ServiceConfig {
    name: "catalogue",
    is_sharded: false,
    slots: 6,
    work: Duration::from_millis(60),
};
const REGISTRY: ServiceConfig = ServiceConfig {
    name: "registry",
    is_sharded: false,
    slots: 6,
    work: Duration::from_millis(78),
};
const LAYOUT: [(&str, ServiceConfig); 6] = [
    ("kgn-a", CATALOGUE),
    ("kgn-a", REGISTRY),
    ("kgn-b", CATALOGUE),
    ("kgn-b", REGISTRY),
    ("kgn-c", CATALOGUE),
    ("kgn-c", REGISTRY),
];
/// Both go to the catalogue, as the site allows at times.
const ROUTES: [RouteConfig; 2] = [
    RouteConfig {
        name: "design-lookup",
        service: "catalogue",
        is_safe: true,
        timeout_ms: 500,
        target_latency_ms: 200,
    },
    RouteConfig {
        name: "batch-register",
        service: "catalogue",
        is_safe: false,
        timeout_ms: 600,
        target_latency_ms: 250,
    },
];
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];
/// Machine whose endpoint turns cold.
const COLD: &str = "sidecar-kgn-a-1";
/// Time from the start of the machines to the first requests.
const LEAD: Duration = Duration::from_secs(8);
const BEFORE: Duration = Duration::from_secs(4);
/// `cold_start_s` of the site.
const COLD_TIME: Duration = Duration::from_secs(3);
/// The rates of the site: 76 design lookups and 40.6 registrations a second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(8_576);
/// Every so many requests, one is a registration.
const REGISTER_EVERY: u64 = 3;
/// `cold_per_s` x `cold_factor` + `cold_slack`: 14 x 1.5 + 5. The endpoint crashes above it.
const MAX_PER_SECOND: usize = MAX_COLD_PER_SECOND;

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
    let endpoint = fleet.machine(COLD)?.endpoint();
    let endpoint = endpoint.ok_or_else(|| Error::other("no endpoint"))?;
    if has_trouble {
        endpoint.turn_cold(COLD_TIME);
        record.say("the endpoint turns cold");
    }
    thread::sleep(COLD_TIME);
    let most = endpoint.most_cold_arrivals();
    record.say(&format!(
        "{most} requests reached the cold endpoint in one second; {MAX_PER_SECOND} are allowed"
    ));
    let runs = record.runs().len();
    record.say(&format!("{runs} requests were run"));
    if runs < 400 {
        return Err(Error::other("too few requests were run"));
    }
    Ok(if most > MAX_PER_SECOND {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests from all zones, for as long as the program runs.
fn send_requests(fleet: &Arc<Fleet>) {
    for number in 0_u64.. {
        let zone = ZONES[(number / 7) as usize % ZONES.len()];
        let is_register = number % REGISTER_EVERY == 0;
        let fleet = Arc::clone(fleet);
        thread::spawn(move || {
            let open = fleet.open_machines(zone);
            if open.is_empty() {
                return;
            }
            let machine = &open[number as usize % open.len()];
            let id = format!("{number:08x}");
            let (method, path, limit_ms) = if is_register {
                ("POST", "/batch-register/new", 600)
            } else {
                ("GET", "/design-lookup/x", 500)
            };
            let request = HttpMessage::request(method, path)
                .with("Host", HOST)
                .with("X-Request-Id", &id)
                .with("X-Deadline-Ms", &limit_ms.to_string());
            fleet.record.note(&format!("send {id} to {}", machine.name));
            let answer = call(
                machine.outbound(),
                &request,
                Duration::from_millis(limit_ms),
            );
            let status = answer.as_ref().map_or(0, HttpMessage::status);
            fleet.record.note(&format!("answer to {id}: {status}"));
        });
        thread::sleep(REQUEST_INTERVAL);
    }
}
