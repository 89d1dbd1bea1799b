//! The replica of the store's records that every agent keeps, and the typed view of it.
//!
//! A replica is complete up to a revision: it holds the newest record of every key up to that revision. A
//! record is replaced only by a newer one.

pub mod replica;
pub mod view;
