//! Wait queue of the backend server, ordered by urgency, then deadline. Admission bounds its length.

use std::collections::BTreeMap;

use jy_types::time::Millis;
use jy_types::workspace::Urgency;

use crate::api::Arrival;

/// Sort key of a waiting request: urgency, deadline, ticket.
type QueueRank = (Urgency, Millis, u64);

/// Requests that wait to be dispatched.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<QueueRank, Arrival>,
    ranks_by_ticket: BTreeMap<u64, QueueRank>,
}

impl WaitQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether any waiting request matches.
    pub fn any(&self, matches: impl Fn(&Arrival) -> bool) -> bool {
        self.waiting.values().any(matches)
    }

    /// Adds a request.
    pub fn push(&mut self, arrival: Arrival) {
        let rank = (arrival.urgency, arrival.deadline, arrival.ticket);
        self.ranks_by_ticket.insert(arrival.ticket, rank);
        self.waiting.insert(rank, arrival);
    }

    /// Removes a request by its ticket.
    pub fn remove(&mut self, ticket: u64) -> Option<Arrival> {
        let rank = self.ranks_by_ticket.remove(&ticket)?;
        self.waiting.remove(&rank)
    }

    /// Returns the request that would be served last.
    #[must_use]
    pub fn last(&self) -> Option<&Arrival> {
        self.waiting.last_key_value().map(|(_, arrival)| arrival)
    }

    /// Removes and returns the first request that is ready.
    pub fn pop_ready(&mut self, is_ready: impl Fn(&Arrival) -> bool) -> Option<Arrival> {
        let ticket = self
            .waiting
            .values()
            .find(|arrival| is_ready(arrival))?
            .ticket;
        self.remove(ticket)
    }

    /// Removes and returns all requests that match.
    pub fn take_matching(&mut self, matches: impl Fn(&Arrival) -> bool) -> Vec<Arrival> {
        let tickets: Vec<u64> = self
            .waiting
            .values()
            .filter(|arrival| matches(arrival))
            .map(|arrival| arrival.ticket)
            .collect();
        tickets
            .into_iter()
            .filter_map(|ticket| self.remove(ticket))
            .collect()
    }

    /// Returns the earliest deadline of a waiting request.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Millis> {
        let classes = [Urgency::Urgent, Urgency::Normal, Urgency::Deferrable];
        let earliest = |class: Urgency| {
            let from = (class, Millis(0), 0);
            let to = (class, Millis::MAX, u64::MAX);
            self.waiting.range(from..=to).next().map(|(rank, _)| rank.1)
        };
        classes.into_iter().filter_map(earliest).min()
    }
}
