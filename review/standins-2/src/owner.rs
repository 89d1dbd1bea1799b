//! A stand-in of an endpoint that holds keys, written on plain sockets so that it can send bytes that are no answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use anyhow::Context;
use anyhow::Result;
use jy_http::message::HttpRequest;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_platform_standins::invariants::InvariantChecker;
use jy_types::name::Name;
use jy_types::time::Millis;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::fleet::ANNOUNCE_INTERVAL_MS;
use crate::record::RunRecord;

/// A liveness report counts as acknowledged if it is answered within this time, in milliseconds.
const ACK_TIMEOUT_MS: u64 = 1_000;
/// Interval between reports while released keys are not acknowledged, in milliseconds.
const RELEASE_INTERVAL_MS: u64 = 100;
/// Time that a usual request takes, in milliseconds.
const WORK_MS: u64 = 50;
/// Time that the long request takes, in milliseconds, unless its time limit ends before: less than the time limit of
/// `archive-search`, 1,500 ms.
const LONG_WORK_MS: u64 = 1_400;
/// Time from the start of the long request to the bytes that belong to no request, in milliseconds.
const EXTRA_DELAY_MS: u64 = 100;

/// A row of keys: first, last and generation number.
type Row = (u16, u16, u64);

/// What the endpoint is.
pub struct OwnerPlan {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Its availability zone.
    pub zone: &'static str,
    /// Its address.
    pub address: SocketAddr,
    /// Address of the agent that takes its liveness reports.
    pub agent: SocketAddr,
}

/// One lifetime of the endpoint.
pub struct Owner {
    plan: OwnerPlan,
    born: u64,
    record: Rc<RunRecord>,
    invariants: Rc<InvariantChecker>,
    held: RefCell<Vec<Row>>,
    held_until: Cell<Millis>,
    /// Rows that were withdrawn and on which it is still at work.
    finishing: RefCell<Vec<Row>>,
    freed: RefCell<Vec<(u16, u16, String)>>,
    /// Keys of the running requests.
    running: RefCell<Vec<u16>>,
    acknowledged: watch::Sender<u64>,
    is_draining: Cell<bool>,
    /// Whether its liveness reports are lost.
    is_cut: Cell<bool>,
    /// Whether the next request on a kept connection runs long and gets bytes that belong to no request.
    is_long_due: Cell<bool>,
    long_key: Cell<Option<u16>>,
    /// Whether it takes no connections and no requests any more.
    is_exiting: watch::Sender<bool>,
}

impl Owner {
    /// Starts the endpoint.
    ///
    /// # Errors
    ///
    /// If its address is in use.
    pub async fn start(
        plan: OwnerPlan,
        record: Rc<RunRecord>,
        invariants: Rc<InvariantChecker>,
    ) -> Result<Rc<Self>> {
        let listener = TcpListener::bind(plan.address).await;
        let listener = listener.context("bind the owner")?;
        let owner = Rc::new(Self {
            plan,
            born: clock::wall_now().0,
            record,
            invariants,
            held: RefCell::default(),
            held_until: Cell::default(),
            finishing: RefCell::default(),
            freed: RefCell::default(),
            running: RefCell::default(),
            acknowledged: watch::Sender::new(0),
            is_draining: Cell::new(false),
            is_cut: Cell::new(false),
            is_long_due: Cell::new(false),
            long_key: Cell::new(None),
            is_exiting: watch::Sender::new(false),
        });
        let acceptor = Rc::clone(&owner);
        actix_rt::spawn(async move { acceptor.accept(listener).await });
        let reporter = Rc::clone(&owner);
        actix_rt::spawn(async move { reporter.report().await });
        Ok(owner)
    }

    /// Returns the name of this lifetime.
    pub fn lifetime(&self) -> Name {
        format!("{}/{}", self.plan.id, self.born).into()
    }

    /// Waits until a liveness report has just been acknowledged.
    pub async fn wait_for_acknowledgement(&self) {
        let mut updates = self.acknowledged.subscribe();
        // The sender lives as long as the endpoint.
        let _is_changed = updates.changed().await;
    }

    /// Loses all liveness reports from now on.
    pub fn cut_reports(&self) {
        self.is_cut.set(true);
    }

