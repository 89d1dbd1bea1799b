//! Limits the memory that connections hold, summed over all of them: heads of requests and what is read ahead, bodies
//! of requests, and responses from the moment they are read until they are written.
//!
//! Load pattern: callers send bodies of many megabytes at once, read their responses slowly, or keep many connections
//! with a part of a request on each. Each is within the limits on one message, but together they exceed the memory of
//! the process.
//!
//! Levels of one sum: large bodies fit up to [`LARGE_BODY_SHARE`] of it, other requests up to [`REQUEST_SHARE`] or
//! what leaves room for two of the largest responses, responses of the agent's own backend server up to what leaves
//! room for one, and responses of other agents up to the whole. Why nothing waits without an end:
//!
//! - Requests never wait. What does not fit is refused before any of it is sent on.
//! - Only responses wait, and one that waits holds no more than [`SMALL_RESPONSE_BYTES`], which the limit does not
//!   apply to: memory for a whole response is taken at once ([`MemoryShare::wait_for`]). So no two responses wait for
//!   each other.
//! - A response that has its memory needs nothing else, neither to be read nor to be written. It ends with the
//!   deadline of its request, with its caller's reading, or when the caller has read nothing for some seconds.
//! - Requests leave room for responses of both kinds, so a response that waits depends on other responses only, never
//!   on a request that may itself wait for a response.
//! - A response of the own backend server may be written to another agent, which may have to wait for memory to read
//!   it. It leaves room for a response of another agent, which is written to a caller. So two agents do not wait for
//!   each other.
//!
//! Responses of one kind that wait are served in their order, so that small ones do not pass a large one for ever.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::client::MAX_RESPONSE_BYTES;

/// Bodies up to this size may use more of the budget, in bytes, so that large ones do not crowd them out.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Responses up to this size never wait for memory, in bytes. They are counted.
pub const SMALL_RESPONSE_BYTES: usize = 16 * 1024;
/// Share of the budget up to which large bodies fit.
pub const LARGE_BODY_SHARE: f64 = 0.75;
/// Share of the budget up to which requests fit, if the rest holds two of the largest responses.
pub const REQUEST_SHARE: f64 = 0.8;

/// Memory of a process apart from what the budget counts, in megabytes.
const BASE_MEMORY_MB: f64 = 32.0;
/// Share of the remaining memory for the budget. The rest is for what is not counted: unused ends of buffers, short
/// copies, and what the kernel holds for connections.
const BUDGET_SHARE: f64 = 0.75;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// Budgets that are smaller keep no room for single responses, in bytes: it would be half of them. The settings allow
/// none of these.
const MIN_RESERVING_BYTES: usize = 4 * MAX_RESPONSE_BYTES;

/// What memory is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryKind {
    /// Heads of requests, and bytes read ahead.
    Head,
    /// Bodies of requests.
    Body,
    /// Responses of other agents, and those of the agent itself.
    #[default]
    Response,
    /// Responses of the agent's own backend server.
    BackendResponse,
}

/// The memory that connections hold.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    request_limit_bytes: usize,
    large_body_limit_bytes: usize,
    backend_limit_bytes: usize,
    used_bytes: Cell<usize>,
    /// The same bytes by [`MemoryKind`].
    kind_bytes: [Cell<usize>; 4],
    peak_bytes: Cell<usize>,
    refused: Cell<u64>,
    stalled: Cell<u64>,
    /// Kinds and tickets of the responses that wait, in the order of each kind.
    waiting: RefCell<BTreeSet<(MemoryKind, u64)>>,
    next_ticket: Cell<u64>,
    released: Notify,
}

/// A part of the budget that one message uses, until it is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    budget: Rc<MemoryBudget>,
    kind: MemoryKind,
    bytes: usize,
}

/// Place of a response that waits, until it is dropped.
struct WaitGuard<'a> {
    budget: &'a MemoryBudget,
    kind: MemoryKind,
    ticket: u64,
}

