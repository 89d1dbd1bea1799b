//! Endpoint selection among backend servers that are slow, busy, failing or unreachable.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jy_policy::choice::EndpointTable;
use jy_policy::choice::GateLoad;
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