    /// Reports from now on that it drains.
    pub fn drain(&self) {
        self.is_draining.set(true);
    }

    /// Makes the next request on a kept connection a long one.
    pub fn expect_long_request(&self) {
        self.is_long_due.set(true);
    }

    /// Returns the key of the long request while it runs.
    pub fn long_key(&self) -> Option<u16> {
        self.long_key.get()
    }

    /// Returns until when it holds its keys.
    pub fn held_until(&self) -> Millis {
        self.held_until.get()
    }

    /// Exits: closes its listener and its idle connections, and finishes what it runs.
    pub fn exit(&self) {
        self.is_exiting.send_replace(true);
    }

    /// Takes connections until it exits.
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut exiting = self.is_exiting.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = exiting.wait_for(|is_exiting| *is_exiting) => return,
            };
            if let Ok((stream, _)) = accepted {
                let owner = Rc::clone(&self);
                actix_rt::spawn(async move { owner.serve(stream).await });
            }
        }
    }

    /// Serves one connection: one request at a time.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let mut exiting = self.is_exiting.subscribe();
        let mut buffer = Vec::new();
        let mut requests = 0_u32;
        loop {
            let mut bytes = [0_u8; 4_096];
            let read = tokio::select! {
                read = stream.read(&mut bytes) => read,
                _ = exiting.wait_for(|is_exiting| *is_exiting) => return,
            };
            let Ok(count @ 1..) = read else {
                return;
            };
            buffer.extend_from_slice(&bytes[..count]);
            let text = String::from_utf8_lossy(&buffer).into_owned();
            let Some((head, _)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            buffer.clear();
            requests += 1;
            let answer = self.answer(head, requests, &mut stream).await;
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Runs the request with a head, or rejects it, and returns the answer. Work goes on if the connection closes.
    async fn answer(&self, head: &str, requests: u32, stream: &mut TcpStream) -> String {
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            let found = lines.find(|(field, _)| field.eq_ignore_ascii_case(name));
            found.map_or("", |(_, value)| value.trim())
        };
        let answer = |status: &str, fields: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
                field("x-request-id"),
                body.len()
            )
        };
        if head.starts_with("GET /health") {
            let fields = format!(
                "X-Instance-Id: {}\r\nX-Server-Load: 1,0,6,100\r\n",
                self.plan.id
            );
            return answer("200 OK", &fields, "");
        }
        let key = field("x-shard-key").parse().ok();
        let key = key.filter(|key| self.holds(*key));
        let Some(key) = key.filter(|_| field("x-expect-instance") == self.plan.id) else {
            return answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", "");
        };
        let id = field("x-request-id");
        let is_long = requests > 1 && self.is_long_due.replace(false);
        self.running.borrow_mut().push(key);
        self.record
            .line(&format!("{} runs {id}, key {key}", self.plan.id));
        if is_long {
            let limit_ms: u64 = field("x-deadline-ms").parse().unwrap_or_default();
            let work_ms = LONG_WORK_MS.min(limit_ms).max(EXTRA_DELAY_MS);
            self.long_key.set(Some(key));
            self.record.line(&format!(
                "{} works on {id} for {work_ms} ms; bytes that belong to no request follow",
                self.plan.id
            ));
            sleep(Duration::from_millis(EXTRA_DELAY_MS)).await;
            // The connection may be closed by now.
            let _written = stream
                .write_all(b"these bytes belong to no request\r\n\r\n")
                .await;
            sleep(Duration::from_millis(work_ms - EXTRA_DELAY_MS)).await;
            self.long_key.set(None);
            self.record
                .line(&format!("{} has finished {id}", self.plan.id));
        } else {
            sleep(Duration::from_millis(WORK_MS)).await;
        }
        let mut running = self.running.borrow_mut();
        if let Some(index) = running.iter().position(|other| *other == key) {
            running.remove(index);
        }
        let seal = format!(
            "X-Response-Seal: {}\r\nX-Server-Load: 1,0,6,100\r\n",
            self.lifetime()
        );
        answer("200 OK", &seal, &format!("whole answer to {id}"))
    }

    /// Returns whether it holds a key now.
    fn holds(&self, key: u16) -> bool {
        let held = self.held.borrow();
        clock::now() < self.held_until.get() && held.iter().any(|row| row.0 <= key && key <= row.1)
    }

    /// Reports itself until it exits.
    async fn report(&self) {
        let pool = ConnectionPool::new();
        for sequence in 1_u64.. {
            if *self.is_exiting.borrow() {
                return;
            }
            let sent_at = clock::now();
            if !self.is_cut.get() {
                self.report_once(&pool, sequence, sent_at).await;
            }
            let is_releasing =
                !self.freed.borrow().is_empty() || !self.finishing.borrow().is_empty();
            let wait_ms = if is_releasing {
                RELEASE_INTERVAL_MS
            } else {
                ANNOUNCE_INTERVAL_MS
            };
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Sends one report and applies its answer.
    async fn report_once(&self, pool: &ConnectionPool, sequence: u64, sent_at: Millis) {
        self.free_finished();
        if sent_at >= self.held_until.get() {
            self.held.take();
        }
        let mut holds = self.held.borrow().clone();
        holds.extend(self.finishing.borrow().iter());
        let freed = self.freed.borrow().clone();
        let state = if self.is_draining.get() {
            "draining"
        } else {
            "ready"
        };
        let body = json!({
            "address": self.plan.address.to_string(),
            "born": self.born,
            "info": {"service": self.plan.service, "version": "v1", "zone": self.plan.zone, "slots": 6},
            "status": {"state": state, "sequence": sequence, "cold_remaining_ms": 0},
            "holds": holds,
            "freed": freed,
        });
        let request = HttpRequest::new(Method::PUT, &format!("/instances/{}", self.plan.id))
            .with_header("host", "agent")
            .with_header("content-type", "application/json")
            .with_body(body.to_string().into());
        let options = SendOptions {
            connect_timeout_ms: ACK_TIMEOUT_MS,
            response_timeout_ms: ACK_TIMEOUT_MS,
            max_idle_ms: ANNOUNCE_INTERVAL_MS * 2,
            max_bytes_per_ms: None,
        };
        let answer = pool.send(self.plan.agent, &request, None, options).await;
        let Some(response) = answer.ok().filter(|response| response.status.is_success()) else {
            return;
        };
        self.freed.borrow_mut().retain(|row| !freed.contains(row));
        if let Ok(reply) = serde_json::from_slice(&response.body) {
            self.apply(sent_at, &reply);
        }
        self.acknowledged.send_modify(|count| *count += 1);
    }

    /// Applies a grant. Rows that it lacks are released once no request for their keys runs.
    fn apply(&self, sent_at: Millis, reply: &Value) {
        let (Some(rows), Some(hold_ms)) = (reply["holds"].as_array(), reply["hold_ms"].as_u64())
        else {
            return;
        };
        let number = |row: &Value, column: usize| row[column].as_u64().unwrap_or_default();
        let key = |row: &Value, column| u16::try_from(number(row, column)).unwrap_or(u16::MAX);
        let granted: Vec<Row> = rows
            .iter()
            .map(|row| (key(row, 0), key(row, 1), number(row, 2)))
            .collect();
        let before = self.held.replace(granted.clone());
        let is_kept = |row: &Row| {
            let mut granted = granted.iter();
            granted.any(|other| other.0 <= row.0 && row.1 <= other.1)
        };
        let withdrawn = before.into_iter().filter(|row| !is_kept(row));
        self.finishing.borrow_mut().extend(withdrawn);
        self.free_finished();
        let until = sent_at.plus(hold_ms);
        self.held_until.set(until);
        self.invariants
            .record_holdings(clock::now(), &self.lifetime(), &granted, until);
    }

    /// Releases the withdrawn rows on which it is not at work any more.
    fn free_finished(&self) {
        let running = self.running.borrow();
        let is_busy = |row: &Row| running.iter().any(|key| row.0 <= *key && *key <= row.1);
        let (busy, free): (Vec<Row>, Vec<Row>) =
            self.finishing.take().into_iter().partition(is_busy);
        self.finishing.replace(busy);
        let rows = free.into_iter();
        let rows = rows.map(|row| (row.0, row.1, format!("warm-{}", row.2)));
        self.freed.borrow_mut().extend(rows);
    }
}
