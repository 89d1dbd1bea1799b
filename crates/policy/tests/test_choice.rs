//! Backend servers of unlike speed, slowed, failing or out of reach.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jy_policy::choice::EndpointTable;
use jy_policy::choice::GateLoad;
use jy_policy::choice::RouteChoice;
use jy_types::name::Name;
use jy_types::time::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A load of an idle backend server of usual speed.
const IDLE: GateLoad = GateLoad {
    busy: 0,
    slots: 6,
    pace_percent: 30,
    used_percent: 10,
};

/// Endpoints in one availability zone.
fn choices(names: &[&str]) -> Vec<RouteChoice> {
    let choice = |name: &&str| RouteChoice {
        node: (*name).into(),
        is_near: true,
    };
    names.iter().map(choice).collect()
}

/// Picks with nothing tried before.
fn pick(table: &EndpointTable, now: u64, from: &[RouteChoice]) -> Option<Name> {
    let mut rng = SmallRng::seed_from_u64(1);
    table.pick(Millis(now), from, &BTreeSet::new(), &mut rng)
}

#[gtest]
fn pick_prefers_faster() {
    let mut table = EndpointTable::new();
    table.record_report(
        Millis(0),
        &"slow".into(),
        GateLoad {
            pace_percent: 90,
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
fn pick_prefers_free_slots_to_speed() {
    let mut table = EndpointTable::new();
    table.record_report(Millis(0), &"busy".into(), GateLoad { busy: 14, ..IDLE });
    table.record_report(
        Millis(0),
        &"free".into(),
        GateLoad {
            pace_percent: 50,
            ..IDLE
        },
    );
    expect_that!(
        pick(&table, 10, &choices(&["busy", "free"])),
        some(eq(&Name::from("free")))
    );
}

#[gtest]
fn pick_passes_over_unreachable_for_a_while() {
    let mut table = EndpointTable::new();
    table.record_report(Millis(0), &"near".into(), IDLE);
    table.record_report(
        Millis(0),
        &"other".into(),
        GateLoad {
            pace_percent: 60,
            ..IDLE
        },
    );
    table.unreachable(Millis(0), &"near".into());
    let from = choices(&["near", "other"]);
    expect_that!(pick(&table, 100, &from), some(eq(&Name::from("other"))));
    expect_that!(pick(&table, 400, &from), some(eq(&Name::from("near"))));
}

#[gtest]
fn pick_takes_unreachable_rather_than_none() {
    let mut table = EndpointTable::new();
    table.unreachable(Millis(0), &"only".into());
    expect_that!(
        pick(&table, 10, &choices(&["only"])),
        some(eq(&Name::from("only")))
    );
}

#[gtest]
fn pick_avoids_shedding_while_it_looks_healthy() {
    let mut table = EndpointTable::new();
    for now in 0..10 {
        table.record_report(Millis(now), &"shedding".into(), IDLE);
        table.outcome(&"shedding".into(), now % 2 == 0);
    }
    table.record_report(
        Millis(10),
        &"slower".into(),
        GateLoad {
            pace_percent: 50,
            ..IDLE
        },
    );
    let from = choices(&["shedding", "slower"]);
    expect_that!(pick(&table, 11, &from), some(eq(&Name::from("slower"))));
}

#[gtest]
fn pick_stays_in_zone_at_equal_load() {
    let mut table = EndpointTable::new();
    let mut from = choices(&["far", "near"]);
    from[0].is_near = false;
    table.record_report(Millis(0), &"far".into(), IDLE);
    table.record_report(Millis(0), &"near".into(), IDLE);
    expect_that!(pick(&table, 10, &from), some(eq(&Name::from("near"))));
}
