//! The agent: the one process beside each backend server instance.
//!
//! It is the gateway for callers, the gate of its backend server, a monitor of other agents and, when
//! it holds the role, the controller. Each module here is a thin shell around a decision of another
//! crate; the shells find each other by name in the registry.

pub mod app;
pub mod backend;
pub mod control;
pub mod election;
pub mod exchange;
pub mod feed;
pub mod gate;
pub mod gateway;
pub mod gossip;
pub mod grants;
pub mod guard;
pub mod http;
pub mod identity;
pub mod lease;
pub mod listeners;
pub mod load;
pub mod lookup;
pub mod member;
pub mod metrics;
pub mod operator;
pub mod own_record;
pub mod peers;
pub mod report;
pub mod rpc;
pub mod send;
pub mod shutdown;
pub mod strict_eof;
pub mod tasks;
pub mod timer;
pub mod tracing;
pub mod unavailability;
pub mod wiring;
