//! A zone loses power and comes back; its machines own keys.

use std::collections::BTreeMap;
use std::io::Error;
use std::io::Result;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::RouteConfig;
use crate::fleet::ServiceConfig;
use crate::http::HttpMessage;
use crate::http::call;
use crate::record::Record;

const VERIFIER: ServiceConfig = ServiceConfig {
    name: "verifier",
    is_sharded: true,
    slots: 6,
    work: Duration::from_millis(40),
};
const CATALOGUE: ServiceConfig = ServiceConfig {
    name: "catalogue",
    is_sharded: false,
    slots: 6,
    work: Duration::from_millis(40),
};
/// Fifteen machines in three zones; nine of the ten verifiers are in one zone.
const LAYOUT: [(&str, ServiceConfig); 15] = [
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-a", VERIFIER),
    ("kgn-b", CATALOGUE),
    ("kgn-b", CATALOGUE),
    ("kgn-b", CATALOGUE),
    ("kgn-c", VERIFIER),
    ("kgn-c", CATALOGUE),
    ("kgn-c", CATALOGUE),
];
const ROUTES: [RouteConfig; 2] = [
    RouteConfig {
        name: "verify",
        service: "verifier",
        is_safe: true,
        timeout_ms: 1_000,
        target_latency_ms: 400,
    },
    RouteConfig {
        name: "design",
        service: "catalogue",
        is_safe: true,
        timeout_ms: 500,
        target_latency_ms: 200,
    },
];
/// Zone that loses power.
const LOST_ZONE: &str = "kgn-a";
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];
/// Time from the start of the machines to the first requests.
const LEAD: Duration = Duration::from_secs(8);
const BEFORE: Duration = Duration::from_secs(6);
/// Time between the starts of two machines of the zone.
const START_SPREAD: Duration = Duration::from_millis(150);
/// As `zone_loss` in the site file.
const DARK: Duration = Duration::from_millis(5_500);
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(10);
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
const TIME_LIMIT: Duration = Duration::from_secs(1);
/// Share that is to be served, by the rule.
const MIN_SHARE: f64 = 0.25;

/// One request of a requester, with its retry.
struct Outcome {
    sent_at_ms: u64,
    key: u64,
    is_served: bool,
}

/// Runs the case.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict> {
    let fleet = Fleet::start(Arc::clone(record), &LAYOUT, &ROUTES, None)?;
    let result = play(&fleet, has_trouble);
    fleet.end();
    result
}

fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict> {
    let record = &fleet.record;
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    thread::sleep(LEAD);
    let (requesting, sent) = (Arc::clone(fleet), Arc::clone(&outcomes));
    thread::spawn(move || send_requests(&requesting, &sent));
    thread::sleep(BEFORE);
    let fault_ms = record.now_ms();
    if has_trouble {
        record.say(&format!("zone {LOST_ZONE} loses power"));
        for machine in fleet
            .machines
            .iter()
            .filter(|machine| machine.zone == LOST_ZONE)
        {
            fleet.cut_power(machine);
        }
    }
    thread::sleep(DARK);
    if has_trouble {
        record.say(&format!("zone {LOST_ZONE} has power again"));
        for machine in fleet
            .machines
            .iter()
            .filter(|machine| machine.zone == LOST_ZONE)
        {
            fleet.restore_power(machine)?;
            thread::sleep(START_SPREAD);
        }
    }
    let back_ms = record.now_ms();
    thread::sleep(RECOVERY + AFTER);
    let end_ms = record.now_ms() - TIME_LIMIT.as_millis() as u64 * 2;
    let recovered_ms = back_ms + RECOVERY.as_millis() as u64;
    let outcomes = outcomes.lock().unwrap();
    let share = |from_ms: u64, to_ms: u64| {
        let is_inside = |outcome: &&Outcome| (from_ms..to_ms).contains(&outcome.sent_at_ms);
        let inside: Vec<&Outcome> = outcomes.iter().filter(is_inside).collect();
        let served = inside.iter().filter(|outcome| outcome.is_served).count();
        (
            served,
            inside.len(),
            served as f64 / inside.len().max(1) as f64,
        )
    };
    let (served, sent, before) = share(0, fault_ms - TIME_LIMIT.as_millis() as u64);
    record.say(&format!(
        "before the fault: {served} of {sent} served ({before:.3})"
    ));
    let (served, sent, after) = share(recovered_ms, end_ms);
    let recovery_s = RECOVERY.as_secs();
    record.say(&format!(
        "sent later than {recovery_s} s after the machines are back: {served} of {sent} served ({after:.3})"
    ));
    let mut by_part: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
    for outcome in outcomes
        .iter()
        .filter(|outcome| outcome.sent_at_ms >= recovered_ms)
    {
        let part = by_part.entry(outcome.key / 4_096).or_default();
        part.0 += u32::from(outcome.is_served);
        part.1 += 1;
    }
    for (part, (served, sent)) in by_part {
        let first = part * 4_096;
        record.note(&format!("keys from {first}: {served} of {sent} served"));
    }
    if let Some(table) = fleet.store.value("jy/ranges/verifier") {
        record.note(&format!("table of keys in the store: {table}"));
    }
    if before < MIN_SHARE {
        return Err(Error::other("too little was served before the fault"));
    }
    Ok(if after < MIN_SHARE {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests for keys that are spread evenly over all keys, for as long as the program runs.
fn send_requests(fleet: &Arc<Fleet>, outcomes: &Arc<Mutex<Vec<Outcome>>>) {
    for number in 0_u64.. {
        let key = number.wrapping_mul(40_503) % 65_536;
        let zone = ZONES[number as usize % ZONES.len()];
        let (fleet, outcomes) = (Arc::clone(fleet), Arc::clone(outcomes));
        thread::spawn(move || {
            let sent_at_ms = fleet.record.now_ms();
            let is_served = send_with_retry(&fleet, zone, number, key);
            outcomes.lock().unwrap().push(Outcome {
                sent_at_ms,
                key,
                is_served,
            });
        });
        thread::sleep(REQUEST_INTERVAL);
    }
}

/// Sends a request, and once more after a failure, as the requesters of the site do.
fn send_with_retry(fleet: &Fleet, zone: &str, number: u64, key: u64) -> bool {
    for attempt in 0..2_u64 {
        let open = fleet.open_machines(zone);
        if open.is_empty() {
            return false;
        }
        let machine = &open[(number / 3 + attempt) as usize % open.len()];
        let id = format!("{number:08x}-{attempt}");
        let request = HttpMessage::request("GET", "/verify/x")
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
        let Ok(answer) = answer else {
            continue;
        };
        let body = format!("whole answer to {id}");
        if status == 200
            && answer.header("x-response-seal").is_some()
            && answer.body == body.as_bytes()
        {
            return true;
        }
        let retry_s: f64 = answer
            .header("retry-after")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(retry_s.min(0.33)));
    }
    false
}
