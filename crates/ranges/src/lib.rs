//! Assignment of key ranges to incarnations of backend servers.
//!
//! The store holds one table per service, which changes only by compare-and-swap. The functions in this crate
//! compute the next table from the current one and do no I/O.

pub mod plan;
pub mod table;
