//! A request that has been neither answered nor refused yet, and its attempts.

use jy_types::member::AgentId;
use jy_types::request::RefusalKind;
use jy_types::time::Millis;

use crate::api::RouteRequest;

/// An attempt that is in flight.
#[derive(Clone, Debug)]
pub(crate) struct LiveAttempt {
    pub(crate) number: u32,
    pub(crate) to: AgentId,
    pub(crate) sent_at: Millis,
}

/// A request that has been neither answered nor refused yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) request: RouteRequest,
    pub(crate) is_keyed: bool,
    pub(crate) live: Vec<LiveAttempt>,
    pub(crate) send_count: u32,
    /// Endpoints to which the request was sent since the last retry delay.
    pub(crate) tried: Vec<AgentId>,
    /// Whether an attempt that has ended may have run the request.
    pub(crate) maybe_ran: bool,
    /// Reason to refuse the request if no further attempt is made.
    pub(crate) reason: RefusalKind,
    /// When the request is due for a retry, for hedging or for its refusal at the deadline.
    pub(crate) wake_at: Millis,
    pub(crate) hedged: bool,
}

impl OpenRequest {
    pub(crate) const fn new(request: RouteRequest, is_keyed: bool) -> Self {
        let wake_at = request.deadline;
        let reason = Self::unreached_reason(is_keyed);
        Self {
            request,
            is_keyed,
            live: Vec::new(),
            send_count: 0,
            tried: Vec::new(),
            maybe_ran: false,
            reason,
            wake_at,
            hedged: false,
        }
    }

    /// Returns the reason to refuse a request that reached no backend server.
    pub(crate) const fn unreached_reason(is_keyed: bool) -> RefusalKind {
        if is_keyed {
            RefusalKind::KeyUnavailable
        } else {
            RefusalKind::NoEndpoint
        }
    }

    /// Removes an attempt from the attempts in flight.
    pub(crate) fn take_live(&mut self, number: u32) -> Option<LiveAttempt> {
        let index = self.live.iter().position(|live| live.number == number)?;
        Some(self.live.swap_remove(index))
    }

    /// Returns whether the request may be sent a second time while the first attempt is in flight.
    pub(crate) const fn may_hedge(&self) -> bool {
        self.request.idempotent && !self.is_keyed && !self.hedged
    }
}
