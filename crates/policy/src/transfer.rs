//! Admission of large request bodies to the network link of a backend server's instance.
//!
//! Load pattern: callers upload large bodies, through many instances, to a few backend servers behind slow
//! links. If every instance sends its body as soon as it has it, the bodies fill the link's queue, and brief
//! calls to the same backend servers wait behind them for seconds. Bodies therefore wait where they are until
//! the receiving gate admits them, a few at a time, each at a share of the link's rate.

use std::collections::BTreeMap;

use jy_types::time::Millis;

/// Bodies of at least this size ask for admission, in bytes. Smaller ones hold up other messages little.
pub const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// Share of the link that all admitted bodies use together. The rest carries other messages without a queue.
const TRANSFER_LINK_SHARE: f64 = 0.9;

/// Number of bodies that are received at once: with two, the link is used while one sender is slow.
const MAX_TRANSFERS: usize = 2;

/// Longest wait for the link at a gate that is not the last one asked, as a share of the time left until the
/// latency objective.
const MAX_EARLY_WAIT_SHARE: f64 = 0.3;

/// An admitted body counts as lost after this multiple of its transfer time, and [`EXPIRY_SLACK_MS`].
const EXPIRY_FACTOR: f64 = 2.0;

/// Time for the messages before and after a body, in milliseconds.
const EXPIRY_SLACK_MS: u64 = 300;

/// A body that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferRequest {
    /// Size of the body, in bytes.
    pub body_bytes: u64,
    /// The body is refused if it can't be admitted by this time, as its sender then asks another gate.
    pub admit_by: Millis,
    /// The transfer must end by this time to be of use.
    pub useful_until: Millis,
}

/// Outcome of offering a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferAdmission {
    /// The body waits for its turn.
    Queued,
    /// The body would arrive too late.
    Refused {
        /// Time after which another attempt may be admitted, in milliseconds from now.
        retry_ms: u64,
    },
}

/// An admitted body.
#[derive(Clone, Copy, Debug)]
struct ActiveTransfer {
    ends: Millis,
    expires: Millis,
}

/// Bodies that are received over one link or wait for it, in the order of their tickets.
#[derive(Clone, Debug)]
pub struct TransferQueue {
    link_bytes_per_ms: f64,
    waiting: BTreeMap<u64, TransferRequest>,
    active: BTreeMap<u64, ActiveTransfer>,
}

/// Returns the number of bytes per millisecond that a link of `mbps` megabits per second carries.
#[must_use]
pub fn bytes_per_ms(mbps: f64) -> f64 {
    mbps * 1_000_000.0 / 8.0 / 1_000.0
}

/// Returns the latest time at which a body is to be admitted by the gate that is asked as number `attempt` of
/// `max_attempts`. Gates that are asked early refuse unless their link is nearly idle, since asking another one
/// takes less time than waiting; the last one may let the body wait until `deadline`.
#[must_use]
pub fn admit_by(
    now: Millis,
    attempt: usize,
    max_attempts: usize,
    objective: Millis,
    deadline: Millis,
) -> Millis {
    if attempt >= max_attempts {
        return deadline;
    }
    let share = MAX_EARLY_WAIT_SHARE * attempt as f64 / max_attempts as f64;
    now.plus((objective.since(now) as f64 * share) as u64)
}

/// Returns the rate at which one body is sent over a link, in bytes per millisecond.
#[must_use]
pub fn transfer_rate(link_bytes_per_ms: f64) -> f64 {
    (link_bytes_per_ms * TRANSFER_LINK_SHARE / MAX_TRANSFERS as f64).max(1.0)
}

impl TransferQueue {
    /// Creates a queue for a link of the given rate.
    #[must_use]
    pub fn new(link_bytes_per_ms: f64) -> Self {
        Self {
            link_bytes_per_ms,
            waiting: BTreeMap::new(),
            active: BTreeMap::new(),
        }
    }

    /// Returns the rate at which an admitted body is sent, in bytes per millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        transfer_rate(self.link_bytes_per_ms)
    }

    /// Queues a body, or refuses it if those ahead of it leave it too little time.
    pub fn offer(
        &mut self,
        now: Millis,
        ticket: u64,
        request: TransferRequest,
    ) -> TransferAdmission {
        self.expire(now);
        let wait_ms = self.backlog_ms(now);
        let end = now.plus((wait_ms + self.duration_ms(request.body_bytes)) as u64);
        let is_too_late = end > request.useful_until || now.plus(wait_ms as u64) > request.admit_by;
        if wait_ms > 0.0 && is_too_late {
            let retry_ms = wait_ms as u64;
            return TransferAdmission::Refused { retry_ms };
        }
        self.waiting.insert(ticket, request);
        TransferAdmission::Queued
    }

    /// Admits the next body if fewer than [`MAX_TRANSFERS`] are being received. Returns its ticket and when
    /// its admission expires.
    pub fn start(&mut self, now: Millis) -> Option<(u64, Millis)> {
        self.expire(now);
        if self.active.len() >= MAX_TRANSFERS {
            return None;
        }
        let (ticket, request) = self.waiting.pop_first()?;
        let duration_ms = self.duration_ms(request.body_bytes);
        let ends = now.plus(duration_ms as u64);
        let expires = now.plus((duration_ms * EXPIRY_FACTOR) as u64 + EXPIRY_SLACK_MS);
        self.active.insert(ticket, ActiveTransfer { ends, expires });
        Some((ticket, expires))
    }

    /// Removes a body that has arrived or was given up.
    pub fn remove(&mut self, ticket: u64) {
        self.waiting.remove(&ticket);
        self.active.remove(&ticket);
    }

    /// Returns the number of bodies that wait or are being received.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len() + self.active.len()
    }

    /// Returns whether no body waits or is being received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the expected time until a new body would be admitted, in milliseconds.
    #[must_use]
    pub fn backlog_ms(&self, now: Millis) -> f64 {
        if self.len() < MAX_TRANSFERS {
            return 0.0;
        }
        let waiting_ms: f64 = self
            .waiting
            .values()
            .map(|request| self.duration_ms(request.body_bytes))
            .sum();
        let active_ms: u64 = self
            .active
            .values()
            .map(|transfer| transfer.ends.since(now).max(1))
            .sum();
        (waiting_ms + active_ms as f64) / MAX_TRANSFERS as f64
    }

    /// Returns the transfer time of a body, in milliseconds.
    fn duration_ms(&self, body_bytes: u64) -> f64 {
        body_bytes as f64 / self.rate()
    }

    /// Removes bodies whose admission has expired, since their senders may be gone.
    fn expire(&mut self, now: Millis) {
        self.active.retain(|_, transfer| now < transfer.expires);
    }
}
