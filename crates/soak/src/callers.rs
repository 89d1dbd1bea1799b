//! Callers: each keeps its connection to one agent for as long as that works, and checks every answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use jy_http::message::HttpAnswer;
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

/// Time that a caller waits, in milliseconds.
const PATIENCE_MS: u64 = 1_000;
/// Time between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 30;

/// What callers saw since it was last taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerCounts {
    /// Requests that were answered with success.
    pub served: u64,
    /// Requests that were not.
    pub failed: u64,
    /// Successes of the route of reads that another service ran than the one in force.
    pub outdated: u64,
}

/// What all callers share.
pub struct SharedCallerState {
    /// What they saw.
    pub tally: Cell<CallerCounts>,
    /// The service in force for the route of reads.
    pub reads: Cell<&'static str>,
    /// Whether they stop.
    pub has_ended: Cell<bool>,
    ledger: Rc<InvariantChecker>,
}

impl SharedCallerState {
    /// Makes a board without entries.
    #[must_use]
    pub fn new(ledger: Rc<InvariantChecker>) -> Self {
        Self {
            tally: Cell::default(),
            reads: Cell::new("reads"),
            has_ended: Cell::new(false),
            ledger,
        }
    }

    /// Sends requests to one agent until the run is over.
    pub async fn call(self: Rc<Self>, to: SocketAddr, seed: u64) {
        let pool = ConnectionPool::new();
        let mut rng = StdRng::seed_from_u64(seed);
        let mut number = 0_u64;
        while !self.has_ended.get() {
            number += 1;
            let id: Name = format!("{seed:x}-{number:x}").into();
            self.send(&pool, to, &id, &mut rng).await;
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }

    /// Sends one request and checks its answer.
    async fn send(&self, pool: &ConnectionPool, to: SocketAddr, id: &Name, rng: &mut StdRng) {
        let kind = rng.random_range(0..3);
        let (method, path) = match kind {
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
            patience_ms: PATIENCE_MS,
            key: rng.random(),
        });
        let terms = SendOptions {
            connect_ms: PATIENCE_MS,
            answer_ms: PATIENCE_MS,
            rest_ms: PATIENCE_MS * 10,
        };
        let mut tally = CallerCounts::default();
        match pool.send(to, &request, None, terms).await {
            Ok(answer) if answer.status.is_success() => {
                tally.served = 1;
                self.check_success(id, &answer);
                let life = caller::signed_by(&answer).unwrap_or_default();
                let in_force = format!("i-{}-", self.reads.get());
                tally.outdated = u64::from(kind == 2 && !life.starts_with(&in_force));
            }
            Ok(answer) => {
                tally.failed = 1;
                if !is_idempotent && caller::says_not_run(&answer) {
                    self.ledger.denied(id);
                }
                if answer.status.as_u16() == 404 {
                    self.ledger
                        .violation(format!("{id} got 404, every version has its route"));
                }
            }
            Err(_) => tally.failed = 1,
        }
        let sum = self.tally.get();
        self.tally.set(CallerCounts {
            served: sum.served + tally.served,
            failed: sum.failed + tally.failed,
            outdated: sum.outdated + tally.outdated,
        });
    }

    /// Checks that a success is the whole answer to this request.
    fn check_success(&self, id: &Name, answer: &HttpAnswer) {
        let expected = format!("whole answer to {id}");
        let is_signed = caller::signed_by(answer).is_some();
        if answer.body != expected.as_bytes() || !is_signed {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            self.ledger
                .violation(format!("{id} got the answer {body:?}"));
        }
    }
}
