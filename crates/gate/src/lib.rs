//! The gate: the one way to a backend server.
//!
//! The gate admits requests of units that its agent owns, while the lease lives, as many at once
//! as the backend server bears, and remembers ids of non-idempotent requests.

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
