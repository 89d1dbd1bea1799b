//! Minimal stand-ins for two parts of the platform: its key-value service and a backend server.
//!
//! No crate of the product depends on this one. The two interfaces that the platform has yet to define are
//! confined to one module each: [`store_api`] and [`backend_api`].

pub mod announce;
pub mod backend_api;
pub mod backend_fault;
pub mod backend_run;
pub mod backend_state;
pub mod http;
pub mod journal;
pub mod rate;
pub mod store_api;
pub mod store_fault;
pub mod store_lease;
pub mod store_state;
