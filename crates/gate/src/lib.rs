//! The gate: the one way to a backend server.
//!
//! The gate admits requests of units that its agent owns, while the lease lives, as many at once
//! as the backend server bears, and remembers ids of non-idempotent requests.

pub mod api;
pub mod core;
