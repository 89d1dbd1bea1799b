//! Sends credit requests to the holders of slots, and answers those of other agents.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::quota::CreditReply;
use jy_types::quota::CreditRequest;
use jy_types::quota::SlotRecord;
use jy_types::time::Millis;
use tokio::time::timeout;

use super::LocalQuota;
use super::QUOTA_PATH;
use super::QuotaState;
use crate::refusal;

/// Time limit of a credit request, in milliseconds: 30 times its usual duration.
const CREDIT_TIMEOUT_MS: u64 = 60;
/// Longest time for which an idle connection to a holder is kept for reuse, in milliseconds.
const MAX_IDLE_CONNECTION_MS: u64 = 15_000;

impl LocalQuota {
    /// Answers another agent's credit request.
    #[must_use]
    pub fn answer(&self, request: &HttpRequest) -> HttpResponse {
        if request.method != Method::POST {
            let reason = "credit is requested by POST";
            return refusal::rejected(StatusCode::METHOD_NOT_ALLOWED, reason);
        }
        let credit_request = match serde_json::from_slice::<CreditRequest>(&request.body) {
            Ok(credit_request) => credit_request,
            Err(error) => {
                let reason = format!("the credit request is not understood: {error}");
                return refusal::rejected(StatusCode::BAD_REQUEST, &reason);
            }
        };
        let reply = self.state.lend(&credit_request);
        match serde_json::to_vec(&reply) {
            Ok(body) => {
                let mut response = HttpResponse::new(StatusCode::OK, "")
                    .with_header("content-type", "application/json");
                response.body = body.into();
                response
            }
            Err(error) => {
                log::error!("failed to encode a credit reply: {error}");
                refusal::rejected(StatusCode::INTERNAL_SERVER_ERROR, "no answer")
            }
        }
    }
}

impl QuotaState {
    /// Builds the credit request to the holder of a part. The address is `None` if this agent is the holder.
    pub(super) fn prepare_request(
        &self,
        now: Millis,
        tenant: &Name,
        part: u8,
    ) -> Option<(CreditRequest, Rc<SlotRecord>, Option<SocketAddr>)> {
        let mut accounts = self.accounts.borrow_mut();
        let open = accounts.get_mut(tenant)?;
        let snapshot = self.fleet.get()?.snapshot.borrow();
        let slot = open.account.terms().slot(part);
        let holder = Rc::clone(&snapshot.quota_slots.get(&slot)?.record);
        let address = if holder.node == self.node {
            None
        } else {
            Some(snapshot.instances.get(&holder.node)?.record.gate)
        };
        let waiting = open.waiters.len();
        let request = open.account.request(now, tenant, part, waiting);
        Some((request, holder, address))
    }

    /// Sends a credit request. Returns `None` if no valid reply comes back in time.
    pub(super) async fn send_request(
        &self,
        to: SocketAddr,
        request: &CreditRequest,
    ) -> Option<CreditReply> {
        let body = match serde_json::to_vec(request) {
            Ok(body) => body,
            Err(error) => {
                log::error!("failed to encode a credit request: {error}");
                return None;
            }
        };
        if let Some(fleet) = self.fleet.get() {
            fleet.metrics.quota_messages.inc();
        }
        let request = HttpRequest::new(Method::POST, QUOTA_PATH)
            .with_header("host", "fleet")
            .with_header("content-type", "application/json")
            .with_body(body.into());
        let options = SendOptions {
            connect_timeout_ms: CREDIT_TIMEOUT_MS,
            response_timeout_ms: CREDIT_TIMEOUT_MS,
            max_idle_ms: MAX_IDLE_CONNECTION_MS,
            max_bytes_per_ms: None,
        };
        let limit = Duration::from_millis(CREDIT_TIMEOUT_MS);
        let sending = self.pool.send(to, &request, None, options);
        let response = match timeout(limit, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                self.pool.close_idle(to);
                log::debug!("credit request to {to} failed: {error}");
                return None;
            }
            Err(_) => {
                self.pool.close_idle(to);
                return None;
            }
        };
        match serde_json::from_slice(&response.body) {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::warn!("invalid credit reply from {to}: {error}");
                None
            }
        }
    }

    /// Lends credit from a slot of this agent, by the configuration in force.
    pub(super) fn lend(&self, request: &CreditRequest) -> CreditReply {
        self.refresh_book();
        self.lend_from_book(request)
    }

    /// Lends credit from a slot of this agent.
    pub(super) fn lend_from_book(&self, request: &CreditRequest) -> CreditReply {
        let Some(fleet) = self.fleet.get() else {
            return CreditReply::NotHolder;
        };
        let term = fleet.member.lease_term();
        let term = term.filter(|_| !self.is_releasing.get());
        // The clock is read after the request has arrived and the lease is known, so that a loan counts from a
        // time at which the agent may lend.
        let mut lender = self.lender.borrow_mut();
        let reply = lender.answer(clock::now(), term, request);
        if let CreditReply::Grant(grant) = &reply {
            fleet.metrics.quota_lent.inc_by(u64::from(grant.lent));
        }
        reply
    }
}
