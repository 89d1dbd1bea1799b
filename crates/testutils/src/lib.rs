//! Test utilities: seeded random numbers, replays of recorded traces, malformed messages, a model checker of the
//! lease protocol, and a fleet with quotas in virtual time.

pub mod lease_check;
pub mod mutation;
pub mod quota_check;
pub mod seeds;
pub mod traces;
