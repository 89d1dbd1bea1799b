//! The controller: who is a member, who monitors whom, who owns what.
//!
//! Any agent may hold the role. All its state can be rebuilt from the store; a stale controller
//! is harmless, since every write is a compare-and-swap under its term.

pub mod api;
pub mod core;
pub mod election;
pub mod fake_agents;
mod fake_calls;
mod fake_changes;
pub mod fake_checks;
pub mod fake_fleet;
pub mod fake_loads;
mod fake_peers;
pub mod fake_store;
mod fake_tasks;
mod grants;
mod hot_keys;
mod loads;
mod members;
mod monitors;
mod owners;
mod pages;
mod rebalance;
pub mod replay;
mod services;
mod tables;
mod watches;
mod writes;
