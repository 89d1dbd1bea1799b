//! Leases of agents: renewed by their monitors, ended by votes.
//!
//! An agent may serve while more than half of its monitors support it. A monitor supports for one
//! TTL from receipt; the agent counts it from when it sent the renewal. A monitor whose promise
//! has run out votes and never supports that incarnation again.

pub mod holder;
pub mod monitor;
pub mod replay;
pub mod rule;
pub mod tally;
pub mod timing;
pub mod witness;
