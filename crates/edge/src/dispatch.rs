//! A request at the backend server beside the agent, and what its answer means.

use std::net::SocketAddr;

use jy_http::client::AnswerCheck;
use jy_http::client::ExchangeError;
use jy_http::message::HttpAnswer;
use jy_http::message::strip_connection_headers;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_platform::headers;
use jy_platform::headers::AnswerKind;
use jy_platform::headers::DispatchHeaders;
use jy_types::endpoint::BackendIncarnation;
use jy_types::name::Name;
use jy_types::routing::RouteRule;
use jy_types::time::Millis;

use crate::forward::GateJob;
use crate::forward::GateOutcome;
use crate::forward::NotRunCause;
use crate::gate::LocalGate;
use crate::gate::UNAVAILABLE_RETRY_MS;

/// Longest wait for a connection to the backend server beside the agent, in milliseconds.
const CONNECT_MS: u64 = 250;
/// Connections rest at most this long before an idempotent request, in milliseconds.
const REST_MS: u64 = 4_000;
/// Connections rest at most this long before any other request, in milliseconds: one that the backend
/// server closes at the same moment leaves the outcome unknown.
const SHORT_REST_MS: u64 = 200;

/// Where a request is sent.
struct DispatchTarget {
    incarnation: BackendIncarnation,
    address: SocketAddr,
}

impl LocalGate {
    /// Sends a request to the backend server.
    pub(crate) async fn dispatch(&self, job: &GateJob, rule: &RouteRule) -> GateOutcome {
        let sent = clock::now();
        let Some(target) = self.target() else {
            return GateOutcome::NotRun {
                cause: NotRunCause::Unavailable,
                retry_ms: UNAVAILABLE_RETRY_MS,
            };
        };
        let left_ms = job.deadline.since(sent);
        let mut request = job.request.clone();
        strip_connection_headers(&mut request.headers);
        headers::set_dispatch(
            &mut request.headers,
            DispatchHeaders {
                left_ms,
                backend: &target.incarnation.id,
                origin: &job.origin,
            },
        );
        let terms = SendOptions {
            connect_ms: CONNECT_MS.min(left_ms),
            answer_ms: left_ms,
            rest_ms: if rule.idempotent {
                REST_MS
            } else {
                SHORT_REST_MS
            },
        };
        let check = AnswerCheck {
            header: headers::REQUEST_ID,
            id: &job.id,
        };
        let result = self
            .pool
            .send(target.address, &request, Some(check), terms)
            .await;
        match result {
            Ok(answer) => self.answered(sent, rule, &target, answer),
            Err(error) => self.failed(&target, &error),
        }
    }

    /// Where requests go now.
    fn target(&self) -> Option<DispatchTarget> {
        let incarnation = self.backend.read(|state| {
            let state = state.filter(|state| state.is_serving())?;
            Some(state.announced.incarnation.clone())
        })?;
        let address = self.address.get();
        Some(DispatchTarget {
            incarnation,
            address,
        })
    }

    /// Takes in an answer.
    fn answered(
        &self,
        sent: Millis,
        rule: &RouteRule,
        target: &DispatchTarget,
        answer: HttpAnswer,
    ) -> GateOutcome {
        let now = clock::now();
        if let Some(load) = headers::reported_load(&answer.headers)
            && let Some(pace) = load.pace_percent
        {
            self.state.borrow_mut().machine_pace = (now, pace);
        }
        let not_run = |cause| GateOutcome::NotRun {
            cause,
            retry_ms: UNAVAILABLE_RETRY_MS,
        };
        match headers::answer_kind(&answer) {
            AnswerKind::Ran => {
                self.note_work(rule, now.since(sent) as f64);
                let mut answer = answer;
                strip_connection_headers(&mut answer.headers);
                GateOutcome::Answered(answer)
            }
            AnswerKind::NotRun => {
                self.metrics.shed.inc();
                not_run(NotRunCause::Shed)
            }
            AnswerKind::WrongBackend => {
                self.backend.disowned(&target.incarnation.id);
                not_run(NotRunCause::Disowned)
            }
            AnswerKind::Foreign => GateOutcome::Unknown {
                reason: "the answer is no backend server's".into(),
            },
        }
    }

    /// Takes in that no whole answer came.
    fn failed(&self, target: &DispatchTarget, error: &ExchangeError) -> GateOutcome {
        if let ExchangeError::NoListener { .. } = error {
            self.backend.refused(&target.incarnation.id);
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

    /// Takes note of how long a request took.
    fn note_work(&self, rule: &RouteRule, elapsed_ms: f64) {
        let mut state = self.state.borrow_mut();
        let name = Name::clone(&rule.name);
        state.work.entry(name).or_default().observe(elapsed_ms);
        let objective = (rule.objective_ms as f64).max(1.0);
        state.pace.observe(elapsed_ms / objective);
        drop(state);
        self.metrics.backend_ms.observe(elapsed_ms);
    }
}
