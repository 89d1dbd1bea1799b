//! Recorded traces against their stated outcomes, and with rules broken on purpose.

use googletest::prelude::*;
use jy_gate::replay::replay;
use jy_testutils::traces::TraceFolder;

/// Traces, with the rules whose breach their outcome must tell.
const TRACES: &[(&str, &[&str])] = &[
    ("cold-start", &["no_ramp"]),
    ("connection-lost", &["unknown_as_not_sent", "no_window"]),
    ("gate-killed", &["loss_as_move"]),
    ("planned-move", &["no_handover", "no_window"]),
    ("leaving", &["no_leaving"]),
    ("broken-run-holds-unit", &["unknown_as_not_sent"]),
    ("caller-clock-ahead", &["no_clock_error", "loss_as_move"]),
    ("lease-lapse", &["no_lease"]),
    ("takeover-margin", &["no_margin"]),
    ("window-full", &["no_window"]),
];

/// Figures that a broken rule must make worse than zero.
const HARMS: [&str; 8] = [
    "released_busy",
    "double_runs",
    "false_not_run",
    "foreign_answers",
    "dispatched_past_lease",
    "run_past_lease",
    "overlapping_runs",
    "overruns",
];

/// The traces of this area.
fn folder() -> TraceFolder {
    TraceFolder::new("gate", replay)
}

#[gtest]
fn replay_meets_outcome() {
    for (name, _) in TRACES {
        let found = folder().differences(name, |text| text);
        expect_that!(found, is_empty(), "{name}");
    }
}

#[gtest]
fn replay_tells_broken_rule() {
    expect_that!(folder().silent_rules(TRACES, &HARMS), is_empty());
}

#[gtest]
fn folder_holds_listed_traces_only() {
    let mut listed: Vec<String> = TRACES.iter().map(|(name, _)| (*name).to_owned()).collect();
    listed.sort();
    expect_that!(folder().names(), eq(&listed));
}
