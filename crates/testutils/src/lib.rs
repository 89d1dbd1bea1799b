//! Small helpers for tests: seeded random numbers and virtual time.

pub mod seeds;
