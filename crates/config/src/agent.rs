//! Settings of an agent.

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

/// Minimum number of renewals per time to live, so that the lease survives two lost renewals.
const MIN_RENEWALS_PER_TTL: u64 = 3;
const MAX_LEASE_PERIOD_MS: u64 = 60_000;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const MAX_CONNECTIONS: u64 = 100_000;
const MAX_HEAD_TIMEOUT_MS: u64 = 60_000;

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Addresses that the agent listens on, one for each kind of caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// JSON-RPC calls of other agents.
    pub peer_rpc: SocketAddr,
    /// Requests forwarded by other agents.
    pub peer_forward: SocketAddr,
    /// Announcements of the backend server.
    pub backend: SocketAddr,
    /// Operator commands and metrics.
    pub operator: SocketAddr,
}

/// Addresses that other agents connect to, where they differ from the listen addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// JSON-RPC calls of other agents.
    pub peer_rpc: Option<SocketAddr>,
    /// Requests forwarded by other agents.
    pub peer_forward: Option<SocketAddr>,
}

/// Limits on callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of connections per listener.
    pub connections: usize,
    /// Time that a caller has to send the head of a request, in milliseconds.
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

/// Periods of the lease protocol. All agents of a fleet must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Validity of a monitor's support for the lease, in milliseconds.
    pub ttl_ms: u64,
    /// Interval between renewals, in milliseconds.
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

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The agent's name, unique in the fleet.
    pub name: Name,
    /// Region, availability zone and rack of the agent's instance.
    pub place: Place,
    /// Addresses that the agent listens on.
    pub listen: ListenSettings,
    /// Addresses that other agents connect to, where they differ from the listen addresses.
    pub advertise: AdvertiseSettings,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Log level.
    pub log_level: Name,
    /// Directory for recorded traces. `None` disables recording.
    pub trace_dir: Option<Name>,
    /// Whether this agent reads the store directly. By default two agents of each availability zone do.
    pub watch_store: Option<bool>,
    /// Periods of the lease protocol.
    pub lease: LeaseSettings,
    /// Limits on callers.
    pub limits: LimitSettings,
}

/// Parses the settings of an agent. `source` names the text in findings.
///
/// # Errors
///
/// Returns all findings if the text can't be parsed or a setting is invalid.
pub fn parse(source: &str, text: &str) -> Result<AgentSettings> {
    let node = tree::parse(source, text)?;
    let mut log = FindingLog::new();
    let settings = read_agent(&node, &mut log);
    log.finish(settings)
}

