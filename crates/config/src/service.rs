//! Reads the settings of a service after parameter substitution.

use jy_types::finding::SourceLocation;
use jy_types::name::Name;
use jy_types::workspace::RouteRule;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::ServiceTarget;
use jy_types::workspace::Urgency;

use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::tree::NodeValue;
use crate::tree::TreeNode;

/// Maximum number of requests that one backend server handles concurrently.
const MAX_SLOTS: u64 = 100_000;
/// Maximum number of connections to one backend server.
const MAX_CONNECTIONS: u64 = 1_000_000;
/// Maximum duration in any setting of a service, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;
const MIN_TARGET_PERCENT: f64 = 50.0;
/// Maximum target, in percent. Above it no error budget is left.
const MAX_TARGET_PERCENT: f64 = 99.999;

/// HTTP methods allowed in a route. `*` matches every method.
const METHODS: [&str; 8] = [
    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
];

/// Names of the urgency classes in templates.
const URGENCIES: [(&str, Urgency); 3] = [
    ("urgent", Urgency::Urgent),
    ("normal", Urgency::Normal),
    ("deferrable", Urgency::Deferrable),
];

/// A rule and the location of its route.
type LocatedRule = (RouteRule, SourceLocation);

/// Reads the settings of a service. Returns `None` if a setting can't be read.
pub fn read(name: &Name, node: &TreeNode, log: &mut FindingLog) -> Option<ServiceSpec> {
    let mut object = ObjectReader::new("a service's kind", node, log)?;
    let keyed = object.required("keyed", log, reader::boolean);
    let slots = object.required("slots", log, reader::integer(1, MAX_SLOTS));
    let connections = object.required("connections", log, reader::integer(1, MAX_CONNECTIONS));
    let probe = object.optional("probe_cost_ms", log, reader::integer(0, MAX_DURATION_MS));
    let timeout = object.required("timeout_ms", log, reader::integer(1, MAX_DURATION_MS));
    let routes = object.optional("routes", log, read_routes);
    let target = object.required("target", log, |node, log| read_target(node, timeout, log));
    object.finish(log);
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        let message = format!("{connections} connections are fewer than {slots} slots");
        log.add(
            &node.location,
            message,
            "allow at least one connection for each slot",
        );
    }
    Some(ServiceSpec {
        name: name.clone(),
        keyed: keyed?,
        slots: u32::try_from(slots?).ok()?,
        connections: u32::try_from(connections?).ok()?,
        probe_cost_ms: probe.unwrap_or_default(),
        timeout_ms: timeout?,
        routes: routes.unwrap_or_default(),
        target: target?,
    })
}

/// Reads a service-level target and checks its latency against the request timeout.
fn read_target(
    node: &TreeNode,
    timeout_ms: Option<u64>,
    log: &mut FindingLog,
) -> Option<ServiceTarget> {
    let mut object = ObjectReader::new("a target", node, log)?;
    let percent = reader::number(MIN_TARGET_PERCENT, MAX_TARGET_PERCENT);
    let duration = reader::integer(1, MAX_DURATION_MS);
    let availability = object.required("availability_percent", log, &percent);
    let latency_percent = object.required("latency_percent", log, &percent);
    let latency_node = object.node("latency_ms");
    let latency = object.required("latency_ms", log, &duration);
    let unavailable = object.required("key_unavailable_ms", log, &duration);
    object.finish(log);
    if let (Some(node), Some(latency), Some(timeout)) = (latency_node, latency, timeout_ms)
        && latency > timeout
    {
        let message = format!("the latency target of {latency} ms exceeds the timeout");
        log.add(
            &node.location,
            message,
            format!("use at most timeout_ms, {timeout}"),
        );
    }
    Some(ServiceTarget {
        availability_percent: availability?,
        latency_percent: latency_percent?,
        latency_ms: latency?,
        key_unavailable_ms: unavailable?,
    })
}

/// Reads the route rules in order and reports rules that can never match.
fn read_routes(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<RouteRule>> {
    let mut rules: Vec<LocatedRule> = Vec::new();
    for item in reader::items(node, log)? {
        rules.extend(read_rule(item, log).unwrap_or_default());
    }
    for (index, (rule, location)) in rules.iter().enumerate() {
        let earlier = rules[..index].iter().find(|(other, _)| covers(other, rule));
        if let Some((other, other_location)) = earlier {
            let message = format!(
                "route \"{} {}\" never matches: \"{} {}\" comes before it",
                rule.method, rule.path, other.method, other.path
            );
            let hint = format!("move it before the route at {other_location}, or remove it");
            log.add(location, message, hint);
        }
    }
    Some(rules.into_iter().map(|(rule, _)| rule).collect())
}

/// Returns whether `earlier` matches every request that `rule` matches.
fn covers(earlier: &RouteRule, rule: &RouteRule) -> bool {
    let same_method = &*earlier.method == "*" || earlier.method == rule.method;
    same_method && rule.path.starts_with(&*earlier.path)
}

/// Reads one entry of `routes`. Returns one rule per route in its `match`.
fn read_rule(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<LocatedRule>> {
    let mut object = ObjectReader::new("a route", node, log)?;
    let matches = object.required("match", log, read_matches);
    let idempotent = object.required("idempotent", log, reader::boolean);
    let urgency = object.optional("urgency", log, read_urgency);
    object.finish(log);
    let urgency = urgency.unwrap_or_default();
    let idempotent = idempotent?;
    if !idempotent && urgency == Urgency::Deferrable {
        let message = "a non-idempotent route is marked deferrable";
        let hint = "use \"normal\" or \"urgent\": a caller can't safely repeat the request";
        log.add(&node.location, message, hint);
    }
    let rule = |((method, path), location)| {
        let rule = RouteRule {
            method,
            path,
            idempotent,
            urgency,
        };
        (rule, location)
    };
    Some(matches?.into_iter().map(rule).collect())
}

/// Reads one route or a list of routes.
fn read_matches(
    node: &TreeNode,
    log: &mut FindingLog,
) -> Option<Vec<((Name, Name), SourceLocation)>> {
    let nodes = match &node.value {
        NodeValue::List(items) => items.iter().collect(),
        _ => vec![node],
    };
    let read = |node: &TreeNode| Some((read_match(node, log)?, node.location.clone()));
    Some(nodes.into_iter().filter_map(read).collect())
}

/// Reads one route, which consists of a method and a path prefix.
fn read_match(node: &TreeNode, log: &mut FindingLog) -> Option<(Name, Name)> {
    let text = reader::text(node, log)?;
    let hint = "write a method or * and a path prefix, such as \"POST /batches\"";
    let Some((method, path)) = text.split_once(' ') else {
        log.reject(node, format!("{text:?} is not a route"), hint);
        return None;
    };
    if !METHODS.contains(&method) {
        let message = format!("unknown method {method:?}");
        log.reject(node, message, reader::name_hint(method, &METHODS));
        return None;
    }
    if !path.starts_with('/') || path.contains(' ') {
        log.reject(node, format!("{path:?} is not a path prefix"), hint);
        return None;
    }
    Some((method.into(), path.into()))
}

/// Reads an urgency class.
fn read_urgency(node: &TreeNode, log: &mut FindingLog) -> Option<Urgency> {
    let text = reader::text(node, log)?;
    let found = URGENCIES.iter().find(|(name, _)| *name == &*text);
    if found.is_none() {
        let names = URGENCIES.map(|(name, _)| name);
        let message = format!("unknown urgency {text:?}");
        log.reject(node, message, reader::name_hint(&text, &names));
    }
    found.map(|(_, urgency)| *urgency)
}
