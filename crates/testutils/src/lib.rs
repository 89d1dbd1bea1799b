//! Small helpers for tests: seeded random numbers, recorded traces and the check of leases.

pub mod lease_check;
pub mod seeds;
pub mod traces;
