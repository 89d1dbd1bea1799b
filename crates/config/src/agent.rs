//! Settings of one agent.

use std::net::SocketAddr;

use jy_types::finding::Finding;
use jy_types::finding::FindingList;
use jy_types::finding::TextPlace;
use jy_types::member::Place;
use jy_types::name::Name;
use serde::Deserialize;

/// Result of this module.
pub type Result<T> = std::result::Result<T, FindingList>;

/// Addresses that the agent listens on, one for each kind of caller.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' requests.
    pub caller: SocketAddr,
    /// JSON-RPC of other agents.
    pub peer_rpc: SocketAddr,
    /// Requests that other agents forward.
    pub peer_forward: SocketAddr,
    /// Announcements of the backend server.
    pub backend: SocketAddr,
    /// Operators' commands and metrics.
    pub operator: SocketAddr,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Connections that one listener takes.
    pub connections: usize,
    /// Time for a caller to send its request's head, in milliseconds.
    pub head_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            connections: 2_000,
            head_timeout_ms: 5_000,
        }
    }
}

/// Periods of the lease protocol; all agents of a fleet use the same.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// A support lasts this long, in milliseconds.
    pub ttl_ms: u64,
    /// Time between renewals, in milliseconds.
    pub renew_every_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl_ms: 2_000,
            renew_every_ms: 500,
        }
    }
}

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The agent's name, unique in the fleet.
    pub name: Name,
    /// Where its instance stands.
    pub place: Place,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Level of the logs.
    #[serde(default = "default_log_level")]
    pub log_level: Name,
    /// Folder for recorded traces; none to record nothing.
    #[serde(default)]
    pub trace_dir: Option<Name>,
    /// Whether this agent reads the store itself; by default two agents of each zone do.
    #[serde(default)]
    pub watch_store: Option<bool>,
    /// Periods of the lease protocol.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Limits on what a caller may send.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Level of the logs unless the settings say otherwise.
fn default_log_level() -> Name {
    "info".into()
}

/// Parses the settings of an agent. `source` names the text in findings.
///
/// # Errors
///
/// All findings with their place.
pub fn parse(source: &str, text: &str) -> Result<AgentSettings> {
    let value = jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| finding(source, &error.to_string()))?
        .unwrap_or_default();
    serde_json::from_value(value).map_err(|error| finding(source, &error.to_string()))
}

/// Makes a list of one finding about the whole text.
fn finding(source: &str, message: &str) -> FindingList {
    FindingList(vec![Finding {
        place: TextPlace {
            source: source.into(),
            line: 1,
            column: 1,
        },
        message: message.into(),
        hint: "see docs/operators/install.md for the settings of an agent".into(),
    }])
}
