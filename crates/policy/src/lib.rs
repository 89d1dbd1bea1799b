//! Decisions under load, without network, clock or threads.
//!
//! Each module names the load that it answers: a backend server offered more than it can do in time
//! ([`admission`]), one in cold start ([`cold`]), servers of unlike speed and with busy neighbours
//! ([`choice`]), keys on their way ([`moving`]), and callers whose failed requests are sent once more ([`budget`]).

pub mod admission;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod moving;
pub mod offered;
pub mod service_time;
