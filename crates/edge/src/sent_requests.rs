//! Requests that were sent to the backend server and may still run there.
//!
//! A request runs until it is answered, until the backend server closes its connection, or until its deadline.
//! A request whose connection the agent closes first may run on, since not every backend server drops it then.

use std::collections::BTreeMap;

use jy_types::endpoint::BackendIncarnation;
use jy_types::time::Millis;

/// A request that may still run.
#[derive(Clone, Debug)]
struct SentRequest {
    incarnation: BackendIncarnation,
    deadline: Millis,
    /// Whether its connection is open, on which the end of the process would show.
    is_awaited: bool,
}

/// Identifies a request in [`SentRequests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SentTicket(u64);

/// The requests that may still run at the backend server, of all its incarnations.
#[derive(Clone, Debug, Default)]
pub struct SentRequests {
    requests: BTreeMap<SentTicket, SentRequest>,
    next_ticket: u64,
}

impl SentRequests {
    /// Creates a state in which no request runs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request that is about to be sent.
    pub fn add(&mut self, incarnation: &BackendIncarnation, deadline: Millis) -> SentTicket {
        self.insert(SentRequest {
            incarnation: incarnation.clone(),
            deadline,
            is_awaited: true,
        })
    }

    /// Adds work that earlier runs of the agent may have sent, and of which nothing is left after `until`.
    pub fn add_earlier_work(&mut self, incarnation: &BackendIncarnation, until: Millis) {
        self.insert(SentRequest {
            incarnation: incarnation.clone(),
            deadline: until,
            is_awaited: false,
        });
    }

    /// Removes a request that has been answered, was not sent, or whose connection the backend server closed.
    pub fn remove(&mut self, ticket: SentTicket) {
        self.requests.remove(&ticket);
    }

    /// Marks a request as one whose connection the agent has closed: it may run until its deadline.
    pub fn abandon(&mut self, now: Millis, ticket: SentTicket) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.is_awaited = false;
        }
        let may_run = |request: &SentRequest| request.is_awaited || now < request.deadline;
        self.requests.retain(|_, request| may_run(request));
    }

    /// Whether a request may still run at an incarnation that accepts no connections.
    #[must_use]
    pub fn may_run(&self, now: Millis, incarnation: &BackendIncarnation) -> bool {
        self.requests.values().any(|request| {
            request.incarnation == *incarnation && (request.is_awaited || now < request.deadline)
        })
    }

    /// Whether a connection with an unanswered request to an incarnation other than `incarnation` is open, so
    /// that the process of that one has not ended.
    #[must_use]
    pub fn runs_elsewhere(&self, incarnation: &BackendIncarnation) -> bool {
        let mut requests = self.requests.values();
        requests.any(|request| request.is_awaited && request.incarnation != *incarnation)
    }

    /// Adds a request under a new ticket.
    fn insert(&mut self, request: SentRequest) -> SentTicket {
        let ticket = SentTicket(self.next_ticket);
        self.next_ticket += 1;
        self.requests.insert(ticket, request);
        ticket
    }
}
