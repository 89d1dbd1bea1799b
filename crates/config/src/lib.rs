//! Settings of agents and configuration of workspaces, written in JSON with comments.
//!
//! A text becomes a tree that knows the place of every value; readers turn the tree into typed
//! settings and collect findings, so that one check reports everything that is wrong.

pub mod agent;
pub mod edge;
pub mod parameter;
pub mod reader;
pub mod render;
pub mod service;
pub mod substitute;
pub mod template;
pub mod tree;
pub mod workspace;
