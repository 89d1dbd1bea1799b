//! Settings of the agent on a platform that finds backend servers by their own announcements.

use std::net::SocketAddr;

use jy_types::name::Name;

use crate::agent::address;
use crate::agent::read_level;
use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::reader::Result;
use crate::tree;
use crate::tree::TreeNode;

/// Longest period that a bound may state, in milliseconds.
const PERIOD_LIMIT_MS: u64 = 600_000;
/// Largest number of extra sends that a bound may state.
const SLACK_LIMIT: f64 = 1_000_000.0;
/// Fewest announcements that fit into one hold of keys: one may get lost without a loss of the keys.
const ANNOUNCEMENTS_PER_HOLD: u64 = 2;

/// Addresses that the agent listens on, one for each kind of caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeListen {
    /// Callers' requests.
    pub caller: SocketAddr,
    /// The platform's question whether the agent takes callers.
    pub ready: SocketAddr,
    /// Announcements of the backend server.
    pub announce: SocketAddr,
    /// Requests that other agents forward.
    pub gate: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the deployment's operators promise to their users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EdgeBounds {
    /// Time between two announcements of a backend server, in milliseconds.
    pub announce_every_ms: u64,
    /// Longest hold of keys that a backend server takes, in milliseconds.
    pub longest_grant_ms: u64,
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Extra sends as a share of a service's requests.
    pub retry_ratio: f64,
    /// Extra sends that are allowed besides, all agents together.
    pub retry_slack: f64,
    /// Window in which extra sends are counted, in milliseconds.
    pub retry_window_ms: u64,
}

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Service of the backend server beside the agent.
    pub service: Name,
    /// Where the backend server listens.
    pub backend: SocketAddr,
    /// Own listeners.
    pub listen: EdgeListen,
    /// The platform's store.
    pub store: SocketAddr,
    /// Level of the logs.
    pub log_level: Name,
    /// The deployment's bounds.
    pub bounds: EdgeBounds,
}

/// Parses and checks an agent's settings.
///
/// # Errors
///
/// All findings with their place.
pub fn parse(source: &str, text: &str) -> Result<EdgeSettings> {
    let node = tree::parse(source, text)?;
    let mut log = FindingLog::new();
    let settings = read_edge(&node, &mut log);
    log.finish(settings)
}

/// Reads all settings.
fn read_edge(node: &TreeNode, log: &mut FindingLog) -> Option<EdgeSettings> {
    let mut object = ObjectReader::new("the agent's settings", node, log)?;
    let name = object.required("name", log, reader::name);
    let zone = object.required("zone", log, reader::name);
    let service = object.required("service", log, reader::name);
    let backend = object.required("backend", log, address);
    let listen = object.required("listen", log, read_listen);
    let store = object.required("store", log, address);
    let log_level = object.optional("log_level", log, read_level);
    let bounds = object.required("bounds", log, read_bounds);
    object.finish(log);
    Some(EdgeSettings {
        name: name?,
        zone: zone?,
        service: service?,
        backend: backend?,
        listen: listen?,
        store: store?,
        log_level: log_level.unwrap_or_else(|| "info".into()),
        bounds: bounds?,
    })
}

/// Reads the listeners' addresses and checks that none stands twice.
fn read_listen(node: &TreeNode, log: &mut FindingLog) -> Option<EdgeListen> {
    let mut object = ObjectReader::new("\"listen\"", node, log)?;
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let mut read = |name: &'static str, log: &mut FindingLog| {
        let place = object.node(name).map(|node| node.place.clone());
        let address = object.required(name, log, address)?;
        if let Some((other, _)) = seen.iter().find(|(_, taken)| *taken == address) {
            let message = format!("{name:?} has the address of {other:?}, {address}");
            log.add(&place?, message, "give each listener a port of its own");
        }
        seen.push((name, address));
        Some(address)
    };
    let caller = read("caller", log);
    let ready = read("ready", log);
    let announce = read("announce", log);
    let gate = read("gate", log);
    let metrics = read("metrics", log);
    object.finish(log);
    Some(EdgeListen {
        caller: caller?,
        ready: ready?,
        announce: announce?,
        gate: gate?,
        metrics: metrics?,
    })
}

/// Reads the bounds and checks that they hold together.
fn read_bounds(node: &TreeNode, log: &mut FindingLog) -> Option<EdgeBounds> {
    let period = reader::whole(1, PERIOD_LIMIT_MS);
    let mut object = ObjectReader::new("\"bounds\"", node, log)?;
    let announce_every = object.required("announce_every_ms", log, &period);
    let max_hold = object.required("longest_grant_ms", log, &period);
    let grace = object.required("grace_s", log, reader::number(0.1, 600.0));
    let ratio = object.required("retry_ratio", log, reader::number(0.0, 10.0));
    let slack = object.required("retry_slack", log, reader::number(0.0, SLACK_LIMIT));
    let window = object.required("retry_window_s", log, reader::number(0.1, 600.0));
    object.finish(log);
    let bounds = EdgeBounds {
        announce_every_ms: announce_every?,
        longest_grant_ms: max_hold?,
        grace_ms: (grace? * 1_000.0) as u64,
        retry_ratio: ratio?,
        retry_slack: slack?,
        retry_window_ms: (window? * 1_000.0) as u64,
    };
    let least = bounds.announce_every_ms * ANNOUNCEMENTS_PER_HOLD;
    if bounds.longest_grant_ms < least {
        let message = format!(
            "\"longest_grant_ms\" {} holds fewer than {ANNOUNCEMENTS_PER_HOLD} announcements, one each \
             \"announce_every_ms\" {}",
            bounds.longest_grant_ms, bounds.announce_every_ms
        );
        let hint = format!("set \"longest_grant_ms\" to {least} or more");
        log.add(&node.place, message, hint);
    }
    Some(bounds)
}
