//! Admission of large request bodies between agents.
//!
//! Before a gateway sends a request with a large body to another agent, it asks that agent's gate to admit the
//! body. The gate answers once the link has room for it, with the rate at which the body is to be sent, or
//! refuses the request before any of it was sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_text;
use jy_http::message::set_header;
use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_policy::transfer::LARGE_BODY_BYTES;
use jy_policy::transfer::TransferAdmission;
use jy_policy::transfer::TransferRequest;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::forward;
use crate::forward::GateJob;
use crate::forward::GateOutcome;
use crate::forward::GateReport;
use crate::forward::NotRunCause;
use crate::gate::LocalGate;

/// Result of asking another agent to admit a body; the error is that agent's report.
pub type Result<T> = std::result::Result<T, GateReport>;

/// Path at which gates admit large bodies.
pub const TRANSFER_PATH: &str = "/jy/transfer";
/// Size of the body, in bytes.
const BODY_BYTES_HEADER: &str = "jy-body-bytes";
/// Longest wait for admission, in milliseconds.
const MAX_WAIT_MS_HEADER: &str = "jy-max-wait-ms";
/// Ticket of an admitted body: in the gate's answer, and in the request that brings the body.
pub const TICKET_HEADER: &str = "jy-transfer";
/// Rate at which an admitted body is to be sent, in bytes per millisecond.
const RATE_HEADER: &str = "jy-bytes-per-ms";

/// Permission to send a large body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferGrant {
    /// Ticket of the body, if the gate keeps one.
    pub ticket: Option<u64>,
    /// Rate at which the body is to be sent, in bytes per millisecond.
    pub bytes_per_ms: Option<u64>,
}

/// Removes a body from the gate's queue on drop, unless it was admitted.
struct WaitGuard {
    gate: Rc<LocalGate>,
    ticket: u64,
    is_admitted: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if !self.is_admitted {
            self.gate.end_transfer(self.ticket);
        }
    }
}

/// Asks another agent's gate to admit the body of a job by the given time.
///
/// # Errors
///
/// Returns the gate's report if the request is not to be sent there.
pub async fn request_grant(
    pool: &ConnectionPool,
    address: SocketAddr,
    job: &GateJob,
    admit_by: Millis,
) -> Result<TransferGrant> {
    let now = clock::now();
    let mut request = HttpRequest::new(Method::POST, TRANSFER_PATH).with_header("host", "fleet");
    forward::set_job_headers(&mut request.headers, job, now);
    let body_bytes = job.request.body.len().to_string();
    set_header(&mut request.headers, BODY_BYTES_HEADER, &body_bytes);
    let max_wait_ms = admit_by.since(now).to_string();
    set_header(&mut request.headers, MAX_WAIT_MS_HEADER, &max_wait_ms);
    let options = forward::send_options(job.deadline.since(now));
    match pool.send(address, &request, None, options).await {
        Ok(response) if response.status == StatusCode::OK => Ok(decode_grant(&response)),
        Ok(response) => {
            let report = forward::decode_report(response);
            match report.outcome {
                // An agent of an earlier version does not know the request, and takes bodies without admission.
                GateOutcome::Unknown { reason } => {
                    log::debug!("request={} sent without admission: {reason}", job.id);
                    Ok(TransferGrant::default())
                }
                GateOutcome::Answered(_) | GateOutcome::NotRun { .. } => Err(report),
            }
        }
        Err(error) => {
            pool.close_idle(address);
            log::debug!("request={} not admitted: {error}", job.id);
            Err(GateReport::not_run(NotRunCause::Unavailable, 0, None))
        }
    }
}

/// Decodes a grant.
fn decode_grant(response: &HttpResponse) -> TransferGrant {
    let number = |name| header_text(&response.headers, name).and_then(|text| text.parse().ok());
    TransferGrant {
        ticket: number(TICKET_HEADER),
        bytes_per_ms: number(RATE_HEADER),
    }
}

/// Whether a body asks for admission before it is sent to another agent.
#[must_use]
pub const fn needs_grant(body_bytes: u64) -> bool {
    body_bytes >= LARGE_BODY_BYTES
}

