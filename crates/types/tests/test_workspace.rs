//! Which services have owners, by their route rules.

use googletest::prelude::*;
use jy_types::workspace::RouteRule;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::ServiceTarget;
use jy_types::workspace::Urgency;

fn rule(method: &str, path: &str, idempotent: bool) -> RouteRule {
    RouteRule {
        method: method.into(),
        path: path.into(),
        idempotent,
        urgency: Urgency::Normal,
    }
}

fn service(keyed: bool, routes: Vec<RouteRule>) -> ServiceSpec {
    ServiceSpec {
        name: "registry".into(),
        keyed,
        slots: 6,
        connections: 110,
        probe_cost_ms: 0,
        timeout_ms: 2_000,
        routes,
        target: ServiceTarget {
            availability_percent: 99.9,
            latency_percent: 99.0,
            latency_ms: 18,
            key_unavailable_ms: 5_000,
        },
    }
}

#[gtest]
fn has_owners_keyed() {
    expect_true!(service(true, vec![rule("*", "/", true)]).has_owners());
}

#[gtest]
fn has_owners_some_requests_not_idempotent() {
    expect_true!(service(false, vec![rule("GET", "/", true)]).has_owners());
    let rules = vec![rule("POST", "/batches", false), rule("*", "/", true)];
    expect_true!(service(false, rules).has_owners());
}

#[gtest]
fn has_owners_all_requests_idempotent() {
    let rules = vec![rule("*", "/", true), rule("POST", "/batches", false)];
    expect_false!(service(false, rules).has_owners());
}
