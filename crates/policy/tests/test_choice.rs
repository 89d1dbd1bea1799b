//! Endpoint selection among backend servers that are slow, busy, failing or unreachable.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jy_policy::choice::EndpointTable;
use jy_policy::choice::GateLoad;
use jy_policy::choice::LargeBody;
use jy_policy::choice::PickDemand;
use jy_policy::choice::RouteChoice;
use jy_types::name::Name;
use jy_types::time::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The load of an idle backend server of the usual speed.
const IDLE: GateLoad = GateLoad {
    busy: 0,
    slots: 6,
    service_time_percent: 30,
    transfer_backlog_ms: 0,
    used_percent: 10,
};

/// Creates endpoints in the gateway's availability zone.
fn choices(names: &[&str]) -> Vec<RouteChoice> {
    let choice = |name: &&str| RouteChoice {
        node: (*name).into(),
        is_same_zone: true,
    };
    names.iter().map(choice).collect()
}

/// Picks an endpoint for a request that has not been tried anywhere.
fn pick(table: &EndpointTable, now: u64, candidates: &[RouteChoice]) -> Option<Name> {
    let mut rng = SmallRng::seed_from_u64(1);
    table.pick(
        Millis(now),
        candidates,
        PickDemand::new(&BTreeSet::new()),
        &mut rng,
    )
}

#[gtest]
fn pick_prefers_faster() {
    let mut table = EndpointTable::new();
    table.record_report(
        Millis(0),
        &"slow".into(),
        GateLoad {
            service_time_percent: 90,
            ..IDLE
        },
    );
    table.record_report(Millis(0), &"fast".into(), IDLE);
    expect_that!(
        pick(&table, 10, &choices(&["slow", "fast"])),
        some(eq(&Name::from("fast")))
    );
}

#[gtest]
fn pick_prefers_free_slots_over_speed() {
    let mut table = EndpointTable::new();
    table.record_report(Millis(0), &"busy".into(), GateLoad { busy: 14, ..IDLE });
    table.record_report(
        Millis(0),
        &"free".into(),
        GateLoad {
            service_time_percent: 50,
            ..IDLE
        },
    );
    expect_that!(
        pick(&table, 10, &choices(&["busy", "free"])),
        some(eq(&Name::from("free")))
    );
}

#[gtest]
fn pick_avoids_unreachable_until_backoff_ends() {
    let mut table = EndpointTable::new();
    table.record_report(Millis(0), &"near".into(), IDLE);
    table.record_report(
        Millis(0),
        &"other".into(),
        GateLoad {
            service_time_percent: 60,
            ..IDLE
        },
    );
    table.record_unreachable(Millis(0), &"near".into());
    let candidates = choices(&["near", "other"]);
    expect_that!(
        pick(&table, 100, &candidates),
        some(eq(&Name::from("other")))
    );
    expect_that!(
        pick(&table, 400, &candidates),
        some(eq(&Name::from("near")))
    );
}

#[gtest]
fn pick_chooses_unreachable_if_only_candidate() {
    let mut table = EndpointTable::new();
    table.record_unreachable(Millis(0), &"only".into());
    expect_that!(
        pick(&table, 10, &choices(&["only"])),
        some(eq(&Name::from("only")))
    );
}

#[gtest]
fn pick_avoids_failing_endpoint_that_reports_low_load() {
    let mut table = EndpointTable::new();
    for now in 0..10 {
        table.record_report(Millis(now), &"shedding".into(), IDLE);
        table.record_outcome(&"shedding".into(), now % 2 == 0);
    }
    table.record_report(
        Millis(10),
        &"slower".into(),
        GateLoad {
            service_time_percent: 50,
            ..IDLE
        },
    );
    let candidates = choices(&["shedding", "slower"]);
    expect_that!(
        pick(&table, 11, &candidates),
        some(eq(&Name::from("slower")))
    );
}

#[gtest]
fn pick_stays_in_zone_at_equal_load() {
    let mut table = EndpointTable::new();
    let mut candidates = choices(&["far", "near"]);
    candidates[0].is_same_zone = false;
    table.record_report(Millis(0), &"far".into(), IDLE);
    table.record_report(Millis(0), &"near".into(), IDLE);
    expect_that!(pick(&table, 10, &candidates), some(eq(&Name::from("near"))));
}

/// Load pattern: large bodies enter at all instances, also at those whose own backend server can run them.
/// Guards against links that carry bodies which need no transfer.
#[gtest]
fn pick_large_body_stays_on_own_instance() {
    let table = EndpointTable::new();
    let names: Vec<String> = (0..20).map(|index| format!("n-{index}")).collect();
    let choices: Vec<RouteChoice> = names
        .iter()
        .map(|name| RouteChoice {
            node: name.as_str().into(),
            is_same_zone: true,
        })
        .collect();
    let body = LargeBody {
        at: "n-13",
        objective_ms: 1_000,
    };
    let tried = BTreeSet::new();
    let demand = PickDemand::new(&tried).with_large_body(body);
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let picked = table.pick(Millis(0), &choices, demand, &mut rng);
        expect_that!(picked.as_deref(), some(eq("n-13")));
    }
}

/// Guards against bodies that wait for a link while others are idle.
#[gtest]
fn pick_large_body_avoids_link_with_backlog() {
    let mut table = EndpointTable::new();
    for (name, transfer_backlog_ms) in [("a", 800), ("b", 0)] {
        let load = GateLoad {
            transfer_backlog_ms,
            ..IDLE
        };
        table.record_report(Millis(0), &name.into(), load);
    }
    let choices = ["a", "b"].map(|name| RouteChoice {
        node: name.into(),
        is_same_zone: name == "a",
    });
    let tried = BTreeSet::new();
    let demand = PickDemand::new(&tried).with_large_body(LargeBody {
        at: "elsewhere",
        objective_ms: 1_000,
    });
    let mut rng = SmallRng::seed_from_u64(1);
    let picked = table.pick(Millis(0), &choices, demand, &mut rng);
    expect_that!(picked.as_deref(), some(eq("b")));
}

/// Load pattern: a large fleet in five zones under moderate load. Guards against traffic between zones that
/// endpoints of the own zone could have run.
#[gtest]
fn pick_many_zones_moderate_load_prefers_own_zone() {
    let table = EndpointTable::new();
    let choices: Vec<RouteChoice> = (0..25)
        .map(|index| RouteChoice {
            node: format!("n-{index}").into(),
            is_same_zone: index % 5 == 0,
        })
        .collect();
    let tried = BTreeSet::new();
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let picked = table
            .pick(Millis(0), &choices, PickDemand::new(&tried), &mut rng)
            .expect("an endpoint is picked");
        let choice = choices.iter().find(|choice| choice.node == picked);
        expect_that!(choice.is_some_and(|choice| choice.is_same_zone), eq(true));
    }
}
