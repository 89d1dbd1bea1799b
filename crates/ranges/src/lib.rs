//! Which incarnation of a backend server holds which range of keys.
//!
//! One table a service lies in the store and changes only by compare-and-swap. The functions here
//! make the next table from the present one; they do no I/O.

pub mod plan;
pub mod table;
