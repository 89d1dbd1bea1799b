//! Callers that send requests to one agent each over kept-alive connections and check every answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use jy_http::message::HttpResponse;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_platform_standins::caller;
use jy_platform_standins::caller::CallerRequest;
use jy_platform_standins::invariants::InvariantChecker;
use jy_types::name::Name;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::fleet::HOST;

const REQUEST_TIMEOUT_MS: u64 = 1_000;
const REQUEST_INTERVAL_MS: u64 = 30;

/// Outcomes of the callers' requests since the start of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerCounts {
    /// Requests with a successful answer.
    pub served: u64,
    /// Requests without an answer or with an error status.
    pub failed: u64,
    /// Successful requests to the `reads` route that ran on another service than the configured one.
    pub outdated: u64,
}

/// State shared by all callers of a run.
pub struct SharedCallerState {
    /// Outcomes of the requests of all callers.
    pub counts: Cell<CallerCounts>,
    /// Service to which the newest configuration maps the `reads` route.
    pub reads_service: Cell<&'static str>,
    /// Whether callers stop before their next request.
    pub should_stop: Cell<bool>,
    invariants: Rc<InvariantChecker>,
}

impl SharedCallerState {
    /// Makes a state with all counts zero, in which the `reads` route maps to the service `reads`.
    #[must_use]
    pub fn new(invariants: Rc<InvariantChecker>) -> Self {
        Self {
            counts: Cell::default(),
            reads_service: Cell::new("reads"),
            should_stop: Cell::new(false),
            invariants,
        }
    }

    /// Sends requests to one agent until [`Self::should_stop`] is set.
    pub async fn send_requests(self: Rc<Self>, agent: SocketAddr, seed: u64) {
        let pool = ConnectionPool::new();
        let mut rng = StdRng::seed_from_u64(seed);
        let mut number = 0_u64;
        while !self.should_stop.get() {
            number += 1;
            let id: Name = format!("{seed:x}-{number:x}").into();
            self.send(&pool, agent, &id, &mut rng).await;
            sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
        }
    }

    /// Sends one request and checks its answer.
    async fn send(&self, pool: &ConnectionPool, agent: SocketAddr, id: &Name, rng: &mut StdRng) {
        let route = rng.random_range(0..3);
        let (method, path) = match route {
            0 => (Method::GET, "/keyed/x"),
            1 => (Method::POST, "/orders/x"),
            _ => (Method::GET, "/reads/x"),
        };
        let is_idempotent = method == Method::GET;
        let request = caller::request(CallerRequest {
            method: &method,
            host: HOST,
            path,
            id,
            timeout_ms: REQUEST_TIMEOUT_MS,
            key: rng.random(),
        });
        let options = SendOptions {
            connect_timeout_ms: REQUEST_TIMEOUT_MS,
            response_timeout_ms: REQUEST_TIMEOUT_MS,
            max_idle_ms: REQUEST_TIMEOUT_MS * 10,
            max_bytes_per_ms: None,
        };
        let mut outcome = CallerCounts::default();
        match pool.send(agent, &request, None, options).await {
            Ok(response) if response.status.is_success() => {
                outcome.served = 1;
                self.check_success(id, &response);
                let incarnation = caller::signed_by(&response).unwrap_or_default();
                let expected = format!("i-{}-", self.reads_service.get());
                outcome.outdated = u64::from(route == 2 && !incarnation.starts_with(&expected));
            }
            Ok(response) => {
                outcome.failed = 1;
                if !is_idempotent && caller::says_not_run(&response) {
                    self.invariants.record_denial(id);
                }
                if response.status.as_u16() == 404 {
                    self.invariants.record_violation(format!(
                        "request {id} got status 404, but every configuration version has its route"
                    ));
                }
            }
            Err(_) => outcome.failed = 1,
        }
        let sum = self.counts.get();
        self.counts.set(CallerCounts {
            served: sum.served + outcome.served,
            failed: sum.failed + outcome.failed,
            outdated: sum.outdated + outcome.outdated,
        });
    }

    /// Reports a violation unless a successful answer is signed and has the complete body for this request.
    fn check_success(&self, id: &Name, response: &HttpResponse) {
        let expected = format!("whole answer to {id}");
        let is_signed = caller::signed_by(response).is_some();
        if response.body != expected.as_bytes() || !is_signed {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            self.invariants.record_violation(format!(
                "request {id} got an unexpected answer: signed {is_signed}, body {body:?}"
            ));
        }
    }
}
