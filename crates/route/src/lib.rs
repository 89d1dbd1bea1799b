//! The gateway's choice of where a request goes, when it is sent again and when it is refused.

pub mod api;
pub mod attempt;
pub mod budget;
pub mod core;
pub mod hedge;
pub mod owner;
pub mod pick;
pub mod refusals;
pub mod replay;
