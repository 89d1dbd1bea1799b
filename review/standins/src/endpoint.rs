//! An application endpoint, as PROTOCOL.md describes it: it reports its liveness to the agent on its machine,
//! holds the keys that it is granted, and runs requests.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::HttpConnection;
use crate::http::HttpMessage;
use crate::http::HttpServer;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::Record;

/// Interval between liveness reports: `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// Interval between liveness reports until released keys are acknowledged.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which the answer to a liveness report counts.
const REPORT_LIMIT: Duration = Duration::from_secs(1);
/// From a liveness report to the moment at which the endpoint turns cold.
const COLD_DELAY: Duration = Duration::from_millis(30);
/// Requests in one second at which the endpoint crashes while it is cold: well above the 14 of the site.
pub const MAX_COLD_PER_SECOND: usize = 26;
/// Requests that wait for a slot at most.
const MAX_WAITING: usize = 24;

/// How much longer a long request takes than usual, and how much shorter a short one.
const LONG_WORK_FACTOR: u32 = 6;
const SHORT_WORK_DIVISOR: u32 = 16;

/// What an endpoint is.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address of the agent to which it reports.
    pub control: SocketAddr,
    pub is_sharded: bool,
    pub slots: usize,
    pub work: Duration,
}

/// A row of keys: first, last, generation number.
pub type KeyRow = (u64, u64, u64);

#[derive(Default)]
struct EndpointState {
    held: Vec<KeyRow>,
    held_until: Option<Instant>,
    /// Rows that are to be released once no request works on them, with the end of their hold.
    releasing: Vec<(KeyRow, Instant)>,
    freed: Vec<(u64, u64, String)>,
    running_keys: Vec<(u64, String)>,
    running: usize,
    waiting: usize,
    sequence: u64,
    cold_until: Option<Instant>,
    /// When requests arrived while the endpoint was cold.
    cold_arrivals: Vec<Instant>,
    is_draining: bool,
    is_drain_acknowledged: bool,
    has_left: bool,
    has_ended: bool,
}

/// One life of an endpoint.
pub struct Endpoint {
    pub config: EndpointConfig,
    born: u64,
    record: Arc<Record>,
    state: Mutex<EndpointState>,
    changed: Condvar,
    server: Mutex<Option<HttpServer>>,
}

