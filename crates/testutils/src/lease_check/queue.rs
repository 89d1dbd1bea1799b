//! Queue of future events, ordered by real time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event with its time and insertion number.
#[derive(Debug)]
struct QueuedEvent<E> {
    at: u64,
    insertion: u64,
    event: E,
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.insertion) == (other.at, other.insertion)
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.insertion).cmp(&(other.at, other.insertion))
    }
}

/// A queue of events. Events of the same time come out in the order in which they were pushed.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<QueuedEvent<E>>>,
    insertion: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            insertion: 0,
        }
    }

    /// Adds an event that happens at the real time `at`.
    pub fn push(&mut self, at: u64, event: E) {
        self.insertion += 1;
        let insertion = self.insertion;
        self.heap.push(Reverse(QueuedEvent {
            at,
            insertion,
            event,
        }));
    }

    /// Removes the earliest event and returns it with its time.
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
