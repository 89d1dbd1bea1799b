//! Sends requests to the backend server beside the agent and classifies its answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use jy_http::client::ExchangeError;
use jy_http::client::ResponseCheck;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::strip_connection_headers;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_platform::headers;
use jy_platform::headers::DispatchHeaders;
use jy_platform::headers::ResponseKind;
use jy_policy::capacity::MEASUREMENT_INTERVAL_MS;
use jy_policy::capacity::MEASUREMENTS;
use jy_types::endpoint::BackendIncarnation;
use jy_types::name::Name;
use jy_types::routing::RouteRule;
use jy_types::routing::ServiceRule;
use jy_types::time::Millis;
use tokio::time::sleep;

use crate::forward::GateJob;
use crate::forward::GateOutcome;
use crate::forward::MEMORY_RETRY_MS;
use crate::forward::NotRunCause;
use crate::gate::LocalGate;
use crate::gate::UNAVAILABLE_RETRY_MS;

const CONNECT_TIMEOUT_MS: u64 = 250;
/// Connections that were idle for longer are not used for idempotent requests, in milliseconds.
const IDEMPOTENT_MAX_IDLE_MS: u64 = 4_000;
/// Connections that were idle for longer are not used for other requests, in milliseconds. If the backend
/// server closes a connection while a request is sent on it, the outcome of the request is unknown.
const NON_IDEMPOTENT_MAX_IDLE_MS: u64 = 200;

/// Incarnation and address of the backend server that a request is sent to.
struct DispatchTarget {
    incarnation: BackendIncarnation,
    address: SocketAddr,
}

/// Counts the bytes of a request as held by the backend server until it is dropped.
struct HeldGuard<'a> {
    gate: &'a LocalGate,
    bytes: u64,
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.gate.state.borrow_mut().held_bytes.end(self.bytes);
    }
}

/// Logs a new bound on the bytes that the backend server holds.
pub(crate) fn log_bound(bound: Option<u64>) {
    if let Some(bytes) = bound {
        log::info!(
            "decision backend server gets at most bytes={bytes} at once: it crashed with more"
        );
    }
}

