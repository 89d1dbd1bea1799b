//! A few requesters on one machine send large bodies at once, each within the operator's limits.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::Machine;
use crate::fleet::RouteConfig;
use crate::fleet::ServiceConfig;
use crate::http::HttpConnection;
use crate::http::HttpMessage;
use crate::record::Record;

const ORDERBOOK: ServiceConfig = ServiceConfig {
    name: "orderbook",
    is_sharded: false,
    slots: 9,
    work: Duration::from_millis(160),
};
const CATALOGUER: ServiceConfig = ServiceConfig {
    name: "cataloguer",
    is_sharded: false,
    slots: 9,
    work: Duration::from_millis(160),
};
const LAYOUT: [(&str, ServiceConfig); 6] = [
    ("khomas-a", ORDERBOOK),
    ("khomas-a", CATALOGUER),
    ("khomas-b", ORDERBOOK),
    ("khomas-b", CATALOGUER),
    ("khomas-c", ORDERBOOK),
    ("khomas-c", CATALOGUER),
];
const ROUTES: [RouteConfig; 2] = [
    RouteConfig {
        name: "place-order",
        service: "orderbook",
        is_safe: false,
        timeout_ms: 2_000,
        target_latency_ms: 500,
    },
    RouteConfig {
        name: "slot-lookup",
        service: "cataloguer",
        is_safe: true,
        timeout_ms: 5_000,
        target_latency_ms: 1_200,
    },
];
/// Machine whose requesters send the large bodies.
const UPLOADING: &str = "sidecar-khomas-a-2";
/// `memory_mb` of the settings.
const MEMORY_LIMIT_BYTES: u64 = 260 * 1024 * 1024;
const UPLOADS: usize = 6;
/// Well below `max_body_bytes`, 64 MiB; all uploads together are well below `memory_mb`.
const UPLOAD_BYTES: usize = 32_000_000;
/// Rate of one upload: the requesters are on the machine itself.
const UPLOAD_BYTES_PER_MS: usize = 50_000;
const UPLOAD_ROUNDS: usize = 3;
const ROUND_INTERVAL: Duration = Duration::from_secs(10);
/// Time from the start of the machines to the first requests.
const LEAD: Duration = Duration::from_secs(8);
const BEFORE: Duration = Duration::from_secs(5);
/// Requesters on each machine, each with one connection that it keeps.
const REQUESTERS: usize = 8;
const THINK_TIME: Duration = Duration::from_millis(200);
const ORDER_BYTES: usize = 4_000;
const TIME_LIMIT: Duration = Duration::from_secs(2);
const UPLOAD_TIME_LIMIT: Duration = Duration::from_secs(5);
/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 3_000;
/// Connections that may be closed without an answer, by the rule.
const MAX_CLOSED: usize = 3;

/// A request on a kept connection that was closed without an answer.
struct ClosedRequest {
    id: String,
    closed_at_ms: u64,
    is_machine_in_touch: bool,
}

#[derive(Default)]
struct Counts {
    answered: u64,
    closed: Vec<ClosedRequest>,
}

/// Runs the case.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<Verdict> {
    let limit = Some(MEMORY_LIMIT_BYTES);
    let fleet = Fleet::start(Arc::clone(record), &LAYOUT, &ROUTES, limit)?;
    let result = play(&fleet, has_trouble);
    fleet.end();
    result
}

fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict> {
    let record = &fleet.record;
    let counts: Arc<Mutex<Counts>> = Arc::default();
    thread::sleep(LEAD);
    for machine in &fleet.machines {
        for number in 0..REQUESTERS {
            let (fleet, machine) = (Arc::clone(fleet), Arc::clone(machine));
            let counts = Arc::clone(&counts);
            let name = format!("{}-{number}", machine.name);
            thread::spawn(move || request_until_end(&fleet, &machine, &name, &counts));
        }
    }
    thread::sleep(BEFORE);
    let machine = fleet.machine(UPLOADING)?;
    for round in 0..UPLOAD_ROUNDS {
        if has_trouble {
            record.say(&format!(
                "{UPLOADS} uploads of {UPLOAD_BYTES} bytes begin at {UPLOADING}"
            ));
            for number in 0..UPLOADS {
                let (record, machine) = (Arc::clone(record), Arc::clone(machine));
                let id = format!("upload-{round}-{number}");
                thread::spawn(move || upload(&record, &machine, &id));
            }
        }
        thread::sleep(ROUND_INTERVAL);
    }
    let counts = counts.lock().unwrap();
    let runs = record.runs();
    let counted = counts.closed.iter().filter(|closed| {
        let has_run = runs.contains_key(&closed.id);
        record.note(&format!(
            "closed without an answer at {} ms: {}, passed on {has_run}, machine in touch {}",
            closed.closed_at_ms, closed.id, closed.is_machine_in_touch
        ));
        has_run && closed.is_machine_in_touch
    });
    let counted = counted.count();
    record.say(&format!("{} requests answered", counts.answered));
    record.say(&format!(
        "{counted} requests from kept connections were passed on to an endpoint, and their connection was \
         closed without an answer"
    ));
    if counts.answered < 500 {
        return Err(Error::other("too few requests were answered"));
    }
    Ok(if counted > MAX_CLOSED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn request(path: &str, id: &str, limit: Duration, body_bytes: usize) -> HttpMessage {
    HttpMessage::request("POST", path)
        .with("Host", HOST)
        .with("X-Request-Id", id)
        .with("X-Deadline-Ms", &limit.as_millis().to_string())
        .with_body(vec![b'c'; body_bytes])
}

/// Sends orders on a kept connection, for as long as the program runs.
fn request_until_end(fleet: &Fleet, machine: &Machine, name: &str, counts: &Mutex<Counts>) {
    let record = &fleet.record;
    let mut connection: Option<HttpConnection> = None;
    let mut is_kept = false;
    for number in 0_u64.. {
        thread::sleep(THINK_TIME);
        if !machine.is_in() {
            connection = None;
            continue;
        }
        let mut open = match connection.take() {
            Some(open) => open,
            None => match HttpConnection::connect(machine.outbound()) {
                Ok(open) => {
                    is_kept = false;
                    open
                }
                Err(_) => continue,
            },
        };
        let id = format!("{name}-{number}");
        record.note(&format!("send {id}"));
        let order = request("/place-order/new", &id, TIME_LIMIT, ORDER_BYTES);
        match open.exchange(&order, TIME_LIMIT) {
            Ok(answer) => {
                record.note(&format!("answer to {id}: {}", answer.status()));
                counts.lock().unwrap().answered += 1;
                is_kept = true;
                let is_last = answer.header("connection") == Some("close");
                connection = (!is_last).then_some(open);
            }
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                record.note(&format!("no answer to {id} in time"));
            }
            Err(error) => {
                record.note(&format!("the connection of {id} is closed: {error}"));
                let closed_at_ms = record.now_ms();
                let started_at_ms = *machine.started_at_ms.lock().unwrap();
                if is_kept {
                    counts.lock().unwrap().closed.push(ClosedRequest {
                        id,
                        closed_at_ms,
                        is_machine_in_touch: closed_at_ms >= started_at_ms + CONTACT_MS,
                    });
                }
            }
        }
    }
}

/// Sends one request with a large body on a new connection.
fn upload(record: &Record, machine: &Machine, id: &str) {
    record.note(&format!("send {id}, a body of {UPLOAD_BYTES} bytes"));
    let started_at = Instant::now();
    let outcome = HttpConnection::connect(machine.outbound()).and_then(|mut connection| {
        let upload = request("/slot-lookup/new", id, UPLOAD_TIME_LIMIT, UPLOAD_BYTES);
        connection.send_paced(&upload, UPLOAD_BYTES_PER_MS)?;
        connection.receive(UPLOAD_TIME_LIMIT.saturating_sub(started_at.elapsed()))
    });
    match outcome {
        Ok(answer) => record.say(&format!("answer to {id}: {}", answer.status())),
        Err(error) => record.say(&format!("{id} ends without an answer: {error}")),
    }
}
