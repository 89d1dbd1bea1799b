//! The controller decides which agents are members, which agents monitor each member, and which agent owns
//! each unit.
//!
//! Any agent may hold the controller's role. All its state can be rebuilt from the store, and a stale
//! controller does no harm because each of its writes is a compare-and-swap under its term.

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
mod monitor_planner;
mod monitors;
mod owners;
mod pages;
mod rebalance;
pub mod replay;
mod services;
mod tables;
mod writes;
