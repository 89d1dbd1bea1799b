//! What a backend server tells the agent beside it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Path of [`Announcement`] at the agent's backend listener, by POST.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// Time between announcements, in milliseconds.
pub const ANNOUNCE_EVERY_MS: u64 = 500;

/// A backend server without an announcement for this long is taken for gone, in milliseconds.
pub const ANNOUNCE_LIMIT_MS: u64 = 2_500;

/// A backend server announces itself, again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Workspace it serves.
    pub workspace: Name,
    /// Service it serves.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests it handles at once when warm.
    pub slots: u32,
    /// Whether it refuses a fence lower than one it has seen.
    pub checks_fence: bool,
    /// Differs for every process of the backend server.
    pub start_stamp: u64,
    /// Whether it says that it is starting cold.
    pub cold: bool,
    /// Whether it says that it is draining.
    pub draining: bool,
}
