//! Replays recorded traces and compares them with their expected outcomes, also with rules broken on purpose.

use googletest::prelude::*;
use jy_gate::replay::replay;
use jy_testutils::traces::TraceDirectory;

/// Names of traces, with the broken rules that each must reveal.
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

/// Figures that count violations; a broken rule must raise at least one of them above zero.
const VIOLATIONS: [&str; 8] = [
    "released_busy",
    "double_runs",
    "false_not_run",
    "foreign_answers",
    "dispatched_past_lease",
    "run_past_lease",
    "overlapping_runs",
    "overruns",
];

/// Returns the traces of the gate.
fn traces() -> TraceDirectory {
    TraceDirectory::new("gate", replay)
}

#[gtest]
fn replay_matches_expected_outcome() {
    for (name, _) in TRACES {
        let differences = traces().differences(name, |text| text);
        expect_that!(differences, is_empty(), "{name}");
    }
}

#[gtest]
fn replay_reveals_broken_rule() {
    expect_that!(traces().undetected_rules(TRACES, &VIOLATIONS), is_empty());
}

#[gtest]
fn names_returns_only_listed_traces() {
    let mut listed: Vec<String> = TRACES.iter().map(|(name, _)| (*name).to_owned()).collect();
    listed.sort();
    expect_that!(traces().names(), eq(&listed));
}
