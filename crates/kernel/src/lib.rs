//! Common base of all services: service registry, clocks, logging, state cells and replay traces.
//!
//! A service is a thin I/O layer around a pure state machine: a function
//! `step(state, now, event) -> (state, actions)` that performs no I/O and reads no clock, so that a recorded
//! trace can be replayed.

pub mod bounded;
pub mod clock;
pub mod logs;
pub mod registry;
pub mod state;
pub mod trace;
