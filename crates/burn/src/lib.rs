//! Service-level burn: error budgets and burn rates from the agents' counters.
//!
//! Pure: samples in, report out. Counters are read at looks, the increases between two looks at the
//! same agent are added up by window, and a restart of an agent starts its counters at zero.

pub mod delta;
pub mod html;
pub mod plot;
pub mod report;
pub mod scrape;
pub mod text;
pub mod window;
