//! The agent on a platform whose backend servers announce themselves to the agent beside them.
//!
//! One process beside each backend server. Callers on the instance send it their requests
//! ([`gateway`]); the request reaches a backend server only through the agent beside it ([`gate`]).
//! What all agents must agree on lies in the platform's store and is watched by each ([`feed`],
//! [`beliefs`]). [`member`] keeps the agent's own record there, [`keeper`] the ranges of keys. [`support`] tells
//! owners of keys that are lost from those that are cut off from the store; [`lost`] lists them.

pub mod app;
pub mod backend;
pub mod dispatch;
pub mod feed;
pub mod forward;
pub mod gate;
pub mod gateway;
pub mod journal;
pub mod lost_owners;
pub mod member;
pub mod metrics;
pub mod range_manager;
pub mod refusal;
pub mod snapshot;
pub mod support;
