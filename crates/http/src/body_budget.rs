//! Limits the memory that the bodies of requests take, summed over all connections.
//!
//! Load pattern: several callers send bodies of many megabytes at once. Each is within the limit on one body, but
//! together they exceed the memory of the process.

use std::cell::Cell;
use std::rc::Rc;

/// Bodies up to this size may use the whole budget, in bytes, so that large ones do not crowd them out.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Share of the budget for larger bodies.
const LARGE_BODY_SHARE: f64 = 0.75;

/// The memory for bodies that are being received or handled.
#[derive(Debug)]
pub struct BodyBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
}

/// A part of the budget that one body uses, until it is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit_bytes` bytes.
    #[must_use]
    pub const fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: Cell::new(0),
        }
    }

    /// Returns the number of bytes in use.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Reserves memory for a body of `bytes` bytes, or returns `None` if too little is left.
    #[must_use]
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<BodyShare> {
        let mut share = BodyShare {
            budget: Rc::clone(self),
            bytes: 0,
        };
        share.grow_to(bytes).then_some(share)
    }
}

impl BodyShare {
    /// Extends the reservation to `bytes` bytes. Returns false, without a change, if too little is left.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(added_bytes) = bytes.checked_sub(self.bytes) else {
            return true;
        };
        let budget = &self.budget;
        let limit_bytes = if bytes > SMALL_BODY_BYTES {
            (budget.limit_bytes as f64 * LARGE_BODY_SHARE) as usize
        } else {
            budget.limit_bytes
        };
        let used_bytes = budget.used_bytes.get().saturating_add(added_bytes);
        if used_bytes > limit_bytes {
            return false;
        }
        budget.used_bytes.set(used_bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let used_bytes = self.budget.used_bytes.get();
        self.budget
            .used_bytes
            .set(used_bytes.saturating_sub(self.bytes));
    }
}
