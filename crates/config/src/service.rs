//! The settings of one service, its parameters already put in.

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

/// Most requests that one backend server handles at once.
const SLOTS_LIMIT: u64 = 100_000;
/// Most connections that one backend server bears.
const CONNECTIONS_LIMIT: u64 = 1_000_000;
/// Longest time that any setting of a service may name, in milliseconds.
const TIME_LIMIT_MS: u64 = 3_600_000;
/// Lowest share that a target may promise, in percent.
const TARGET_LEAST_PERCENT: f64 = 50.0;
/// Highest share that a target may promise, in percent. Above it no error budget is left.
const TARGET_MOST_PERCENT: f64 = 99.999;

/// Methods that a route may name.
const METHODS: [&str; 8] = [
    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
];

/// Classes of urgency as templates write them.
const URGENCIES: [(&str, Urgency); 3] = [
    ("urgent", Urgency::Urgent),
    ("normal", Urgency::Normal),
    ("deferrable", Urgency::Deferrable),
];

/// A rule and where its route stands.
type PlacedRule = (RouteRule, SourceLocation);

/// Reads the settings of a service.
pub fn read(name: &Name, node: &TreeNode, log: &mut FindingLog) -> Option<ServiceSpec> {
    let mut object = ObjectReader::new("a service's kind", node, log)?;
    let keyed = object.required("keyed", log, reader::boolean);
    let slots = object.required("slots", log, reader::whole(1, SLOTS_LIMIT));
    let connections = object.required("connections", log, reader::whole(1, CONNECTIONS_LIMIT));
    let probe = object.optional("probe_cost_ms", log, reader::whole(0, TIME_LIMIT_MS));
    let timeout = object.required("timeout_ms", log, reader::whole(1, TIME_LIMIT_MS));
    let routes = object.optional("routes", log, read_routes);
    let target = object.required("target", log, |node, log| read_target(node, timeout, log));
    object.finish(log);
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        let message = format!("{connections} connections can't fill {slots} slots");
        log.add(
            &node.place,
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

/// Reads a service-level target.
fn read_target(
    node: &TreeNode,
    timeout_ms: Option<u64>,
    log: &mut FindingLog,
) -> Option<ServiceTarget> {
    let mut object = ObjectReader::new("a target", node, log)?;
    let percent = reader::number(TARGET_LEAST_PERCENT, TARGET_MOST_PERCENT);
    let time = reader::whole(1, TIME_LIMIT_MS);
    let availability = object.required("availability_percent", log, &percent);
    let latency_percent = object.required("latency_percent", log, &percent);
    let latency_node = object.node("latency_ms");
    let latency = object.required("latency_ms", log, &time);
    let unavailable = object.required("key_unavailable_ms", log, &time);
    object.finish(log);
    if let (Some(node), Some(latency), Some(timeout)) = (latency_node, latency, timeout_ms)
        && latency > timeout
    {
        let message = format!("the latency target of {latency} ms is past the timeout");
        log.add(
            &node.place,
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

/// Reads the rules in order and checks that each can match.
fn read_routes(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<RouteRule>> {
    let mut rules: Vec<PlacedRule> = Vec::new();
    for item in reader::items(node, log)? {
        rules.extend(read_rule(item, log).unwrap_or_default());
    }
    for (index, (rule, place)) in rules.iter().enumerate() {
        let earlier = rules[..index].iter().find(|(other, _)| covers(other, rule));
        if let Some((other, other_place)) = earlier {
            let message = format!(
                "route \"{} {}\" never matches: \"{} {}\" comes before it",
                rule.method, rule.path, other.method, other.path
            );
            let hint = format!("move it before the one at {other_place}, or drop it");
            log.add(place, message, hint);
        }
    }
    Some(rules.into_iter().map(|(rule, _)| rule).collect())
}

/// Whether every request that `rule` matches is matched by `earlier` too.
fn covers(earlier: &RouteRule, rule: &RouteRule) -> bool {
    let method = &*earlier.method == "*" || earlier.method == rule.method;
    method && rule.path.starts_with(&*earlier.path)
}

/// Reads one entry of `routes`: its `match` may name several routes.
fn read_rule(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<PlacedRule>> {
    let mut object = ObjectReader::new("a route", node, log)?;
    let matches = object.required("match", log, read_matches);
    let idempotent = object.required("idempotent", log, reader::boolean);
    let urgency = object.optional("urgency", log, read_urgency);
    object.finish(log);
    let urgency = urgency.unwrap_or_default();
    let idempotent = idempotent?;
    if !idempotent && urgency == Urgency::Deferrable {
        let message = "a non-idempotent route is marked deferrable";
        let hint = "use \"normal\" or \"urgent\": a caller can't simply ask again later";
        log.add(&node.place, message, hint);
    }
    let rule = |((method, path), place)| {
        let rule = RouteRule {
            method,
            path,
            idempotent,
            urgency,
        };
        (rule, place)
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
    let read = |node: &TreeNode| Some((read_match(node, log)?, node.place.clone()));
    Some(nodes.into_iter().filter_map(read).collect())
}

/// Reads one route: a method and the prefix of a path.
fn read_match(node: &TreeNode, log: &mut FindingLog) -> Option<(Name, Name)> {
    let text = reader::text(node, log)?;
    let hint = "write a method or * and the prefix of a path, such as \"POST /batches\"";
    let Some((method, path)) = text.split_once(' ') else {
        log.refuse(node, format!("{text:?} is not a route"), hint);
        return None;
    };
    if !METHODS.contains(&method) {
        let message = format!("unknown method {method:?}");
        log.refuse(node, message, reader::name_hint(method, &METHODS));
        return None;
    }
    if !path.starts_with('/') || path.contains(' ') {
        log.refuse(node, format!("{path:?} is not the prefix of a path"), hint);
        return None;
    }
    Some((method.into(), path.into()))
}

/// Reads a class of urgency.
fn read_urgency(node: &TreeNode, log: &mut FindingLog) -> Option<Urgency> {
    let text = reader::text(node, log)?;
    let found = URGENCIES.iter().find(|(name, _)| *name == &*text);
    if found.is_none() {
        let names = URGENCIES.map(|(name, _)| name);
        let message = format!("unknown urgency {text:?}");
        log.refuse(node, message, reader::name_hint(&text, &names));
    }
    found.map(|(_, urgency)| *urgency)
}
