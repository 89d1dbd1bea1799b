//! Small helpers for tests: seeded random numbers and the check of leases.

pub mod lease_check;
pub mod seeds;
