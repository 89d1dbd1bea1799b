//! Routes and services of the configuration that the operator accepted.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::tenant::TenantTable;

/// Limits on the size of callers' requests and on the time for receiving them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time limit from the first to the last byte of a request, in milliseconds.
    pub read_ms: u64,
    /// How long a caller's connection without a request is kept open, in milliseconds.
    pub idle_ms: u64,
}

/// One of the services of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Service name.
    pub service: Name,
    /// Share of the requests, relative to the route's other targets.
    pub weight: u64,
}

/// To which services requests for one host and path prefix are sent, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Route name.
    pub name: Name,
    /// Host in the request.
    pub host: Name,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Name,
    /// Whether a request can safely run more than once.
    pub idempotent: bool,
    /// Maximum time until a caller receives a response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Priority of the requests; zero is the most urgent.
    pub priority: u32,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no API key although the configuration has tenants.
    pub public: bool,
    /// Services that run the requests, with their shares.
    pub targets: Vec<RouteTarget>,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Service name.
    pub name: Name,
    /// Path for health checks.
    pub health_path: Name,
    /// Maximum number of connections that one backend server accepts.
    pub max_connections: u32,
    /// Duration of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Requests per second that a backend server can run during a cold start.
    pub cold_per_s: f64,
    /// Whether a backend server runs only requests for keys that it holds.
    pub keyed: bool,
}

/// One version of the accepted configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Version number, which increases with each version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services by name.
    pub services: BTreeMap<Name, ServiceRule>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Tenants, one of whose API keys each request needs unless its route is public; `None` if the configuration
    /// has no tenants and requests need no key.
    pub tenants: Option<TenantTable>,
}

impl RouteTable {
    /// Finds the route of a request: among the routes of its host, the one with the longest matching prefix.
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
    /// Chooses a target by weight. `point` must be drawn uniformly from `0.0..1.0`.
    #[must_use]
    pub fn target(&self, point: f64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = point * total as f64;
        for target in &self.targets {
            remaining -= target.weight as f64;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}
