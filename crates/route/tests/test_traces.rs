//! Recorded traces against their stated outcomes, and with rules broken on purpose.

use googletest::prelude::*;
use jy_route::replay::replay;
use jy_testutils::traces::TraceFolder;

/// Traces, with the rules whose breach their outcome must tell.
const TRACES: &[(&str, &[&str])] = &[
    ("connection-lost", &["unknown_as_not_sent"]),
    ("owner-moves", &["no_records"]),
    ("owner-lost", &["no_records"]),
    ("hedge", &["all_idempotent"]),
    ("retry-storm", &["no_budget"]),
    ("no-answer", &["unknown_as_not_sent", "no_budget"]),
];

/// Figures that a broken rule must make worse than their bound.
const HARMS: [&str; 7] = [
    "sent_to_a2",
    "second_runs",
    "false_not_run",
    "foreign_answers",
    "extra_sends",
    "sent",
    "finished",
];

/// The traces of this area.
fn folder() -> TraceFolder {
    TraceFolder::new("route", replay)
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
