//! Data shared by every area: names, time, keys, records of the store, peer messages and refusals.
//!
//! The types here carry no behaviour beyond what keeps them well formed. An area depends on this
//! crate for the words it shares with the others and never on another area's inside.

pub mod assign;
pub mod backend;
pub mod endpoint;
pub mod finding;
pub mod key;
pub mod member;
pub mod name;
pub mod peer;
pub mod record;
pub mod request;
pub mod routing;
pub mod status;
pub mod time;
pub mod workspace;
