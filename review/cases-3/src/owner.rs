//! One lifetime of an endpoint of any service. It holds the keys that it is granted, if its service is divided by key.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::fleet;
use crate::fleet::HEARTBEAT_MS;
use crate::fleet::Machine;
use crate::record::Record;
use crate::wire;
use crate::wire::MessageHead;

/// Interval between liveness reports while released keys are not yet acknowledged.
const RELEASE_INTERVAL_MS: u64 = 100;
/// How long an endpoint that starts during traffic is cold.
const COLD_MS: u64 = 3_000;
const SLOTS: u32 = 6;

/// First key, last key and generation number.
type Row = (u16, u16, u64);

/// What an endpoint is.
pub struct OwnerPlan {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Whether that is divided by key.
    pub is_keyed: bool,
    /// Whether it starts during traffic, and so is cold.
    pub is_cold: bool,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
}

/// A lifetime of an endpoint.
pub struct Owner {
    /// What it is.
    pub plan: OwnerPlan,
    /// Its socket, until it ends or hands it over.
    listener: RefCell<Option<Rc<TcpListener>>>,
    record: Rc<Record>,
    born: u64,
    started: Instant,
    held: RefCell<Vec<Row>>,
    held_until: Cell<Option<Instant>>,
    /// Rows that were withdrawn and on which it is still at work.
    finishing: RefCell<Vec<Row>>,
    freed: RefCell<Vec<Row>>,
    running: RefCell<Vec<u16>>,
    /// The requests that it began, each with its time.
    runs: RefCell<Vec<(u64, String)>>,
    is_silent: Cell<bool>,
    has_left: Cell<bool>,
    /// Delay in transit of the next liveness report, in milliseconds.
    next_delay_ms: Cell<u64>,
    accepting: RefCell<Option<JoinHandle<()>>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Owner {
    /// Starts an endpoint on a machine.
    ///
    /// # Errors
    ///
    /// The I/O error if its address is in use.
    pub async fn start(
        machine: &Machine,
        plan: OwnerPlan,
        record: &Rc<Record>,
    ) -> Result<Rc<Self>> {
        let listener = Rc::new(TcpListener::bind(machine.app).await?);
        Ok(Self::start_on(listener, machine, plan, record))
    }

    /// Starts an endpoint that takes connections from a socket.
    pub fn start_on(
        listener: Rc<TcpListener>,
        machine: &Machine,
        plan: OwnerPlan,
        record: &Rc<Record>,
    ) -> Rc<Self> {
        let owner = Rc::new(Self {
            plan,
            listener: RefCell::new(Some(Rc::clone(&listener))),
            record: Rc::clone(record),
            born: fleet::wall_ms(),
            started: Instant::now(),
            held: RefCell::default(),
            held_until: Cell::default(),
            finishing: RefCell::default(),
            freed: RefCell::default(),
            running: RefCell::default(),
            runs: RefCell::default(),
            is_silent: Cell::new(false),
            has_left: Cell::new(false),
            next_delay_ms: Cell::new(0),
            accepting: RefCell::default(),
            tasks: RefCell::default(),
        });
        let acceptor = Rc::clone(&owner);
        let accepting = actix_rt::spawn(async move { acceptor.accept(listener).await });
        let (reporter, address) = (Rc::clone(&owner), machine.app.to_string());
        let (zone, control) = (machine.zone, machine.control);
        let reporting = actix_rt::spawn(async move {
            for sequence in 1_u64.. {
                if reporter.has_left.get() {
                    return;
                }
                let delay_ms = reporter.next_delay_ms.replace(0);
                if delay_ms > 0 {
                    reporter.send_late(&address, zone, control, sequence, delay_ms);
                } else {
                    reporter.report(&address, zone, control, sequence).await;
                }
                let is_releasing =
                    !reporter.freed.borrow().is_empty() || !reporter.finishing.borrow().is_empty();
                let wait_ms = if is_releasing {
                    RELEASE_INTERVAL_MS
                } else {
                    HEARTBEAT_MS
                };
                sleep(Duration::from_millis(wait_ms)).await;
            }
        });
        owner.accepting.replace(Some(accepting));
        owner.tasks.borrow_mut().push(reporting);
        owner
    }

    /// Returns whether it holds a key now.
    pub fn holds(&self, key: u16) -> bool {
        let is_held = |until: Instant| Instant::now() < until;
        let held = self.held.borrow();
        self.held_until.get().is_some_and(is_held)
            && held.iter().any(|row| row.0 <= key && key <= row.1)
    }

    /// Falls silent: reports nothing, answers nothing, and leaves its connections open.
    pub fn fall_silent(&self) {
        self.is_silent.set(true);
    }

    /// Delays the next liveness report in transit by `delay_ms` milliseconds.
    pub fn delay_next_report(&self, delay_ms: u64) {
        self.next_delay_ms.set(delay_ms);
    }

    /// Whether a liveness report is still to be delayed.
    pub fn has_delay_pending(&self) -> bool {
        self.next_delay_ms.get() > 0
    }

    /// Sends `DELETE` and no more reports, and serves on. Returns whether that was acknowledged.
    pub async fn leave(&self, control: SocketAddr) -> bool {
        self.has_left.set(true);
        let path = format!("/instances/{}", self.plan.id);
        let status = wire::send_json(control, "DELETE", &path, "").await;
        matches!(status, Ok(200..=299))
    }

    /// Returns the requests that it began, each with its time.
    pub fn runs(&self) -> Vec<(u64, String)> {
        self.runs.borrow().clone()
    }

    /// Returns the socket, from which it takes no more connections. The others stay open, and silent if it is, as those to a
    /// host that is gone.
    pub fn hand_over(&self) -> Option<Rc<TcpListener>> {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
        self.listener.take()
    }

    /// Ends its process, which closes its sockets.
    pub fn end(&self) {
        drop(self.hand_over());
        for task in self.tasks.take() {
            task.abort();
        }
    }

    /// Takes connections. A silent endpoint leaves new ones unanswered.
    async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            let owner = Rc::clone(&self);
            let serving = actix_rt::spawn(async move { owner.serve(stream).await });
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(serving);
        }
    }

    /// Serves one connection, one request at a time.
    async fn serve(&self, stream: TcpStream) {
        let mut stream = stream;
        while let Ok(Some(head)) = wire::read_head(&mut stream).await {
            self.wait_if_silent().await;
            let text = self.answer(&head).await;
            self.wait_if_silent().await;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Never returns if the endpoint is silent.
    async fn wait_if_silent(&self) {
        if self.is_silent.get() {
            std::future::pending::<()>().await;
        }
    }

    /// Runs a request, or rejects it, and returns the answer.
    async fn answer(&self, head: &MessageHead) -> String {
        if head.word(1) == "/health" {
            let id = &self.plan.id;
            let fields = format!("X-Instance-Id: {id}\r\nX-Cold-Ms: {}\r\n", self.cold_ms());
            return Self::answer_text(head, "200 OK", &fields);
        }
        let key = head.field("x-shard-key").and_then(|key| key.parse().ok());
        let is_meant = head.field("x-expect-instance") == Some(&self.plan.id);
        let is_held = !self.plan.is_keyed || key.is_some_and(|key| self.holds(key));
        if !is_meant || !is_held {
            return Self::answer_text(head, "421 Misdirected Request", "X-Not-Executed: 1\r\n");
        }
        let id = head.field("x-request-id").unwrap_or_default();
        self.record
            .add(&format!("endpoint {} runs id={id}", self.plan.id));
        self.runs
            .borrow_mut()
            .push((self.record.now_ms(), id.to_owned()));
        let key = key.unwrap_or_default();
        self.running.borrow_mut().push(key);
        sleep(Duration::from_millis(self.plan.work_ms)).await;
        let mut running = self.running.borrow_mut();
        if let Some(index) = running.iter().position(|other| *other == key) {
            running.swap_remove(index);
        }
        let seal = format!("X-Response-Seal: 3e1b.07.{id}\r\n");
        Self::answer_text(head, "200 OK", &seal)
    }

    /// Returns an answer without a body.
    fn answer_text(head: &MessageHead, status: &str, fields: &str) -> String {
        let id = head.field("x-request-id").unwrap_or_default();
        format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Load: 1,0,{SLOTS},100\r\n{fields}\
             Content-Length: 0\r\n\r\n"
        )
    }

    /// Returns how much longer it is cold, in milliseconds.
    fn cold_ms(&self) -> u64 {
        let age_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let cold_ms = if self.plan.is_cold { COLD_MS } else { 0 };
        cold_ms.saturating_sub(age_ms)
    }

    /// Sends one liveness report and applies its answer.
    async fn report(&self, address: &str, zone: &str, control: SocketAddr, sequence: u64) {
        self.wait_if_silent().await;
        self.free_finished();
        let sent_at = Instant::now();
        if self.held_until.get().is_none_or(|until| sent_at >= until) {
            self.held.take();
        }
        let freed = self.freed.borrow().clone();
        let body = self.report_text(address, zone, sequence, &freed);
        let path = format!("/instances/{}", self.plan.id);
        let answer = wire::exchange_json(control, "PUT", &path, &body).await;
        self.wait_if_silent().await;
        if let Ok((200..=299, body)) = answer {
            self.freed.borrow_mut().retain(|row| !freed.contains(row));
            if let Ok(reply) = serde_json::from_slice(&body) {
                self.apply(sent_at, &reply);
            }
        }
    }

    /// Sends a liveness report that is `delay_ms` milliseconds in transit. Its answer comes too late for the endpoint.
    fn send_late(
        &self,
        address: &str,
        zone: &str,
        control: SocketAddr,
        sequence: u64,
        delay_ms: u64,
    ) {
        let body = self.report_text(address, zone, sequence, &[]);
        let path = format!("/instances/{}", self.plan.id);
        let record = Rc::clone(&self.record);
        record.add(&format!(
            "endpoint {} sends a liveness report that arrives {delay_ms} ms later",
            self.plan.id
        ));
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            record.add("the late liveness report arrives");
            let status = wire::send_json(control, "PUT", &path, &body).await;
            record.add(&format!("answer to the late liveness report: {status:?}"));
        });
    }

    /// Returns the text of a liveness report.
    fn report_text(&self, address: &str, zone: &str, sequence: u64, freed: &[Row]) -> String {
        let mut holds = self.held.borrow().clone();
        holds.extend(self.finishing.borrow().iter());
        let freed_rows: Vec<Value> = freed
            .iter()
            .map(|row| json!([row.0, row.1, format!("warm-{}", row.2)]))
            .collect();
        let body = json!({
            "address": address,
            "born": self.born,
            "info": {"service": self.plan.service, "version": "v1", "zone": zone, "slots": SLOTS},
            "status": {"state": "ready", "sequence": sequence, "cold_remaining_ms": self.cold_ms()},
            "holds": holds,
            "freed": freed_rows,
        });
        body.to_string()
    }

    /// Applies a grant. Rows that it lacks are released once no request for their keys runs.
    fn apply(&self, sent_at: Instant, reply: &Value) {
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
        if before != granted {
            self.record
                .add(&format!("endpoint {} holds {granted:?}", self.plan.id));
        }
        let is_kept = |row: &Row| {
            let mut granted = granted.iter();
            granted.any(|other| other.0 <= row.0 && row.1 <= other.1)
        };
        let withdrawn = before.into_iter().filter(|row| !is_kept(row));
        self.finishing.borrow_mut().extend(withdrawn);
        self.free_finished();
        self.held_until
            .set(Some(sent_at + Duration::from_millis(hold_ms)));
    }

    /// Releases the withdrawn rows on which it is not at work any more.
    fn free_finished(&self) {
        let running = self.running.borrow();
        let is_busy = |row: &Row| running.iter().any(|key| row.0 <= *key && *key <= row.1);
        let (busy, free): (Vec<Row>, Vec<Row>) =
            self.finishing.take().into_iter().partition(is_busy);
        self.finishing.replace(busy);
        self.freed.borrow_mut().extend(free);
    }
}