impl MemoryBudget {
    /// Creates a budget of `limit_bytes` bytes.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        let part = |share: f64| (limit_bytes as f64 * share) as usize;
        let without = |responses: usize| {
            if limit_bytes < MIN_RESERVING_BYTES {
                limit_bytes
            } else {
                limit_bytes - responses * MAX_RESPONSE_BYTES
            }
        };
        Self {
            limit_bytes,
            request_limit_bytes: part(REQUEST_SHARE).min(without(2)),
            large_body_limit_bytes: part(LARGE_BODY_SHARE).min(without(2)),
            backend_limit_bytes: without(1),
            used_bytes: Cell::new(0),
            kind_bytes: Default::default(),
            peak_bytes: Cell::new(0),
            refused: Cell::new(0),
            stalled: Cell::new(0),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            released: Notify::new(),
        }
    }

    /// Creates the budget of a process that may use `memory_mb` megabytes.
    #[must_use]
    pub fn for_process(memory_mb: f64) -> Self {
        let bytes = (memory_mb - BASE_MEMORY_MB) * BUDGET_SHARE * BYTES_PER_MEGABYTE;
        Self::new(bytes as usize)
    }

    /// Returns the number of bytes of the budget.
    #[must_use]
    pub const fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Returns the number of bytes in use.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Returns the number of bytes in use for one kind.
    #[must_use]
    pub const fn used_bytes_of(&self, kind: MemoryKind) -> usize {
        self.kind_bytes[kind as usize].get()
    }

    /// Returns the largest number of bytes that were in use at once.
    #[must_use]
    pub const fn peak_bytes(&self) -> usize {
        self.peak_bytes.get()
    }

    /// Returns the number of responses that wait for memory.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns the ticket of the first response of a kind that waits.
    fn first_waiting(&self, kind: MemoryKind) -> Option<u64> {
        let waiting = self.waiting.borrow();
        let mut of_kind = waiting.range((kind, 0)..=(kind, u64::MAX));
        of_kind.next().map(|(_, ticket)| *ticket)
    }

    /// Returns the number of requests that were refused for lack of memory.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Counts a refused request.
    pub fn record_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Returns the number of callers that were disconnected because they did not read their responses.
    #[must_use]
    pub const fn stalled(&self) -> u64 {
        self.stalled.get()
    }

    /// Counts a caller that was disconnected because it did not read its response.
    pub fn record_stalled(&self) {
        self.stalled.set(self.stalled.get() + 1);
    }

    /// Whether a request that has not been sent yet may be sent, or is to be refused since its response might find
    /// no memory.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.used_bytes.get() <= self.request_limit_bytes
    }

    /// Returns a share without any bytes.
    #[must_use]
    pub fn share(self: &Rc<Self>, kind: MemoryKind) -> MemoryShare {
        MemoryShare {
            budget: Rc::clone(self),
            kind,
            bytes: 0,
        }
    }

    /// Reserves memory for `bytes` bytes, or returns `None` if too little is left.
    #[must_use]
    pub fn reserve(self: &Rc<Self>, kind: MemoryKind, bytes: usize) -> Option<MemoryShare> {
        let mut share = self.share(kind);
        share.grow_to(bytes).then_some(share)
    }

    /// Whether `added_bytes` more bytes stay within a limit.
    const fn fits(&self, added_bytes: usize, limit_bytes: usize) -> bool {
        self.used_bytes.get().saturating_add(added_bytes) <= limit_bytes
    }

    /// Applies the change of a share.
    fn change(&self, kind: MemoryKind, from: usize, to: usize) {
        let apply = |bytes: &Cell<usize>| bytes.set(bytes.get().saturating_sub(from) + to);
        apply(&self.used_bytes);
        apply(&self.kind_bytes[kind as usize]);
        if self.used_bytes.get() > self.peak_bytes.get() {
            self.peak_bytes.set(self.used_bytes.get());
        }
        if to < from && !self.waiting.borrow().is_empty() {
            self.released.notify_waiters();
        }
    }
}

impl MemoryShare {
    /// Returns the number of bytes of the share.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to `bytes` bytes. Returns false, without a change, if too little is left.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(added_bytes) = bytes.checked_sub(self.bytes) else {
            return true;
        };
        let budget = &self.budget;
        let limit_bytes = match self.kind {
            MemoryKind::Response => budget.limit_bytes,
            MemoryKind::BackendResponse => budget.backend_limit_bytes,
            MemoryKind::Body if bytes > SMALL_BODY_BYTES => budget.large_body_limit_bytes,
            MemoryKind::Body | MemoryKind::Head => budget.request_limit_bytes,
        };
        if !budget.fits(added_bytes, limit_bytes) {
            return false;
        }
        self.set_to(bytes);
        true
    }

    /// Sets the share to `bytes` bytes, also beyond the limit: for memory that is in use already, and for what must
    /// not wait.
    pub fn set_to(&mut self, bytes: usize) {
        self.budget.change(self.kind, self.bytes, bytes);
        self.bytes = bytes;
    }

    /// Waits until the share can be extended to `bytes` bytes. It must be small before, and `bytes` all that will be
    /// needed: a response that waits while it holds memory could make others wait for ever.
    pub async fn wait_for(&mut self, bytes: usize) {
        let budget = Rc::clone(&self.budget);
        if budget.first_waiting(self.kind).is_none() && self.grow_to(bytes) {
            return;
        }
        let guard = WaitGuard::new(&budget, self.kind);
        loop {
            let released = budget.released.notified();
            if guard.is_first() && self.grow_to(bytes) {
                return;
            }
            released.await;
        }
    }
}

impl Clone for MemoryShare {
    /// Counts the bytes once more, since a copy may live longer.
    fn clone(&self) -> Self {
        let mut share = self.budget.share(self.kind);
        share.set_to(self.bytes);
        share
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.set_to(0);
    }
}

impl<'a> WaitGuard<'a> {
    /// Takes the last place among the responses of a kind.
    fn new(budget: &'a MemoryBudget, kind: MemoryKind) -> Self {
        let ticket = budget.next_ticket.get();
        budget.next_ticket.set(ticket + 1);
        budget.waiting.borrow_mut().insert((kind, ticket));
        Self {
            budget,
            kind,
            ticket,
        }
    }

    /// Whether all of its kind that came earlier have their memory or have ended.
    fn is_first(&self) -> bool {
        self.budget.first_waiting(self.kind) == Some(self.ticket)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.budget.waiting.borrow_mut();
        waiting.remove(&(self.kind, self.ticket));
        drop(waiting);
        self.budget.released.notify_waiters();
    }
}
