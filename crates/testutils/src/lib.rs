//! Test utilities: seeded random numbers, replays of recorded traces, malformed messages, and a model checker
//! of the lease protocol.

pub mod lease_check;
pub mod mutation;
pub mod seeds;
pub mod traces;
