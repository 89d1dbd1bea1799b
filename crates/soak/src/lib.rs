//! A randomized fault-injection soak test: agents run as separate processes, and faults are injected from
//! outside them.
//!
//! The store, the backend servers and the callers are stand-ins within the soak's process. Signals kill,
//! stop, pause and resume agents or make them reload their settings, and agents that ended are started
//! again; relays on the agents' links delay data, hold it back or close connections. Invariants over what
//! callers and backend servers observe are checked during the run. A seed determines the faults and their
//! times, but not the scheduling by the operating system.

pub mod callers;
pub mod fleet;
pub mod plan;
pub mod relay;
pub mod run;
