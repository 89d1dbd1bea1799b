//! Cell for a state that every step takes by value and replaces.

use std::cell::RefCell;

/// Holds the state of a state machine between steps. All steps run on one thread.
#[derive(Debug)]
pub struct StateCell<S>(RefCell<Option<S>>);

impl<S> StateCell<S> {
    /// Creates a cell with an initial state.
    #[must_use]
    pub const fn new(state: S) -> Self {
        Self(RefCell::new(Some(state)))
    }

    /// Replaces the state with the one that `step` returns, and returns the output of the step.
    ///
    /// # Panics
    ///
    /// If `step` accesses the same cell, or if an earlier step panicked.
    pub fn step<T>(&self, step: impl FnOnce(S) -> (S, T)) -> T {
        let mut slot = self.0.borrow_mut();
        let state = slot.take().expect("an earlier step panicked");
        let (state, output) = step(state);
        *slot = Some(state);
        output
    }

    /// Reads the state.
    ///
    /// # Panics
    ///
    /// If called from inside a step, or if an earlier step panicked.
    pub fn read<T>(&self, read: impl FnOnce(&S) -> T) -> T {
        let slot = self.0.borrow();
        read(slot.as_ref().expect("an earlier step panicked"))
    }
}
