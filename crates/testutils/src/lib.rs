//! Small helpers for tests: seeded random numbers and fakes of the platform.

pub mod fake_store;
pub mod seeds;
