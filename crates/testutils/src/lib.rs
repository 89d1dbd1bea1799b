//! Test utilities: seeded random numbers, replays of recorded traces, and a model checker of the lease
//! protocol.

pub mod lease_check;
pub mod seeds;
pub mod traces;
