//! Model checking of the lease protocol by random schedules and by exhaustive search.
//!
//! The state machines of `jy_lease` run in virtual time against a model of their environment: drifting
//! clocks, a network that delays and loses messages and can be partitioned, a store with compare-and-swap,
//! and controllers, one of which may act on stale records. The checked invariant is that no incarnation
//! admits requests after the verdict on it took effect.

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
