//! The accepted configuration of a workspace, rendered from its template.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::time::WallMillis;

/// Priority of a request when not all can be served at once. Earlier variants are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Served before all others.
    Urgent,
    /// Served after urgent requests.
    #[default]
    Normal,
    /// Served when no other requests wait.
    Deferrable,
}

/// How requests with one method and path prefix are handled. The first matching rule applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method, or `*` for all.
    pub method: Name,
    /// Path prefix.
    pub path: Name,
    /// Whether a request can safely run more than once.
    pub idempotent: bool,
    /// Urgency of the requests.
    #[serde(default)]
    pub urgency: Urgency,
}

/// Service-level targets of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTarget {
    /// Share of requests served, in percent.
    pub availability_percent: f64,
    /// Share of requests served within `latency_ms`, in percent.
    pub latency_percent: f64,
    /// Latency bound in milliseconds.
    pub latency_ms: u64,
    /// Longest time a key may be unavailable, in milliseconds.
    pub key_unavailable_ms: u64,
}

/// One service of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Service name.
    pub name: Name,
    /// Whether every key has one owner.
    pub keyed: bool,
    /// Requests one backend server handles at once.
    pub slots: u32,
    /// Maximum number of connections to one backend server.
    pub connections: u32,
    /// Cost of a probe at the backend server, in milliseconds; zero if probes are not used.
    #[serde(default)]
    pub probe_cost_ms: u64,
    /// Longest time a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// How requests are handled; the first match applies. A request without a match is non-idempotent and of
    /// normal urgency.
    #[serde(default)]
    pub routes: Vec<RouteRule>,
    /// Service-level targets.
    pub target: ServiceTarget,
}

impl ServiceSpec {
    /// Returns the rule for a request, or none if the safe defaults apply.
    #[must_use]
    pub fn rule(&self, method: &str, path: &str) -> Option<&RouteRule> {
        let matches = |rule: &&RouteRule| {
            (&*rule.method == "*" || &*rule.method == method) && path.starts_with(&*rule.path)
        };
        self.routes.iter().find(matches)
    }

    /// Whether some requests have an owner. In a keyed service all have one; in others the non-idempotent ones
    /// do, so that a single gate sees every repeat.
    #[must_use]
    pub fn has_owners(&self) -> bool {
        let is_catch_all = |rule: &&RouteRule| &*rule.method == "*" && &*rule.path == "/";
        let catch_all = self.routes.iter().position(|rule| is_catch_all(&rule));
        let reachable = &self.routes[..catch_all.map_or(self.routes.len(), |index| index + 1)];
        self.keyed || catch_all.is_none() || reachable.iter().any(|rule| !rule.idempotent)
    }
}

/// The accepted configuration of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRecord {
    /// Workspace name.
    pub name: Name,
    /// Availability zones that the workspace may use.
    pub zones: Vec<Name>,
    /// Availability zones taken out of service, which get no new work.
    #[serde(default)]
    pub zones_out: Vec<Name>,
    /// Services of the workspace.
    pub services: Vec<ServiceSpec>,
    /// Token of the write, which identifies it if the store's reply was lost.
    #[serde(default)]
    pub token: u64,
    /// Who accepted the configuration, when, and which revision it replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<AcceptanceInfo>,
}

/// Details of the acceptance of a configuration, for operators who find a newer revision than theirs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptanceInfo {
    /// The operator who accepted it.
    pub by: Name,
    /// Time of the acceptance by the operator's clock.
    pub at: WallMillis,
    /// The revision that it replaced; zero for a new workspace.
    pub base: u64,
    /// The operator's reason for accepting it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<Name>,
}

impl WorkspaceRecord {
    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
