//! Client of the platform's key-value service.

pub mod client;
pub mod memory;
pub mod protocol;
