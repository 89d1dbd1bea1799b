//! A backend server's stand-in that is not divided by key and records the caller that each request states.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use anyhow::Context;
use anyhow::Result;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_text;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use serde_json::json;
use tokio::time::sleep;

use crate::fleet::ANNOUNCE_INTERVAL_MS;

/// Size and time limits on requests.
const READ_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 64 * 1024,
    body_bytes: 1024 * 1024,
    read_ms: 5_000,
    idle_ms: 10_000,
};
/// A liveness report counts as acknowledged if it is answered within this time, in milliseconds.
const ACK_TIMEOUT_MS: u64 = 1_000;
/// Is called with the id of each request that runs and the caller that it states.
pub type RunFn = Rc<dyn Fn(&str, &str)>;

/// What an endpoint is.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
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
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
}

/// One lifetime of an endpoint.
pub struct Endpoint {
    plan: EndpointPlan,
    born: u64,
    on_run: RunFn,
    listener: RefCell<Option<HttpListener>>,
    has_ended: Cell<bool>,
    has_left: Cell<bool>,
    acknowledged: Cell<u64>,
    /// Delay in transit of the next liveness report, in milliseconds.
    next_delay_ms: Cell<u64>,
}

impl Endpoint {
    /// Starts an endpoint that serves requests and reports itself.
    ///
    /// # Errors
    ///
    /// If its address is in use.
    pub async fn start(plan: EndpointPlan, on_run: RunFn) -> Result<Rc<Self>> {
        let address = plan.address;
        let endpoint = Rc::new(Self {
            born: clock::wall_now().0,
            plan,
            on_run,
            listener: RefCell::default(),
            has_ended: Cell::new(false),
            has_left: Cell::new(false),
            acknowledged: Cell::new(0),
            next_delay_ms: Cell::new(0),
        });
        let handler = Rc::clone(&endpoint);
        let listener = HttpListener::new(
            Rc::new(move |request, _| {
                let endpoint = Rc::clone(&handler);
                Box::pin(async move { endpoint.execute(request).await })
            }),
            Rc::new(|| READ_LIMITS),
        );
        listener.serve(address).await.context("bind an endpoint")?;
        endpoint.listener.replace(Some(listener));
        let reporter = Rc::clone(&endpoint);
        actix_rt::spawn(async move { reporter.report_until_ended().await });
        Ok(endpoint)
    }

    /// Ends the endpoint at once, as a crash does.
    pub fn crash(&self) {
        self.has_ended.set(true);
        if let Some(listener) = self.listener.take() {
            listener.close();
        }
    }

    /// Returns the number of its liveness reports that were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.get()
    }

    /// Runs a request, or rejects it with status 421 if it is meant for another endpoint.
    async fn execute(&self, request: HttpRequest) -> HttpResponse {
        let text = |name: &str| header_text(&request.headers, name).unwrap_or_default();
        let id = text("x-request-id").to_owned();
        if request.path() == "/health" {
            return HttpResponse::new(StatusCode::OK, "")
                .with_header("x-instance-id", &self.plan.id);
        }
        if self.has_ended.get() || text("x-expect-instance") != self.plan.id {
            return HttpResponse::new(StatusCode::MISDIRECTED_REQUEST, "")
                .with_header("x-request-id", &id)
                .with_header("x-not-executed", "1");
        }
        (self.on_run)(&id, text("x-caller"));
        sleep(Duration::from_millis(self.plan.work_ms)).await;
        HttpResponse::new(StatusCode::OK, &format!("whole answer to {id}"))
            .with_header("x-request-id", &id)
            .with_header("x-response-seal", &self.plan.id)
            .with_header("x-server-load", "1,0,6,100")
    }

    /// Delays the next liveness report in transit by `delay_ms` milliseconds.
    pub fn delay_next_report(&self, delay_ms: u64) {
        self.next_delay_ms.set(delay_ms);
    }

    /// Whether a liveness report is still to be delayed.
    pub fn has_delay_pending(&self) -> bool {
        self.next_delay_ms.get() > 0
    }

    /// Leaves without having reported that it drains: sends `DELETE` and no more reports, and serves on. Returns
    /// whether that was acknowledged.
    pub async fn leave(&self) -> bool {
        self.has_left.set(true);
        let target = format!("/instances/{}", self.plan.id);
        let request = HttpRequest::new(Method::DELETE, &target).with_header("host", "agent");
        self.send(&ConnectionPool::new(), &request).await
    }

    /// Reports itself until it has left or ended.
    async fn report_until_ended(self: Rc<Self>) {
        let pool = Rc::new(ConnectionPool::new());
        for sequence in 1_u64.. {
            if self.has_ended.get() || self.has_left.get() {
                return;
            }
            let body = json!({
                "address": self.plan.address.to_string(),
                "born": self.born,
                "info": {"service": self.plan.service, "version": "v1", "zone": self.plan.zone, "slots": 6},
                "status": {"state": "ready", "sequence": sequence, "cold_remaining_ms": 0},
            });
            let target = format!("/instances/{}", self.plan.id);
            let request = HttpRequest::new(Method::PUT, &target)
                .with_header("host", "agent")
                .with_header("content-type", "application/json")
                .with_body(body.to_string().into());
            let delay_ms = self.next_delay_ms.replace(0);
            if delay_ms > 0 {
                let endpoint = Rc::clone(&self);
                actix_rt::spawn(async move {
                    sleep(Duration::from_millis(delay_ms)).await;
                    endpoint.send(&ConnectionPool::new(), &request).await;
                });
            } else if self.send(&pool, &request).await && !self.has_ended.get() {
                self.acknowledged.set(self.acknowledged.get() + 1);
            }
            sleep(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
        }
    }

    /// Sends a report to the agent. Returns whether it was acknowledged.
    async fn send(&self, pool: &ConnectionPool, request: &HttpRequest) -> bool {
        let options = SendOptions {
            connect_timeout_ms: ACK_TIMEOUT_MS,
            response_timeout_ms: ACK_TIMEOUT_MS,
            max_idle_ms: ANNOUNCE_INTERVAL_MS * 2,
            max_bytes_per_ms: None,
        };
        let answer = pool.send(self.plan.agent, request, None, options).await;
        answer.is_ok_and(|response| response.status.is_success())
    }
}
