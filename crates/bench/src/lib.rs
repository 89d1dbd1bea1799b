//! Timed trials, checks by many seeds and figures behind `jybench`.

pub mod lease;
pub mod report;
