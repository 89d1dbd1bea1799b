//! The micro-kernel: services by name, the clock, states changed in whole steps, and traces.
//!
//! Services are thin shells around pure decisions. A decision is a function
//! `step(state, now, event) -> (state, actions)` with no I/O and no clock of its own, so that a
//! recorded trace replays it.

pub mod bounded;
pub mod clock;
pub mod logs;
pub mod registry;
pub mod state;
pub mod trace;