impl LocalGate {
    /// Answers another agent that asks to send the body of a job.
    pub async fn answer_transfer(self: Rc<Self>, request: HttpRequest) -> HttpResponse {
        let now = clock::now();
        let number = |name| -> Option<u64> { header_text(&request.headers, name)?.parse().ok() };
        let body_bytes = number(BODY_BYTES_HEADER);
        let max_wait_ms = number(MAX_WAIT_MS_HEADER);
        let job = forward::decode_job(request, "transfer".into(), now);
        let (Some(job), Some(body_bytes), Some(max_wait_ms)) = (job, body_bytes, max_wait_ms)
        else {
            let reason = "a request for a transfer lacks its headers";
            return crate::refusal::rejected(StatusCode::BAD_REQUEST, reason);
        };
        match self
            .admit_transfer(&job, body_bytes, now.plus(max_wait_ms))
            .await
        {
            Ok(grant) => {
                let mut response = HttpResponse::new(StatusCode::OK, "");
                let fields = [
                    (TICKET_HEADER, grant.ticket),
                    (RATE_HEADER, grant.bytes_per_ms),
                ];
                for (name, value) in fields {
                    if let Some(value) = value {
                        set_header(&mut response.headers, name, &value.to_string());
                    }
                }
                response
            }
            Err(outcome) => forward::encode_report(GateReport {
                outcome,
                load: Some(self.load(clock::now())),
            }),
        }
    }

    /// Waits until the link has room for a body.
    ///
    /// # Errors
    ///
    /// Returns why the request is not to be sent.
    async fn admit_transfer(
        self: &Rc<Self>,
        job: &GateJob,
        body_bytes: u64,
        admit_by: Millis,
    ) -> std::result::Result<TransferGrant, GateOutcome> {
        let not_run = |cause, retry_ms| Err(GateOutcome::NotRun { cause, retry_ms });
        let now = clock::now();
        if let Err(cause) = self.check_dispatchable(now, job) {
            return not_run(cause, crate::gate::UNAVAILABLE_RETRY_MS);
        }
        let useful_until = self.latest_start(now, job);
        let (ticket, started) = {
            let mut state = self.state.borrow_mut();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            let transfer_request = TransferRequest {
                body_bytes,
                admit_by,
                useful_until,
            };
            match state.transfers.offer(now, ticket, transfer_request) {
                TransferAdmission::Refused { retry_ms } => {
                    return not_run(NotRunCause::Overloaded, retry_ms);
                }
                TransferAdmission::Queued => {}
            }
            let (sender, started) = oneshot::channel();
            state.transfer_senders.insert(ticket, sender);
            (ticket, started)
        };
        let mut guard = WaitGuard {
            gate: Rc::clone(self),
            ticket,
            is_admitted: false,
        };
        self.start_transfers();
        let wait = Duration::from_millis(useful_until.since(now).max(1));
        if !matches!(timeout(wait, started).await, Ok(Ok(()))) {
            return not_run(NotRunCause::Overloaded, 0);
        }
        guard.is_admitted = true;
        let rate = self.state.borrow().transfers.rate();
        Ok(TransferGrant {
            ticket: Some(ticket),
            bytes_per_ms: Some(rate as u64),
        })
    }

    /// Admits waiting bodies as long as the link has room.
    fn start_transfers(self: &Rc<Self>) {
        let now = clock::now();
        loop {
            let mut state = self.state.borrow_mut();
            let Some((ticket, expires)) = state.transfers.start(now) else {
                return;
            };
            let sender = state.transfer_senders.remove(&ticket);
            drop(state);
            if sender.is_none_or(|sender| sender.send(()).is_err()) {
                self.state.borrow_mut().transfers.remove(ticket);
                continue;
            }
            self.start_transfers_at(expires);
        }
    }

    /// Admits waiting bodies once an admission has expired.
    fn start_transfers_at(self: &Rc<Self>, due: Millis) {
        let gate = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(due.since(clock::now()))).await;
            gate.start_transfers();
        });
    }

    /// Ends the transfer of a body that has arrived or was given up, and admits the next one.
    pub fn end_transfer(self: &Rc<Self>, ticket: u64) {
        {
            let mut state = self.state.borrow_mut();
            state.transfers.remove(ticket);
            state.transfer_senders.remove(&ticket);
        }
        self.start_transfers();
    }
}

/// Returns the ticket of the body that a request brings.
#[must_use]
pub fn ticket_of(request: &HttpRequest) -> Option<u64> {
    header_text(&request.headers, TICKET_HEADER)?.parse().ok()
}

/// Adds the ticket of an admitted body to the request that brings it.
pub fn set_ticket(request: &mut HttpRequest, grant: TransferGrant) {
    if let Some(ticket) = grant.ticket {
        let text: Name = ticket.to_string().into();
        set_header(&mut request.headers, TICKET_HEADER, &text);
    }
}
