//! Settings of the agent for a platform whose backend servers announce themselves to the agent beside them.

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

const MAX_PERIOD_MS: u64 = 600_000;
/// How long a backend server serves after it has begun to leave where the settings do not say, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 2_000;
/// Rate of a network link, in megabits per second.
const MIN_LINK_MBPS: f64 = 0.1;
const MAX_LINK_MBPS: f64 = 1_000_000.0;
/// Link rate where the settings state none, in megabits per second.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
/// Memory of the agent, in megabytes.
const MIN_MEMORY_MB: f64 = 64.0;
const MAX_MEMORY_MB: f64 = 1_000_000.0;
/// Memory where the settings state none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 160.0;
const MAX_RETRY_SLACK: f64 = 1_000_000.0;
const MAX_QUOTA_SLACK: f64 = 1_000_000.0;
/// Shortest time within which withdrawn API keys can be refused everywhere without refusing valid ones, in milliseconds:
/// the oldest proof with which agents work while the store is in reach, 1,300 ms, and the margin of 500 ms.
const MIN_REVOKE_MS: u64 = 2_000;
const MAX_REVOKE_MS: u64 = 600_000;
/// Minimum number of announcements per grant of keys, so that the keys survive one lost announcement.
const MIN_ANNOUNCEMENTS_PER_GRANT: u64 = 2;

/// Addresses that the agent listens on, one for each kind of caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeListen {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Readiness probes of the platform.
    pub ready: SocketAddr,
    /// Announcements of the backend server.
    pub announce: SocketAddr,
    /// Requests forwarded by other agents.
    pub gate: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Bounds on how far the requests of a tenant may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window over which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Allowed excess, as a share of what the quota allows in the window.
    pub excess_ratio: f64,
    /// Number of requests allowed beyond that, summed over all agents.
    pub slack: f64,
}

/// Bounds that the operators of the deployment guarantee to their users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EdgeBounds {
    /// Interval between announcements of a backend server, in milliseconds.
    pub announce_every_ms: u64,
    /// Longest grant of keys that a backend server accepts, in milliseconds.
    pub longest_grant_ms: u64,
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// How long a backend server serves after it has begun to leave, in milliseconds.
    pub drain_ms: u64,
    /// Maximum number of extra sends, as a share of a service's requests.
    pub retry_ratio: f64,
    /// Number of extra sends allowed beyond that share, summed over all agents.
    pub retry_slack: f64,
    /// Window over which extra sends are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Time after the acceptance of a configuration that withdraws an API key in which the key must be refused by
    /// all agents, also by those that can't reach the store, in milliseconds; `None` if there is no such limit.
    pub revoke_ms: Option<u64>,
    /// Bounds on the requests of tenants beyond their quotas; `None` if the deployment states none.
    pub quota: Option<QuotaBounds>,
}

/// Settings of an agent to which backend servers announce themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Service of the backend server that runs beside the agent.
    pub service: Name,
    /// Address that the backend server listens on.
    pub backend: SocketAddr,
    /// Addresses that the agent listens on.
    pub listen: EdgeListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Rate of the instance's network link, in megabits per second.
    pub link_mbps: f64,
    /// Memory that the agent may use, in megabytes.
    pub memory_mb: f64,
    /// Log level.
    pub log_level: Name,
    /// Bounds that the operators of the deployment guarantee to their users.
    pub bounds: EdgeBounds,
}

/// Parses the settings of an agent. `source` names the text in findings.
///
/// # Errors
///
/// Returns all findings if the text can't be parsed or a setting is invalid.
pub fn parse(source: &str, text: &str) -> Result<EdgeSettings> {
    let node = tree::parse(source, text)?;
    let mut log = FindingLog::new();
    let settings = read_edge(&node, &mut log);
    log.finish(settings)
}

fn read_edge(node: &TreeNode, log: &mut FindingLog) -> Option<EdgeSettings> {
    let mut object = ObjectReader::new("the agent's settings", node, log)?;
    let name = object.required("name", log, reader::name);
    let zone = object.required("zone", log, reader::name);
    let service = object.required("service", log, reader::name);
    let backend = object.required("backend", log, address);
    let listen = object.required("listen", log, read_listen);
    let store = object.required("store", log, address);
    let link_mbps = object.optional(
        "link_mbps",
        log,
        reader::number(MIN_LINK_MBPS, MAX_LINK_MBPS),
    );
    let memory_mb = object.optional(
        "memory_mb",
        log,
        reader::number(MIN_MEMORY_MB, MAX_MEMORY_MB),
    );
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
        link_mbps: link_mbps.unwrap_or(DEFAULT_LINK_MBPS),
        memory_mb: memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
        log_level: log_level.unwrap_or_else(|| "info".into()),
        bounds: bounds?,
    })
}

