//! Timed trials, checks by many seeds and figures behind `jybench`.

pub mod args;
pub mod call;
pub mod demo;
pub mod fleet;
pub mod journal_check;
pub mod load;
pub mod node;
pub mod placement;
pub mod placement_figures;
pub mod plan;
pub mod ports;
pub mod probe;
pub mod process;
pub mod relay;
pub mod report;
pub mod runner;
pub mod socket_owner;
pub mod tally;
