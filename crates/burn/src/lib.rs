//! Computes service-level error budgets and burn rates from the counters of the agents.
//!
//! The crate does no I/O: it computes a report from samples of the agents' metrics. The increases between
//! consecutive samples of the same agent are summed over each window. The counters of an agent start at zero
//! after a restart.

pub mod delta;
pub mod html;
pub mod plot;
pub mod report;
pub mod scrape;
pub mod text;
pub mod window;
