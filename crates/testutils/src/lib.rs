//! Small helpers for tests: seeded random numbers, fakes of the platform and the check of leases.

pub mod fake_store;
pub mod lease_check;
pub mod seeds;
