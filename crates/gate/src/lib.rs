//! The gate: controls every request to a backend server.
//!
//! The gate admits requests for units that its agent owns while the agent's lease is valid, limits how
//! many run at once at the backend server, and remembers the ids of non-idempotent requests.

pub mod admit;
pub mod api;
pub mod core;
mod counts;
pub mod grants;
pub mod queue;
pub mod ramp;
pub mod refusals;
pub mod replay;
pub mod request_id;
pub mod serve;
pub mod window;
