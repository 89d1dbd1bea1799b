//! Replays recorded traces and checks their stated bounds, also with deliberately broken rules.

use googletest::prelude::*;
use jy_route::replay::replay;
use jy_testutils::traces::TraceDirectory;

/// Traces, each with the broken rules that its bounds must detect.
const TRACES: &[(&str, &[&str])] = &[
    ("connection-lost", &["unknown_as_not_sent"]),
    ("owner-moves", &["no_records"]),
    ("owner-lost", &["no_records"]),
    ("hedge", &["all_idempotent"]),
    ("retry-storm", &["no_budget"]),
    ("no-answer", &["unknown_as_not_sent", "no_budget"]),
];

/// Figures of which a broken rule must violate the bound of at least one.
const VIOLATION_FIGURES: [&str; 7] = [
    "sent_to_a2",
    "second_runs",
    "false_not_run",
    "foreign_answers",
    "extra_sends",
    "sent",
    "finished",
];

/// Returns the routing traces.
fn traces() -> TraceDirectory {
    TraceDirectory::new("route", replay)
}

#[gtest]
fn replay_meets_outcome() {
    for (name, _) in TRACES {
        let differences = traces().differences(name, |text| text);
        expect_that!(differences, is_empty(), "{name}");
    }
}

#[gtest]
fn replay_detects_broken_rule() {
    expect_that!(
        traces().undetected_rules(TRACES, &VIOLATION_FIGURES),
        is_empty()
    );
}

#[gtest]
fn folder_holds_listed_traces_only() {
    let mut listed: Vec<String> = TRACES.iter().map(|(name, _)| (*name).to_owned()).collect();
    listed.sort();
    expect_that!(traces().names(), eq(&listed));
}
