//! A request that is neither answered nor refused yet, and its attempts.

use jy_types::member::AgentId;
use jy_types::request::RefusalKind;
use jy_types::time::Millis;

use crate::api::RouteRequest;

/// One send of a request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct LiveAttempt {
    pub(crate) number: u32,
    pub(crate) to: AgentId,
    pub(crate) sent: Millis,
}

/// A request that is neither answered nor refused.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) request: RouteRequest,
    pub(crate) is_keyed: bool,
    pub(crate) live: Vec<LiveAttempt>,
    pub(crate) sends: u32,
    /// Endpoints that it went to.
    pub(crate) tried: Vec<AgentId>,
    /// Whether an attempt may have run.
    pub(crate) maybe_ran: bool,
    /// Why it was not served so far.
    pub(crate) reason: RefusalKind,
    /// When to look at it again.
    pub(crate) wake: Millis,
    pub(crate) hedged: bool,
}

impl OpenRequest {
    /// Opens a request.
    pub(crate) const fn new(request: RouteRequest, is_keyed: bool) -> Self {
        let wake = request.deadline;
        let reason = Self::reason_of(is_keyed);
        Self {
            request,
            is_keyed,
            live: Vec::new(),
            sends: 0,
            tried: Vec::new(),
            maybe_ran: false,
            reason,
            wake,
            hedged: false,
        }
    }

    /// Why a request is not served that reached nobody.
    pub(crate) const fn reason_of(is_keyed: bool) -> RefusalKind {
        if is_keyed {
            RefusalKind::KeyUnavailable
        } else {
            RefusalKind::NoEndpoint
        }
    }

    /// Removes an attempt that ended.
    pub(crate) fn take_live(&mut self, number: u32) -> Option<LiveAttempt> {
        let index = self.live.iter().position(|live| live.number == number)?;
        Some(self.live.swap_remove(index))
    }

    /// Whether it may be sent a second time while the first runs.
    pub(crate) const fn may_hedge(&self) -> bool {
        self.request.idempotent && !self.is_keyed && !self.hedged
    }
}
