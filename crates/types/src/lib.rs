//! Data types shared by all crates: names, points in time, keys, store records, peer messages and refusals.
//!
//! The types have no behaviour beyond what keeps their values valid. Other crates share types through this
//! crate and do not depend on each other's internals.

pub mod assign;
pub mod backend;
pub mod endpoint;
pub mod finding;
pub mod key;
pub mod leaving;
pub mod member;
pub mod name;
pub mod peer;
pub mod quota;
pub mod record;
pub mod request;
pub mod routing;
pub mod status;
pub mod tenant;
pub mod time;
pub mod workspace;
