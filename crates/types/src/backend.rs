//! The announcement that a backend server sends to the agent beside it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Path of the agent's backend listener that takes an [`Announcement`] by POST.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// Interval between announcements, in milliseconds.
pub const ANNOUNCE_INTERVAL_MS: u64 = 500;

/// A backend server that has not announced itself for this long is considered gone, in milliseconds.
pub const ANNOUNCE_TIMEOUT_MS: u64 = 2_500;

/// Periodic announcement of a backend server to the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Workspace it serves.
    pub workspace: Name,
    /// Service it serves.
    pub service: Name,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Maximum number of requests that it handles at once when warm.
    pub slots: u32,
    /// Whether it rejects a fence lower than one it has seen.
    pub checks_fence: bool,
    /// Differs between processes of the backend server, so that a restart is noticed.
    pub start_stamp: u64,
    /// Whether it reports a cold start.
    pub cold: bool,
    /// Whether it reports that it is draining.
    pub draining: bool,
}
