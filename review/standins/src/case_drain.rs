//! An endpoint that holds keys drains while the store is down, and the agent beside it is restarted.

use std::io::Error;
use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::RESTART_DELAY;
use crate::fleet::RouteConfig;
use crate::fleet::ServiceConfig;
use crate::http::HttpMessage;
use crate::http::call;
use crate::record::Record;

const VERIFIER: ServiceConfig = ServiceConfig {
    name: "verifier",
    is_sharded: true,
    slots: 6,
    work: Duration::from_millis(240),
};
const CATALOGUE: ServiceConfig = ServiceConfig {
    name: "catalogue",
    is_sharded: false,
    slots: 6,
    work: Duration::from_millis(60),
};
const LAYOUT: [(&str, ServiceConfig); 6] = [
    ("kgn-a", VERIFIER),
    ("kgn-a", CATALOGUE),
    ("kgn-b", VERIFIER),
    ("kgn-b", CATALOGUE),
    ("kgn-c", VERIFIER),
    ("kgn-c", CATALOGUE),
];
const ROUTES: [RouteConfig; 1] = [RouteConfig {
    name: "archive",
    service: "verifier",
    is_safe: true,
    timeout_ms: 1_500,
    target_latency_ms: 600,
}];
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];
/// Machine whose endpoint drains and whose agent is restarted.
const DRAINING: &str = "sidecar-kgn-a-1";
/// Time from the start of the machines to the first requests.
const LEAD: Duration = Duration::from_secs(8);
const BEFORE: Duration = Duration::from_secs(4);
/// From the start of the outage, and the SIGTERM of the agent, to the drain.
const OUTAGE_TO_DRAIN: Duration = Duration::from_millis(1_000);
/// Longest outage, as `platform_down` in the site file.
const MAX_OUTAGE: Duration = Duration::from_millis(4_500);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// How much longer than `drain_ms` after its ack the endpoint serves.
const LINGER: Duration = Duration::from_millis(2_050);
const AFTER: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Every so many requests, one takes long: 1.44 s, below the `max` of the site's archive searches.
const LONG_EVERY: u64 = 8;
/// Long requests are for the busy keys, which are close to one another.
const BUSY_KEYS: u64 = 16_384;
const TIME_LIMIT: Duration = Duration::from_millis(1_500);

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
    let machine = Arc::clone(fleet.machine(DRAINING)?);
    let endpoint = machine
        .endpoint()
        .ok_or_else(|| Error::other("no endpoint"))?;
    if has_trouble {
        record.say("the store is down");
        fleet.store.set_busy(true);
    }
    let started_at = Instant::now();
    let stopping = (Arc::clone(fleet), Arc::clone(&machine));
    let stop = thread::spawn(move || stopping.0.stop_agent(&stopping.1));
    thread::sleep(OUTAGE_TO_DRAIN);
    endpoint.drain();
    let leaving = Arc::clone(&endpoint);
    let leave = thread::spawn(move || {
        while !leaving.is_drain_acknowledged() {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(DRAIN + LINGER);
        leaving.exit();
    });
    let has_stopped = stop
        .join()
        .map_err(|_| Error::other("no end of the agent"))?;
    has_stopped?;
    let outage = started_at.elapsed();
    if has_trouble {
        record.say(&format!(
            "the store is back after {} ms",
            outage.as_millis()
        ));
        fleet.store.set_busy(false);
    }
    if outage > MAX_OUTAGE {
        return Err(Error::other("the agent took too long to stop"));
    }
    thread::sleep(RESTART_DELAY);
    fleet.start_agent(&machine)?;
    leave
        .join()
        .map_err(|_| Error::other("no exit of the endpoint"))?;
    thread::sleep(AFTER);
    let given = record.given_at_work();
    record.say(&format!(
        "keys were given {given} times while their last holder still worked on them"
    ));
    let runs = record.runs().len();
    record.say(&format!("{runs} requests were run"));
    if runs < 200 {
        return Err(Error::other("too few requests were run"));
    }
    Ok(if given > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests for keys that are spread evenly over all keys, for as long as the program runs.
fn send_requests(fleet: &Arc<Fleet>) {
    for number in 0_u64.. {
        let is_long = number % LONG_EVERY == 0;
        let spread_key = number.wrapping_mul(40_503) % 65_536;
        let key = if is_long {
            spread_key % BUSY_KEYS
        } else {
            spread_key
        };
        let path = if is_long {
            "/archive/long"
        } else {
            "/archive/short"
        };
        let zone = ZONES[number as usize % ZONES.len()];
        let fleet = Arc::clone(fleet);
        thread::spawn(move || {
            let open = fleet.open_machines(zone);
            if open.is_empty() {
                return;
            }
            let machine = &open[(number / 3) as usize % open.len()];
            let id = format!("{number:08x}");
            let request = HttpMessage::request("GET", path)
                .with("Host", HOST)
                .with("X-Request-Id", &id)
                .with("X-Deadline-Ms", &TIME_LIMIT.as_millis().to_string())
                .with("X-Shard-Key", &key.to_string());
            fleet
                .record
                .note(&format!("send {id} key {key} to {}", machine.name));
            let answer = call(machine.outbound(), &request, TIME_LIMIT);
            let status = answer.as_ref().map_or(0, HttpMessage::status);
            fleet.record.note(&format!("answer to {id}: {status}"));
        });
        thread::sleep(REQUEST_INTERVAL);
    }
}
