//! The accepted configuration of a workspace, rendered from its template.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::time::WallMillis;

/// Which requests wait when not all can be served. Earlier ones go first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Served before all others.
    Urgent,
    /// The usual.
    #[default]
    Normal,
    /// Served when nothing else waits.
    Deferrable,
}

/// How requests of one method and path prefix are treated. The first match counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method, or `*`.
    pub method: Name,
    /// Path prefix.
    pub path: Name,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Class of urgency.
    #[serde(default)]
    pub urgency: Urgency,
}

/// What the service promises its callers.
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
    /// Connections one backend server bears.
    pub connections: u32,
    /// Cost of a probe at the backend server, in milliseconds; zero if probes are not used.
    #[serde(default)]
    pub probe_cost_ms: u64,
    /// Longest time a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// How requests are treated, first match first. Without a match: non-idempotent and normal.
    #[serde(default)]
    pub routes: Vec<RouteRule>,
    /// Service-level target.
    pub target: ServiceTarget,
}

impl ServiceSpec {
    /// Returns the rule for a request, or none where the safe defaults count.
    #[must_use]
    pub fn rule(&self, method: &str, path: &str) -> Option<&RouteRule> {
        let matches = |rule: &&RouteRule| {
            (&*rule.method == "*" || &*rule.method == method) && path.starts_with(&*rule.path)
        };
        self.routes.iter().find(matches)
    }

    /// Whether some requests have an owner: all of a service divided by key, and elsewhere those
    /// that are non-idempotent, so that one gate sees every repeat.
    #[must_use]
    pub fn has_owners(&self) -> bool {
        let is_catch_all = |rule: &&RouteRule| &*rule.method == "*" && &*rule.path == "/";
        let last = self.routes.iter().position(|rule| is_catch_all(&rule));
        let reached = &self.routes[..last.map_or(self.routes.len(), |index| index + 1)];
        self.keyed || last.is_none() || reached.iter().any(|rule| !rule.idempotent)
    }
}

/// The accepted configuration of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRecord {
    /// Workspace name.
    pub name: Name,
    /// Availability zones it may use.
    pub zones: Vec<Name>,
    /// Availability zones taken out: no new work goes there.
    #[serde(default)]
    pub zones_out: Vec<Name>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Token of the write, to recognise it when its answer was lost.
    #[serde(default)]
    pub token: u64,
    /// Who accepted it, when and over which revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<AcceptNote>,
}

/// What an operator who finds a newer revision wants to know about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptNote {
    /// Who accepted it.
    pub by: Name,
    /// When, by the operator's clock.
    pub at: WallMillis,
    /// The revision that it replaced; zero for a new workspace.
    pub base: u64,
    /// Why, in the operator's words.
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