fn read_agent(node: &TreeNode, log: &mut FindingLog) -> Option<AgentSettings> {
    let mut object = ObjectReader::new("the agent's settings", node, log)?;
    let object_location = object.location();
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
        check_store_address(store, &node.location, listen, log);
    }
    let advertise = advertise.unwrap_or_default();
    if let Some(listen) = &listen {
        check_reachable_addresses(listen, &advertise, object_location, log);
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

/// Reads an IP address with a port.
pub(crate) fn address(node: &TreeNode, log: &mut FindingLog) -> Option<SocketAddr> {
    let text = reader::text(node, log)?;
    let hint = "write an IP address and a port, such as \"10.0.0.7:7100\"";
    let address: Option<SocketAddr> = text.parse().ok();
    match address {
        None => log.reject(node, format!("{text:?} is not an address"), hint),
        Some(address) if address.port() == 0 => {
            log.reject(node, format!("port 0 is not allowed in {text:?}"), hint);
        }
        Some(_) => {}
    }
    address
}

/// Reads the region, availability zone and rack of the instance.
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

/// Reads the addresses of the listeners and checks that no two of them conflict.
fn read_listen(node: &TreeNode, log: &mut FindingLog) -> Option<ListenSettings> {
    let mut object = ObjectReader::new("\"listen\"", node, log)?;
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let mut read = |name: &'static str, log: &mut FindingLog| {
        let node = object.node(name);
        let address = object.required(name, log, address)?;
        let location = &node?.location;
        let conflicting = seen
            .iter()
            .find(|(_, other)| addresses_conflict(*other, address));
        if let Some((other, _)) = conflicting {
            let message =
                format!("address {address} of {name:?} conflicts with the address of {other:?}");
            log.add(location, message, "use a different port for each listener");
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

/// Reads the addresses that other agents connect to.
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

/// Checks that no address that other instances connect to is unspecified, such as `0.0.0.0`.
fn check_reachable_addresses(
    listen: &ListenSettings,
    advertise: &AdvertiseSettings,
    location: &SourceLocation,
    log: &mut FindingLog,
) {
    let remote_addresses = [
        ("peer_rpc", advertise.peer_rpc.unwrap_or(listen.peer_rpc)),
        (
            "peer_forward",
            advertise.peer_forward.unwrap_or(listen.peer_forward),
        ),
        ("operator", listen.operator),
    ];
    for (name, address) in remote_addresses {
        if address.ip().is_unspecified() {
            let message = format!(
                "{name:?} has the unspecified address {address}, which other instances can't connect to"
            );
            log.add(location, message, "use an IP address of this instance");
        }
    }
}

/// Returns whether two listeners can't be bound to these addresses at the same time. An unspecified IP
/// address conflicts with every other on the same port.
fn addresses_conflict(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip = left.ip() == right.ip();
    let any_ip = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() == right.port() && (same_ip || any_ip)
}

/// Checks that the address of the store is not that of one of the agent's listeners.
fn check_store_address(
    store: SocketAddr,
    location: &SourceLocation,
    listen: &ListenSettings,
    log: &mut FindingLog,
) {
    let listen_addresses = [
        listen.caller,
        listen.peer_rpc,
        listen.peer_forward,
        listen.backend,
        listen.operator,
    ];
    if listen_addresses.contains(&store) {
        let message = format!("\"store\" has the address of one of the agent's listeners, {store}");
        log.add(
            location,
            message,
            "use the address of the platform's key-value service",
        );
    }
}

/// Reads a log level.
pub(crate) fn read_level(node: &TreeNode, log: &mut FindingLog) -> Option<Name> {
    let level = reader::text(node, log)?;
    if !LOG_LEVELS.contains(&&*level) {
        let message = format!("unknown log level {level:?}");
        log.reject(node, message, reader::name_hint(&level, &LOG_LEVELS));
    }
    Some(level)
}

/// Reads the periods of the lease protocol and checks that the time to live allows enough renewals.
fn read_lease(node: &TreeNode, log: &mut FindingLog) -> Option<LeaseSettings> {
    let defaults = LeaseSettings::default();
    let period = reader::integer(1, MAX_LEASE_PERIOD_MS);
    let mut object = ObjectReader::new("\"lease\"", node, log)?;
    let ttl_ms = object.optional("ttl_ms", log, &period);
    let renew_every = object.optional("renew_every_ms", log, &period);
    object.finish(log);
    let settings = LeaseSettings {
        ttl_ms: ttl_ms.unwrap_or(defaults.ttl_ms),
        renew_every_ms: renew_every.unwrap_or(defaults.renew_every_ms),
    };
    let min_ttl_ms = settings.renew_every_ms * MIN_RENEWALS_PER_TTL;
    if settings.ttl_ms < min_ttl_ms {
        let message = format!(
            "a time to live of {} ms allows fewer than {MIN_RENEWALS_PER_TTL} renewals at one every {} ms",
            settings.ttl_ms, settings.renew_every_ms
        );
        log.add(
            &node.location,
            message,
            format!("set \"ttl_ms\" to {min_ttl_ms} or more"),
        );
    }
    Some(settings)
}

fn read_limits(node: &TreeNode, log: &mut FindingLog) -> Option<LimitSettings> {
    let defaults = LimitSettings::default();
    let mut object = ObjectReader::new("\"limits\"", node, log)?;
    let body = object.optional("body_bytes", log, reader::integer(1, MAX_BODY_BYTES));
    let connections = object.optional("connections", log, reader::integer(1, MAX_CONNECTIONS));
    let head = object.optional(
        "head_timeout_ms",
        log,
        reader::integer(1, MAX_HEAD_TIMEOUT_MS),
    );
    object.finish(log);
    let size = |value: Option<u64>| value.and_then(|value| usize::try_from(value).ok());
    Some(LimitSettings {
        body_bytes: size(body).unwrap_or(defaults.body_bytes),
        connections: size(connections).unwrap_or(defaults.connections),
        head_timeout_ms: head.unwrap_or(defaults.head_timeout_ms),
    })
}
