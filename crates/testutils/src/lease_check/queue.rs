//! Events to come, by real time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event with its place in the order.
#[derive(Debug)]
struct Queued<E> {
    at: u64,
    order: u64,
    event: E,
}

impl<E> PartialEq for Queued<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<E> Eq for Queued<E> {}

impl<E> PartialOrd for Queued<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Queued<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A queue of events; those of the same time come out in the order in which they went in.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Queued<E>>>,
    order: u64,
}

impl<E> EventQueue<E> {
    /// Makes an empty queue.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            order: 0,
        }
    }

    /// Puts an event in.
    pub fn push(&mut self, at: u64, event: E) {
        self.order += 1;
        let order = self.order;
        self.heap.push(Reverse(Queued { at, order, event }));
    }

    /// Takes the earliest event out.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse(queued) = self.heap.pop()?;
        Some((queued.at, queued.event))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self::new()
    }
}
