//! Routes and services as the operator's accepted configuration states them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to its last, in milliseconds.
    pub read_ms: u64,
    /// Longest time that a caller's connection stays open without a request, in milliseconds.
    pub idle_ms: u64,
}

/// One of the services of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Service name.
    pub service: Name,
    /// Share of the requests, relative to the route's other targets.
    pub weight: u64,
}

/// Where requests of one host and path prefix go and how they may be handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Route name.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Name,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Class of urgency; zero is the most urgent.
    pub priority: u32,
    /// Most backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// The services that run the requests, with their shares.
    pub targets: Vec<RouteTarget>,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Service name.
    pub name: Name,
    /// Path of its health page.
    pub health_path: Name,
    /// Connections that one backend server accepts.
    pub max_connections: u32,
    /// Length of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a backend server bears during a cold start.
    pub cold_per_s: f64,
    /// Whether backend servers run only requests of keys that they hold.
    pub keyed: bool,
}

/// One version of the accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Number of the version; only grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services by name.
    pub services: BTreeMap<Name, ServiceRule>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Finds the route of a request: of those with the host, the one with the longest prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let matches = |rule: &&RouteRule| *rule.host == *host && path.starts_with(&*rule.prefix);
        self.routes
            .iter()
            .filter(matches)
            .max_by_key(|rule| rule.prefix.len())
    }

    /// Finds a route by name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|rule| *rule.name == *name)
    }
}

impl RouteRule {
    /// Chooses a target by weight with `point` drawn evenly from `0.0..1.0`.
    #[must_use]
    pub fn target(&self, point: f64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = point * total as f64;
        for target in &self.targets {
            left -= target.weight as f64;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}
