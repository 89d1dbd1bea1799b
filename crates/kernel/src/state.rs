//! A state that is replaced as a whole by every step.

use std::cell::RefCell;

/// Holds a decision's state between steps on one thread.
#[derive(Debug)]
pub struct StateCell<S>(RefCell<Option<S>>);

impl<S> StateCell<S> {
    /// Holds the first state.
    #[must_use]
    pub const fn new(state: S) -> Self {
        Self(RefCell::new(Some(state)))
    }

    /// Replaces the state by what `step` makes of it and returns the step's output.
    ///
    /// # Panics
    ///
    /// If `step` itself steps the same cell, or panicked in an earlier call.
    pub fn step<T>(&self, step: impl FnOnce(S) -> (S, T)) -> T {
        let mut slot = self.0.borrow_mut();
        let state = slot.take().expect("a step must not nest");
        let (state, output) = step(state);
        *slot = Some(state);
        output
    }

    /// Reads the state.
    ///
    /// # Panics
    ///
    /// If called from inside a step.
    pub fn read<T>(&self, read: impl FnOnce(&S) -> T) -> T {
        let slot = self.0.borrow();
        read(slot.as_ref().expect("a step must not read its own cell"))
    }
}
