//! A randomized fault soak: real agents as processes of their own, faults from outside them.
//!
//! The store, the backend servers and the callers are stand-ins in the soak's own process. Agents are
//! killed, stopped, paused and restarted by signals; their links go through relays that delay, reset, cut
//! or silence them. What callers and backend servers see is checked while it happens. A seed fixes which
//! faults come when; what the machine's scheduler does stays outside.

pub mod callers;
pub mod fleet;
pub mod plan;
pub mod relay;
pub mod run;
