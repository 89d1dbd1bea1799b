//! HTTP/1.1 connections whose every step the caller of this crate controls.
//!
//! Parsing and writing are `actix-http`'s codecs. What ready-made clients and servers hide stands
//! here: whether a byte of a request went out, whether an answer is whole, whose answer it is, and
//! when a caller is gone.

pub mod client;
pub mod message;
pub mod pool;
pub mod server;
