//! HTTP/1.1 client and server connections.
//!
//! Messages are parsed and encoded by the codecs of `actix-http`. This crate adds what common HTTP clients
//! and servers do not expose: whether any byte of a request was sent, whether a response is complete, which
//! request it belongs to, and when a caller has disconnected.

pub mod client;
pub mod head_syntax;
pub mod memory_budget;
pub mod message;
pub mod pool;
pub mod server;