impl Endpoint {
    /// Starts an endpoint that serves requests and reports its liveness.
    pub fn start(config: EndpointConfig, record: Arc<Record>) -> Result<Arc<Self>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let endpoint = Arc::new(Self {
            born: born.unwrap_or_default().as_millis() as u64,
            config,
            record,
            state: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::new(None),
        });
        let serving = Arc::clone(&endpoint);
        let handler = move |request| serving.answer(&request);
        let server = HttpServer::serve(endpoint.config.address, Arc::new(handler))?;
        *endpoint.server.lock().unwrap() = Some(server);
        let reporting = Arc::clone(&endpoint);
        thread::spawn(move || reporting.report_until_ended());
        let text = format!("endpoint {} starts", endpoint.config.id);
        endpoint.record.note(&text);
        endpoint.record.register(&endpoint);
        Ok(endpoint)
    }

    /// Ends the endpoint at once. Its connections are closed.
    pub fn end(&self) {
        self.state.lock().unwrap().has_ended = true;
        self.changed.notify_all();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        self.record
            .note(&format!("endpoint {} ends", self.config.id));
    }

    fn answer(&self, request: &HttpMessage) -> Option<HttpMessage> {
        if request.path() == "/health" {
            let cold_ms = self.cold_left().as_millis().to_string();
            let response = HttpMessage::response(200, "").with("X-Cold-Ms", &cold_ms);
            return Some(
                self.with_load(response)
                    .with("X-Instance-Id", &self.config.id),
            );
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_string();
        let refused = |status| {
            let response = HttpMessage::response(status, "").with("X-Not-Executed", "1");
            self.with_load(response).with("X-Request-Id", &id)
        };
        if id.is_empty() {
            return Some(refused(400));
        }
        if request.header("x-expect-instance") != Some(&self.config.id) {
            return Some(refused(421).with("X-Instance-Id", &self.config.id));
        }
        let limit_ms = request
            .header("x-deadline-ms")
            .and_then(|value| value.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(limit_ms.unwrap_or(60_000));
        let key = request
            .header("x-shard-key")
            .and_then(|value| value.parse().ok());
        let mut state = self.state.lock().unwrap();
        if self.config.is_sharded && !key.is_some_and(|key| state.holds(key)) {
            drop(state);
            return Some(refused(421).with("X-Instance-Id", &self.config.id));
        }
        if state.cold_until.is_some_and(|until| Instant::now() < until) {
            state.cold_arrivals.push(Instant::now());
            let arrivals = state.cold_arrivals.iter().rev();
            let recent = arrivals.take_while(|at| at.elapsed() < Duration::from_secs(1));
            if recent.count() > MAX_COLD_PER_SECOND {
                let running = state.running;
                drop(state);
                let id = &self.config.id;
                let text = format!("endpoint {id} crashes, cold, with {running} running requests");
                self.record.say(&text);
                self.end();
                return None;
            }
        }
        if state.waiting >= MAX_WAITING {
            drop(state);
            return Some(refused(503));
        }
        state.waiting += 1;
        while state.running >= self.config.slots && !state.has_ended {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.waiting -= 1;
                drop(state);
                return Some(refused(503));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        state.waiting -= 1;
        if state.has_ended {
            return None;
        }
        state.running += 1;
        state.running_keys.extend(key.map(|key| (key, id.clone())));
        drop(state);
        self.record.run(&id, &self.config.id, &request.body);
        let work = if request.path().ends_with("/long") {
            self.config.work * LONG_WORK_FACTOR
        } else if request.path().ends_with("/short") {
            self.config.work / SHORT_WORK_DIVISOR
        } else {
            self.config.work
        };
        thread::sleep(work.min(deadline.saturating_duration_since(Instant::now())));
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        let mut keys = state.running_keys.iter();
        if let Some(index) = keys.position(|(_, other)| *other == id) {
            state.running_keys.swap_remove(index);
        }
        let has_ended = state.has_ended;
        drop(state);
        self.changed.notify_all();
        if has_ended {
            return None;
        }
        let response = HttpMessage::response(200, &format!("whole answer to {id}"));
        let response = self.with_load(response).with("X-Request-Id", &id);
        Some(response.with("X-Response-Seal", &format!("seal.{}", self.config.id)))
    }

    fn with_load(&self, response: HttpMessage) -> HttpMessage {
        let state = self.state.lock().unwrap();
        let slots = self.config.slots;
        let load = format!("{},{},{slots},100", state.running, state.waiting);
        response.with("X-Server-Load", &load)
    }

    /// Sends liveness reports until the endpoint ends.
    fn report_until_ended(&self) {
        let mut connection = None;
        loop {
            if self.state.lock().unwrap().has_ended {
                return;
            }
            let sent_at = Instant::now();
            let (report, freed) = self.next_report();
            let is_draining = self.state.lock().unwrap().is_draining;
            if let Some(reply) = self.send_report(&mut connection, &report) {
                if is_draining && !self.is_drain_acknowledged() {
                    self.state.lock().unwrap().is_drain_acknowledged = true;
                    self.record
                        .note(&format!("the drain of {} is acknowledged", self.config.id));
                }
                self.apply_reply(sent_at, &freed, &reply);
            }
            let state = self.state.lock().unwrap();
            if state.has_left || state.has_ended {
                return;
            }
            let has_released = !state.releasing.is_empty() || !state.freed.is_empty();
            drop(state);
            let interval = if has_released {
                RELEASE_INTERVAL
            } else {
                HEARTBEAT
            };
            thread::sleep(interval.saturating_sub(sent_at.elapsed()));
        }
    }

    /// Builds the next liveness report, and returns the rows that it reports as released.
    pub fn next_report(&self) -> (HttpMessage, Vec<(u64, u64, String)>) {
        let config = &self.config;
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        state.finish_releases();
        let cold_left = |until: Instant| until.saturating_duration_since(Instant::now());
        let cold_ms = state
            .cold_until
            .map_or(0, |until| cold_left(until).as_millis() as u64);
        let phase = if state.is_draining {
            "draining"
        } else {
            "ready"
        };
        let is_held = state.held_until.is_some_and(|until| Instant::now() < until);
        let held = state.held.iter().filter(|_| is_held);
        let releasing = state.releasing.iter().map(|(row, _)| row);
        let rows = held.chain(releasing).map(|(first, last, fence)| {
            Json::List(vec![number(*first), number(*last), number(*fence)])
        });
        let rows = rows.collect();
        let freed = state.freed.clone();
        let freed_rows = freed.iter().map(|(first, last, handover)| {
            Json::List(vec![number(*first), number(*last), text(handover)])
        });
        let mut body = vec![
            ("address", text(&config.address.to_string())),
            ("born", number(self.born)),
            (
                "info",
                object([
                    ("service", text(&config.service)),
                    ("version", text("v1")),
                    ("zone", text(&config.zone)),
                    ("slots", number(config.slots as u64)),
                ]),
            ),
            (
                "status",
                object([
                    ("state", text(phase)),
                    ("sequence", number(state.sequence)),
                    ("cold_remaining_ms", number(cold_ms)),
                ]),
            ),
        ];
        if config.is_sharded {
            body.push(("holds", Json::List(rows)));
            body.push(("freed", Json::List(freed_rows.collect())));
        }
        let fields = body
            .into_iter()
            .map(|(name, value)| (name.to_string(), value));
        let body = Json::Object(fields.collect()).write();
        let report = HttpMessage::request("PUT", &format!("/instances/{}", config.id))
            .with("Host", "control")
            .with("Content-Type", "application/json")
            .with_body(body.into_bytes());
        (report, freed)
    }

    fn send_report(
        &self,
        connection: &mut Option<HttpConnection>,
        report: &HttpMessage,
    ) -> Option<Json> {
        let opened = connection
            .take()
            .or_else(|| HttpConnection::connect(self.config.control).ok());
        let mut opened = opened?;
        let response = opened.exchange(report, REPORT_LIMIT).ok()?;
        *connection = Some(opened);
        if response.status() / 100 != 2 || response.body.len() > 4_096 {
            return None;
        }
        Json::parse(&String::from_utf8_lossy(&response.body))
    }

    /// Applies the answer to a liveness report: it names all that the endpoint is to hold.
    fn apply_reply(&self, sent_at: Instant, freed: &[(u64, u64, String)], reply: &Json) {
        let mut state = self.state.lock().unwrap();
        state.freed.retain(|row| !freed.contains(row));
        let Some(hold_ms) = reply.get("hold_ms").integer() else {
            return;
        };
        let field = |row: &Json, index: usize| row.items().get(index).and_then(Json::integer);
        let to_row = |row: &Json| Some((field(row, 0)?, field(row, 1)?, field(row, 2)?));
        let rows: Vec<KeyRow> = reply
            .get("holds")
            .items()
            .iter()
            .filter_map(to_row)
            .collect();
        let is_kept = |row: &KeyRow| {
            rows.iter()
                .any(|(first, last, _)| *first <= row.0 && row.1 <= *last)
        };
        let left_out: Vec<KeyRow> = state
            .held
            .iter()
            .copied()
            .filter(|row| !is_kept(row))
            .collect();
        let until = state.held_until.unwrap_or(sent_at);
        state
            .releasing
            .extend(left_out.into_iter().map(|row| (row, until)));
        let is_new = |row: &&KeyRow| !state.held.contains(row);
        let new_rows: Vec<KeyRow> = rows.iter().filter(is_new).copied().collect();
        if state.held != rows {
            self.record
                .note(&format!("endpoint {} holds {rows:?}", self.config.id));
        }
        state.held = rows;
        state.held_until = Some(sent_at + Duration::from_millis(hold_ms));
        state.finish_releases();
        drop(state);
        for row in new_rows {
            self.record.check_given(&self.config.id, row);
        }
    }

    /// Returns a request that works on a key of a row, and how long the endpoint's hold on the key would have
    /// lasted, if it would not have run out yet.
    pub fn work_on(&self, (first, last, _): KeyRow) -> Option<(String, Duration)> {
        let state = self.state.lock().unwrap();
        let (key, id) = state
            .running_keys
            .iter()
            .find(|(key, _)| (first..=last).contains(key))?;
        let contains = |row: &KeyRow| row.0 <= *key && *key <= row.1;
        let releasing = state.releasing.iter().filter(|(row, _)| contains(row));
        let held = state.held.iter().filter(|row| contains(row));
        let ends = releasing
            .map(|(_, until)| *until)
            .chain(held.filter_map(|_| state.held_until));
        let left = ends.max()?.saturating_duration_since(Instant::now());
        (!left.is_zero()).then(|| (id.clone(), left))
    }

    /// Turns cold for some time, right after the next liveness report.
    pub fn turn_cold(&self, time: Duration) {
        let sequence = self.state.lock().unwrap().sequence;
        while self.state.lock().unwrap().sequence == sequence {
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(COLD_DELAY);
        self.state.lock().unwrap().cold_until = Some(Instant::now() + time);
        self.record
            .note(&format!("endpoint {} turns cold", self.config.id));
    }

    /// Returns how much longer the endpoint stays cold.
    fn cold_left(&self) -> Duration {
        let until = self.state.lock().unwrap().cold_until;
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Returns the most requests that arrived within one second while the endpoint was cold.
    pub fn most_cold_arrivals(&self) -> usize {
        let arrivals = self.state.lock().unwrap().cold_arrivals.clone();
        let is_inside =
            |start: Instant, at: Instant| at >= start && at < start + Duration::from_secs(1);
        let count = |start: &Instant| arrivals.iter().filter(|at| is_inside(*start, **at)).count();
        arrivals.iter().map(count).max().unwrap_or(0)
    }

    /// Reports from now on that the endpoint drains.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.record
            .note(&format!("endpoint {} drains", self.config.id));
    }

    /// Whether a report that it drains was acknowledged.
    pub fn is_drain_acknowledged(&self) -> bool {
        self.state.lock().unwrap().is_drain_acknowledged
    }

    /// Exits as planned: takes no more connections, finishes the running requests while it goes on reporting,
    /// sends `DELETE` and ends.
    pub fn exit(&self) {
        self.record.note(&format!(
            "endpoint {} takes no more connections",
            self.config.id
        ));
        if let Some(server) = self.server.lock().unwrap().as_ref() {
            server.refuse();
        }
        loop {
            let state = self.state.lock().unwrap();
            if state.running == 0 && state.waiting == 0 {
                break;
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
        self.leave();
        self.end();
    }

    /// Sends `DELETE` and returns whether it was acknowledged. The endpoint goes on serving.
    pub fn leave(&self) -> bool {
        self.state.lock().unwrap().has_left = true;
        let request = HttpMessage::request("DELETE", &format!("/instances/{}", self.config.id))
            .with("Host", "control");
        let answer = crate::http::call(self.config.control, &request, REPORT_LIMIT);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl EndpointState {
    fn holds(&self, key: u64) -> bool {
        let is_in_time = self.held_until.is_some_and(|until| Instant::now() < until);
        is_in_time
            && self
                .held
                .iter()
                .any(|(first, last, _)| *first <= key && key <= *last)
    }

    /// Moves the rows on which no request works any more to the released ones.
    fn finish_releases(&mut self) {
        let running_keys = self.running_keys.clone();
        let is_busy = |row: &KeyRow| {
            running_keys
                .iter()
                .any(|(key, _)| row.0 <= *key && *key <= row.1)
        };
        let (busy, idle): (Vec<_>, Vec<_>) =
            self.releasing.drain(..).partition(|(row, _)| is_busy(row));
        self.releasing = busy;
        let to_freed =
            |((first, last, fence), _): (KeyRow, Instant)| (first, last, format!("{fence:016x}"));
        self.freed.extend(idle.into_iter().map(to_freed));
    }
}
