//! Request routing of the gateway: choice of the endpoint, retries, hedging and refusals.

pub mod api;
pub mod attempt;
pub mod budget;
pub mod core;
pub mod hedge;
pub mod owner;
pub mod pick;
pub mod refusals;
pub mod replay;
