//! The gateway's choice of where a request goes, when it is sent again and when it is refused.

pub mod api;
pub mod core;
