//! Settings of agents and configuration of workspaces, written in JSON with comments.

pub mod agent;
