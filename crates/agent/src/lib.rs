//! The agent: the process that runs beside each backend server instance.
//!
//! It is the gateway for callers, the gate of its backend server, a monitor of other agents and, when
//! it holds the role, the controller. The decision logic of these parts is in other crates. The services in
//! this crate pass events to it and perform the actions that it returns. They find each other by name in the
//! service registry.

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
