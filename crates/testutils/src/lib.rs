//! Small helpers for tests: seeded random numbers, virtual time and the check of the leases.

pub mod lease_check;
pub mod seeds;
