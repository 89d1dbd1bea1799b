//! Load management policies that use no network, clock or threads.
//!
//! - [`admission`]: queueing at a backend server that is offered more work than it can finish in time.
//! - [`budget`]: limit on extra sends, which are retries of failed requests and hedges of slow ones.
//! - [`caller_age`]: age of the first attempt of a caller that returns.
//! - [`capacity`]: weights of backend servers of different speeds.
//! - [`choice`]: load balancing among backend servers of different speeds.
//! - [`cold`]: rate limit for a backend server in cold start.
//! - [`key_check`]: requests with API keys while the configuration may be too old.
//! - [`forecast`]: capacity that is left for late requests.
//! - [`held_bytes`]: bound on the bytes that a backend server holds, learned from its crashes.
//! - [`leaving`]: requests for the keys of a backend server that leaves.
//! - [`moving`]: waiting for keys that move between backend servers.
//! - [`offered`]: measurement of offered work and overload.
//! - [`outage`]: calls to a store that does not answer.
//! - [`places`]: when refused callers are to return.
//! - [`quota`]: quotas of tenants, as credit that agents lend to each other.
//! - [`service_time`]: moving mean of service times.
//! - [`settling`]: completeness of a starting fleet.
//! - [`shares`]: shares of tenants in one backend server, and protection of less urgent ones.
//! - [`transfer`]: admission of large bodies to a slow network link.

pub mod admission;
pub mod budget;
pub mod caller_age;
pub mod capacity;
pub mod choice;
pub mod cold;
pub mod cold_check;
mod decay;
pub mod forecast;
pub mod held_bytes;
pub mod key_check;
pub mod leaving;
pub mod moving;
pub mod offered;
pub mod outage;
pub mod places;
pub mod quota;
pub mod service_time;
pub mod settling;
pub mod shares;
pub mod transfer;
