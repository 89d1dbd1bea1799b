//! Leases of agents: renewed by the agent's monitors and ended by their votes.
//!
//! An agent may serve while a support quorum of its monitors, at least half, supports it. A monitor's
//! promise lasts one TTL plus the drift margin from receipt of the renewal; the agent counts one TTL from
//! when it sent the renewal. A monitor whose promise has expired votes against the agent and never supports
//! that incarnation again. A vote quorum lets the controller write a verdict: the incarnation is dead.

pub mod holder;
pub mod monitor;
pub mod replay;
pub mod rule;
pub mod tally;
pub mod timing;
pub mod witness;
