//! Check of the lease protocol by random schedules and by exhaustive search.
//!
//! The product's own decisions run in virtual time against a model of what surrounds them: drifting
//! clocks, a network that delays, loses and cuts, a store with compare-and-swap, and controllers of
//! which one may be stale. The invariant: no incarnation admits requests after the verdict on it
//! took effect.

pub mod cases;
pub mod clock;
pub mod controller;
mod effects;
pub mod exhaustive;
pub mod fault;
pub mod network;
pub mod node;
pub mod outcome;
pub mod placement;
pub mod queue;
pub mod record;
pub mod recorder;
pub mod search;
pub mod settings;
pub mod store;
pub mod world;