impl LocalGate {
    /// Sends a request to the backend server and waits for its response.
    pub(crate) async fn dispatch(&self, job: &GateJob, rule: &RouteRule) -> GateOutcome {
        let sent_at = clock::now();
        let Some(target) = self.dispatch_target(sent_at, job.key) else {
            return GateOutcome::NotRun {
                cause: NotRunCause::Unavailable,
                retry_ms: UNAVAILABLE_RETRY_MS,
            };
        };
        let held = self.hold_bytes(sent_at, job.request.body.len() as u64);
        let Some(_held) = held.filter(|_| self.pool.admits_unsent()) else {
            return GateOutcome::NotRun {
                cause: NotRunCause::Overloaded,
                retry_ms: MEMORY_RETRY_MS,
            };
        };
        let left_ms = job.deadline.since(sent_at);
        let mut request = job.request.clone();
        strip_connection_headers(&mut request.headers);
        let has_tenants = {
            let snapshot = self.snapshot.borrow();
            snapshot
                .routes
                .as_ref()
                .is_some_and(|routes| routes.tenants.is_some())
        };
        if has_tenants {
            // The gateway has removed them, unless its configuration has no tenants yet.
            headers::remove_credentials(&mut request.headers);
        }
        headers::set_dispatch_headers(
            &mut request.headers,
            DispatchHeaders {
                time_left_ms: left_ms,
                backend: &target.incarnation.id,
                origin: &job.origin,
                tenant: job.tenant.as_deref(),
            },
        );
        let options = SendOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS.min(left_ms),
            response_timeout_ms: left_ms,
            max_idle_ms: if rule.idempotent {
                IDEMPOTENT_MAX_IDLE_MS
            } else {
                NON_IDEMPOTENT_MAX_IDLE_MS
            },
            max_bytes_per_ms: None,
        };
        let check = ResponseCheck {
            header: headers::REQUEST_ID,
            id: &job.id,
        };
        let running = self
            .backend
            .start_request(&target.incarnation, job.deadline);
        let result = self
            .pool
            .send(target.address, &request, Some(check), options)
            .await;
        if let Some(running) = running {
            running.end();
        }
        match result {
            Ok(response) => self.handle_response(sent_at, rule, &target, response),
            Err(error) => self.handle_error(&target, &error),
        }
    }

    /// Counts `bytes` bytes as held by the backend server, or returns `None` if it can't hold them.
    fn hold_bytes(&self, now: Millis, bytes: u64) -> Option<HeldGuard<'_>> {
        let is_held = self.state.borrow_mut().held_bytes.start(now, bytes);
        if !is_held {
            self.metrics.memory.held_refused.inc();
        }
        is_held.then(|| HeldGuard { gate: self, bytes })
    }

    /// Forgets failures that would make the end of the backend server count as a crash, if it leaves.
    pub(crate) fn forget_failures_if_leaving(&self) {
        if self.backend.leaving().is_some() {
            self.state.borrow_mut().held_bytes.forget_failures();
        }
    }

    /// Measures the service time of a backend server that has just started, relative to that of a usual one, in
    /// percent. Returns `None` if its answers to status checks don't state it.
    pub(crate) async fn measure_service_time(&self, health_path: &str) -> Option<u32> {
        let mut shortest: Option<u32> = None;
        for _ in 0..MEASUREMENTS {
            sleep(Duration::from_millis(MEASUREMENT_INTERVAL_MS)).await;
            match self.check_status(health_path).await {
                Ok(response) => {
                    let load = headers::reported_load(&response.headers);
                    let percent = load.and_then(|load| load.service_time_percent);
                    shortest = shortest.into_iter().chain(percent).min();
                }
                Err(error) => log::debug!("failed to measure the backend server: {error}"),
            }
        }
        shortest
    }

    /// Asks the backend server for its status.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if there is no complete response in time.
    async fn check_status(&self, health_path: &str) -> Result<HttpResponse, ExchangeError> {
        let request = HttpRequest::new(Method::GET, health_path).with_header("host", "backend");
        let options = SendOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            response_timeout_ms: CONNECT_TIMEOUT_MS,
            max_idle_ms: IDEMPOTENT_MAX_IDLE_MS,
            max_bytes_per_ms: None,
        };
        self.pool
            .send(self.address.get(), &request, None, options)
            .await
    }

    /// Counts a request that is about to be sent, and asks the backend server whether it has turned cold if that is
    /// due. Its announcements say so too, but later.
    pub(crate) fn start_cold_check(self: &Rc<Self>, service: &ServiceRule) {
        let now = clock::now();
        let is_due = {
            let mut state = self.state.borrow_mut();
            !state.cold_start_limiter.is_cold(now)
                && state.cold_checks.record_sent(now, service.cold_per_s)
        };
        if !is_due {
            return;
        }
        let (gate, health_path) = (Rc::clone(self), Name::clone(&service.health_path));
        actix_rt::spawn(async move {
            let result = gate.check_status(&health_path).await;
            gate.state.borrow_mut().cold_checks.end();
            match result {
                Ok(response) => gate.apply_cold_ms(headers::cold_ms(&response.headers)),
                Err(error) => {
                    log::debug!("failed to ask whether the backend server is cold: {error}");
                }
            }
        });
    }

    /// Applies the time for which the backend server stays cold, in milliseconds, if it states one.
    fn apply_cold_ms(&self, cold_ms: Option<u64>) {
        let Some(cold_ms) = cold_ms.filter(|cold_ms| *cold_ms > 0) else {
            return;
        };
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if !state.cold_start_limiter.is_cold(now) {
            log::info!("belief backend server turned cold, by its status: cold_ms={cold_ms}");
        }
        let until = now.plus(cold_ms);
        state.cold_until = until;
        state.cold_start_limiter.set_cold_until(now, until);
    }

    /// Returns the backend server to send to, if it accepts the request.
    fn dispatch_target(&self, now: Millis, key: Option<u16>) -> Option<DispatchTarget> {
        let incarnation = self.backend.read(|state| {
            let state = state.filter(|state| self.backend.accepts(now, state, key.is_some()))?;
            Some(state.announced.incarnation.clone())
        })?;
        let address = self.address.get();
        Some(DispatchTarget {
            incarnation,
            address,
        })
    }

    /// Classifies a response. Records the service time that the backend server reports and, if the request ran,
    /// the measured one.
    fn handle_response(
        &self,
        sent_at: Millis,
        rule: &RouteRule,
        target: &DispatchTarget,
        response: HttpResponse,
    ) -> GateOutcome {
        let now = clock::now();
        if let Some(load) = headers::reported_load(&response.headers)
            && let Some(service_time_percent) = load.service_time_percent
        {
            self.state.borrow_mut().reported_service_time = (now, service_time_percent);
        }
        let not_run = |cause| GateOutcome::NotRun {
            cause,
            retry_ms: UNAVAILABLE_RETRY_MS,
        };
        match headers::response_kind(&response) {
            // The request may have run, and callers would take the status for a promise that it has not.
            ResponseKind::Ran if headers::promises_not_executed(response.status) => {
                let status = response.status.as_u16();
                let reason = format!(
                    "the answer's status {status} alone does not say what became of the request"
                );
                GateOutcome::Unknown {
                    reason: reason.into(),
                }
            }
            ResponseKind::Ran => {
                self.record_service_time(rule, now.since(sent_at) as f64);
                let mut response = response;
                strip_connection_headers(&mut response.headers);
                GateOutcome::Answered(response)
            }
            ResponseKind::NotRun => {
                self.metrics.shed.inc();
                not_run(NotRunCause::Shed)
            }
            ResponseKind::WrongBackend => {
                self.backend.mark_disowned(&target.incarnation.id);
                not_run(NotRunCause::Disowned)
            }
            ResponseKind::Foreign => GateOutcome::Unknown {
                reason: "the answer is no backend server's".into(),
            },
        }
    }

    /// Determines the outcome of an exchange without a complete response, and records a refused connection.
    fn handle_error(&self, target: &DispatchTarget, error: &ExchangeError) -> GateOutcome {
        let now = clock::now();
        let is_leaving = self
            .backend
            .read(|backend| backend.is_some_and(|backend| backend.leaving_since.is_some()));
        if let ExchangeError::ConnectionRefused { .. } = error {
            self.backend.mark_refused(&target.incarnation.id);
            if !is_leaving {
                log_bound(self.state.borrow_mut().held_bytes.record_refusal(now));
            }
        }
        if error.is_cut() && !is_leaving {
            log_bound(self.state.borrow_mut().held_bytes.record_failure(now));
        }
        if error.may_have_run() {
            return GateOutcome::Unknown {
                reason: error.to_string().into(),
            };
        }
        GateOutcome::NotRun {
            cause: NotRunCause::Unavailable,
            retry_ms: UNAVAILABLE_RETRY_MS,
        }
    }

    /// Records the service time of a request.
    fn record_service_time(&self, rule: &RouteRule, elapsed_ms: f64) {
        let mut state = self.state.borrow_mut();
        let route = Name::clone(&rule.name);
        state
            .service_times
            .entry(route)
            .or_default()
            .observe(elapsed_ms);
        let objective_ms = (rule.objective_ms as f64).max(1.0);
        state
            .relative_service_time
            .observe(elapsed_ms / objective_ms);
        drop(state);
        self.metrics.backend_ms.observe(elapsed_ms);
    }
}
