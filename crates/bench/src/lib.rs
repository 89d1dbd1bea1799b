//! Timed trials, checks by many seeds and figures behind `jybench`.

pub mod lease;
pub mod lease_cost;
pub mod lease_faults;
pub mod lease_search;
pub mod lease_traces;
pub mod report;
