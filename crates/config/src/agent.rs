//! Settings of one agent.

use std::net::SocketAddr;

use jy_types::finding::SourceLocation;
use jy_types::member::Place;
use jy_types::name::Name;

use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::reader::Result;
use crate::tree;
use crate::tree::TreeNode;

/// Fewest renewals that fit into one time to live: two may get lost without a loss of the lease.
const RENEWALS_PER_TTL: u64 = 3;
/// Longest period of the lease protocol, in milliseconds.
const LEASE_LIMIT_MS: u64 = 60_000;
/// Largest body that may be allowed, in bytes.
const BODY_LIMIT_BYTES: u64 = 64 * 1024 * 1024;
/// Most connections that may be allowed.
const CONNECTIONS_LIMIT: u64 = 100_000;
/// Longest time for a request's head, in milliseconds.
const HEAD_LIMIT_MS: u64 = 60_000;

/// Levels of the logs.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Addresses that the agent listens on, one for each kind of caller.
#[derive(Clone, Debug, PartialEq, Eq)]
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

/// Addresses that other agents use, where they differ from those listened on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// JSON-RPC of other agents.
    pub peer_rpc: Option<SocketAddr>,
    /// Requests that other agents forward.
    pub peer_forward: Option<SocketAddr>,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
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
#[derive(Clone, Debug, PartialEq, Eq)]
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The agent's name, unique in the fleet.
    pub name: Name,
    /// Where its instance stands.
    pub place: Place,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Addresses that other agents use, where they differ from those listened on.
    pub advertise: AdvertiseSettings,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Level of the logs.
    pub log_level: Name,
    /// Folder for recorded traces; none to record nothing.
    pub trace_dir: Option<Name>,
    /// Whether this agent reads the store itself; by default two agents of each zone do.
    pub watch_store: Option<bool>,
    /// Periods of the lease protocol.
    pub lease: LeaseSettings,
    /// Limits on what a caller may send.
    pub limits: LimitSettings,
}

/// Parses the settings of an agent. `source` names the text in findings.
///
/// # Errors
///
/// All findings with their place.
pub fn parse(source: &str, text: &str) -> Result<AgentSettings> {
    let node = tree::parse(source, text)?;
    let mut log = FindingLog::new();
    let settings = read_agent(&node, &mut log);
    log.finish(settings)
}

/// Reads all settings.
fn read_agent(node: &TreeNode, log: &mut FindingLog) -> Option<AgentSettings> {
    let mut object = ObjectReader::new("the agent's settings", node, log)?;
    let object_place = object.place();
    let name = object.required("name", log, reader::name);
    let place = object.required("place", log, read_place);
    let advertise = object.optional("advertise", log, read_advertise);
    let listen = object.required("listen", log, read_listen);
    let store_node = object.node("store");
    let store = object.required("store", log, address);
    let log_level = object.optional("log_level", log, read_level);
    let trace_dir = object.optional("trace_dir", log, reader::text);
    let watch_store = object.optional("watch_store", log, reader::boolean);
    let lease = object.optional("lease", log, read_lease);
    let limits = object.optional("limits", log, read_limits);
    object.finish(log);
    if let (Some(store), Some(node), Some(listen)) = (store, store_node, &listen) {
        check_store(store, &node.place, listen, log);
    }
    let advertise = advertise.unwrap_or_default();
    if let Some(listen) = &listen {
        check_callable(listen, &advertise, object_place, log);
    }
    Some(AgentSettings {
        name: name?,
        place: place?,
        listen: listen?,
        advertise,
        store: store?,
        log_level: log_level.unwrap_or_else(|| "info".into()),
        trace_dir,
        watch_store,
        lease: lease.unwrap_or_default(),
        limits: limits.unwrap_or_default(),
    })
}

/// Reads an IP address and port.
pub(crate) fn address(node: &TreeNode, log: &mut FindingLog) -> Option<SocketAddr> {
    let text = reader::text(node, log)?;
    let hint = "write an IP address and a port, such as \"10.0.0.7:7100\"";
    let address: Option<SocketAddr> = text.parse().ok();
    match address {
        None => log.refuse(node, format!("{text:?} is not an address"), hint),
        Some(address) if address.port() == 0 => {
            log.refuse(node, format!("{text:?} has no port"), hint);
        }
        Some(_) => {}
    }
    address
}

/// Reads where the instance stands.
fn read_place(node: &TreeNode, log: &mut FindingLog) -> Option<Place> {
    let mut object = ObjectReader::new("\"place\"", node, log)?;
    let region = object.required("region", log, reader::name);
    let zone = object.required("zone", log, reader::name);
    let rack = object.required("rack", log, reader::name);
    object.finish(log);
    Some(Place {
        region: region?,
        zone: zone?,
        rack: rack?,
    })
}

