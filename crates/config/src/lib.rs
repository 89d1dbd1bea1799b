//! Agent settings and workspace configuration, written in JSON with comments.
//!
//! A file is parsed into a tree that records the source location of every value. Readers convert the
//! tree to typed settings and collect findings, so that one check reports every error.

pub mod agent;
pub mod edge;
pub mod file_version;
pub mod parameter;
pub mod reader;
pub mod render;
pub mod service;
pub mod substitute;
pub mod template;
pub mod tree;
pub mod workspace;
