//! The replica of the store's records that every agent keeps, and the views made of it.
//!
//! A replica is complete up to a revision: it holds the newest of every key written up to there.
//! It only moves forward, so a record never reverts.

pub mod replica;
pub mod view;