/// Reads the listeners' addresses and checks that none stands twice.
fn read_listen(node: &TreeNode, log: &mut FindingLog) -> Option<ListenSettings> {
    let mut object = ObjectReader::new("\"listen\"", node, log)?;
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let mut read = |name: &'static str, log: &mut FindingLog| {
        let node = object.node(name);
        let address = object.required(name, log, address)?;
        let place = &node?.place;
        let taken = seen.iter().find(|(_, other)| clash(*other, address));
        if let Some((other, _)) = taken {
            let message = format!("{name:?} has the address of {other:?}, {address}");
            log.add(place, message, "give each listener a port of its own");
        }
        seen.push((name, address));
        Some(address)
    };
    let caller = read("caller", log);
    let peer_rpc = read("peer_rpc", log);
    let peer_forward = read("peer_forward", log);
    let backend = read("backend", log);
    let operator = read("operator", log);
    object.finish(log);
    Some(ListenSettings {
        caller: caller?,
        peer_rpc: peer_rpc?,
        peer_forward: peer_forward?,
        backend: backend?,
        operator: operator?,
    })
}

/// Reads the addresses that other agents use.
fn read_advertise(node: &TreeNode, log: &mut FindingLog) -> Option<AdvertiseSettings> {
    let mut object = ObjectReader::new("\"advertise\"", node, log)?;
    let peer_rpc = object.optional("peer_rpc", log, address);
    let peer_forward = object.optional("peer_forward", log, address);
    object.finish(log);
    Some(AdvertiseSettings {
        peer_rpc,
        peer_forward,
    })
}

/// Checks that the addresses which others call are those of one instance.
fn check_callable(
    listen: &ListenSettings,
    advertise: &AdvertiseSettings,
    place: &SourceLocation,
    log: &mut FindingLog,
) {
    let called = [
        ("peer_rpc", advertise.peer_rpc.unwrap_or(listen.peer_rpc)),
        (
            "peer_forward",
            advertise.peer_forward.unwrap_or(listen.peer_forward),
        ),
        ("operator", listen.operator),
    ];
    for (name, address) in called {
        if address.ip().is_unspecified() {
            let message = format!("{name:?} has the address {address}, which others can't call");
            log.add(place, message, "write an IP number of this instance");
        }
    }
}

/// Whether two listeners can't both have their address.
fn clash(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip = one.ip() == other.ip();
    let any_ip = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (same_ip || any_ip)
}

/// Checks that the store is not one of the agent's own listeners.
fn check_store(
    store: SocketAddr,
    place: &SourceLocation,
    listen: &ListenSettings,
    log: &mut FindingLog,
) {
    let own = [
        listen.caller,
        listen.peer_rpc,
        listen.peer_forward,
        listen.backend,
        listen.operator,
    ];
    if own.contains(&store) {
        let message = format!("\"store\" has the address of an own listener, {store}");
        log.add(
            place,
            message,
            "write the address of the platform's key-value service",
        );
    }
}

/// Reads the level of the logs.
pub(crate) fn read_level(node: &TreeNode, log: &mut FindingLog) -> Option<Name> {
    let level = reader::text(node, log)?;
    if !LOG_LEVELS.contains(&&*level) {
        let message = format!("unknown level {level:?} of the logs");
        log.refuse(node, message, reader::name_hint(&level, &LOG_LEVELS));
    }
    Some(level)
}

/// Reads the periods of the lease protocol.
fn read_lease(node: &TreeNode, log: &mut FindingLog) -> Option<LeaseSettings> {
    let standard = LeaseSettings::default();
    let period = reader::whole(1, LEASE_LIMIT_MS);
    let mut object = ObjectReader::new("\"lease\"", node, log)?;
    let ttl = object.optional("ttl_ms", log, &period);
    let renew_every = object.optional("renew_every_ms", log, &period);
    object.finish(log);
    let settings = LeaseSettings {
        ttl_ms: ttl.unwrap_or(standard.ttl_ms),
        renew_every_ms: renew_every.unwrap_or(standard.renew_every_ms),
    };
    let least = settings.renew_every_ms * RENEWALS_PER_TTL;
    if settings.ttl_ms < least {
        let message = format!(
            "a time to live of {} ms holds fewer than {RENEWALS_PER_TTL} renewals, one each {} ms",
            settings.ttl_ms, settings.renew_every_ms
        );
        log.add(
            &node.place,
            message,
            format!("set \"ttl_ms\" to {least} or more"),
        );
    }
    Some(settings)
}

/// Reads the limits on callers.
fn read_limits(node: &TreeNode, log: &mut FindingLog) -> Option<LimitSettings> {
    let standard = LimitSettings::default();
    let mut object = ObjectReader::new("\"limits\"", node, log)?;
    let body = object.optional("body_bytes", log, reader::whole(1, BODY_LIMIT_BYTES));
    let connections = object.optional("connections", log, reader::whole(1, CONNECTIONS_LIMIT));
    let head = object.optional("head_timeout_ms", log, reader::whole(1, HEAD_LIMIT_MS));
    object.finish(log);
    let size = |value: Option<u64>| value.and_then(|value| usize::try_from(value).ok());
    Some(LimitSettings {
        body_bytes: size(body).unwrap_or(standard.body_bytes),
        connections: size(connections).unwrap_or(standard.connections),
        head_timeout_ms: head.unwrap_or(standard.head_timeout_ms),
    })
}