/// Reads the addresses of the listeners and checks that no two of them are equal.
fn read_listen(node: &TreeNode, log: &mut FindingLog) -> Option<EdgeListen> {
    let mut object = ObjectReader::new("\"listen\"", node, log)?;
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let mut read = |name: &'static str, log: &mut FindingLog| {
        let location = object.node(name).map(|node| node.location.clone());
        let address = object.required(name, log, address)?;
        if let Some((other, _)) = seen.iter().find(|(_, used)| *used == address) {
            let message = format!("{name:?} has the same address as {other:?}, {address}");
            log.add(
                &location?,
                message,
                "use a different port for each listener",
            );
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

/// Reads the bounds and checks that the longest grant allows enough announcements.
fn read_bounds(node: &TreeNode, log: &mut FindingLog) -> Option<EdgeBounds> {
    let period = reader::integer(1, MAX_PERIOD_MS);
    let mut object = ObjectReader::new("\"bounds\"", node, log)?;
    let announce_every = object.required("announce_every_ms", log, &period);
    let longest_grant = object.required("longest_grant_ms", log, &period);
    let grace = object.required("grace_s", log, reader::number(0.1, 600.0));
    let drain = object.optional("drain_ms", log, reader::number(0.0, 600_000.0));
    let ratio = object.required("retry_ratio", log, reader::number(0.0, 10.0));
    let slack = object.required("retry_slack", log, reader::number(0.0, MAX_RETRY_SLACK));
    let window = object.required("retry_window_s", log, reader::number(0.1, 600.0));
    let revoke = object.optional("revoke_ms", log, read_revoke);
    let quota = object.optional("quota", log, read_quota);
    object.finish(log);
    let bounds = EdgeBounds {
        announce_every_ms: announce_every?,
        longest_grant_ms: longest_grant?,
        grace_ms: (grace? * 1_000.0) as u64,
        drain_ms: drain.map_or(DEFAULT_DRAIN_MS, |drain_ms| drain_ms as u64),
        retry_ratio: ratio?,
        retry_slack: slack?,
        retry_window_ms: (window? * 1_000.0) as u64,
        revoke_ms: revoke,
        quota,
    };
    let min_grant_ms = bounds.announce_every_ms * MIN_ANNOUNCEMENTS_PER_GRANT;
    if bounds.longest_grant_ms < min_grant_ms {
        let message = format!(
            "\"longest_grant_ms\" of {} allows fewer than {MIN_ANNOUNCEMENTS_PER_GRANT} announcements at one every \
             \"announce_every_ms\" of {}",
            bounds.longest_grant_ms, bounds.announce_every_ms
        );
        let hint = format!("set \"longest_grant_ms\" to {min_grant_ms} or more");
        log.add(&node.location, message, hint);
    }
    Some(bounds)
}

/// Reads the time within which withdrawn API keys must be refused, in milliseconds.
fn read_revoke(node: &TreeNode, log: &mut FindingLog) -> Option<u64> {
    let revoke_ms = reader::number(0.0, MAX_REVOKE_MS as f64)(node, log)? as u64;
    if revoke_ms < MIN_REVOKE_MS {
        let message = format!(
            "\"revoke_ms\" of {revoke_ms} is shorter than the time in which agents learn of a withdrawn key"
        );
        let hint = format!("use a number from {MIN_REVOKE_MS} to {MAX_REVOKE_MS}, or leave it out");
        log.reject(node, message, hint);
        return None;
    }
    Some(revoke_ms)
}

/// Reads the bounds on the requests of tenants beyond their quotas.
fn read_quota(node: &TreeNode, log: &mut FindingLog) -> Option<QuotaBounds> {
    let mut object = ObjectReader::new("\"quota\"", node, log)?;
    let window = object.required("window_s", log, reader::number(0.1, 600.0));
    let excess = object.required("excess_ratio", log, reader::number(0.0, 10.0));
    let slack = object.required("slack", log, reader::number(0.0, MAX_QUOTA_SLACK));
    object.finish(log);
    Some(QuotaBounds {
        window_ms: (window? * 1_000.0) as u64,
        excess_ratio: excess?,
        slack: slack?,
    })
}
