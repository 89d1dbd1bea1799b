//! The agent for a platform whose backend servers announce themselves to the agent beside them.
//!
//! One agent process runs beside each backend server. Callers on the instance send their requests to it
//! ([`gateway`]); a request reaches a backend server only through the agent beside that server ([`gate`]). A
//! large body is sent to another agent only once that agent has admitted it ([`transfer`]).
//! The data that all agents must agree on is in the platform's store. Each agent watches it ([`feed`]) and
//! keeps it in decoded form ([`snapshot`]). [`member`] maintains the agent's own record there, and
//! [`range_manager`] the ranges of keys. [`support`] distinguishes owners of keys that are lost from those
//! that are cut off from the store, and [`lost_owners`] lists the lost ones. [`era`] follows whether the store has come
//! back from an older copy.

pub mod announcements;
pub mod app;
pub mod backend;
pub mod dispatch;
pub mod era;
pub mod feed;
pub mod forward;
pub mod gate;
pub mod gateway;
pub mod keys;
pub mod lost_owners;
pub mod member;
pub mod metrics;
mod queue_wait;
pub mod quota;
pub mod range_manager;
pub mod refusal;
pub mod request_log;
pub mod restore;
pub mod sent_requests;
pub mod snapshot;
pub mod support;
pub mod tasks;
pub mod transfer;
