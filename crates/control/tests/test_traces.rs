//! Replays every trace of the area against its outcome.

#![expect(
    clippy::unwrap_used,
    clippy::missing_panics_doc,
    reason = "helpers of tests may panic"
)]

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;
use jy_control::replay::replay;
use jy_kernel::trace::FigureBound;
use jy_kernel::trace::FigureDifference;
use jy_kernel::trace::compare;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces/control")
}

/// Replays a trace, with its settings changed, and returns what differs from its outcome.
fn differences(name: &str, change: impl Fn(&str) -> String) -> Vec<FigureDifference> {
    let text = fs::read_to_string(folder().join(format!("{name}.jsonl"))).unwrap();
    let bounds = fs::read_to_string(folder().join(format!("{name}.outcome.json"))).unwrap();
    let bounds: Vec<FigureBound> = serde_json::from_str(&bounds).unwrap();
    let figures = replay(name, &change(&text)).unwrap();
    println!("{name}: {figures:?}");
    compare(&figures, &bounds)
}

/// Breaks one rule in a trace's header.
fn breaking(rule: &str) -> impl Fn(&str) -> String {
    let control = format!(r#""settings": {{"control": {{"broken": "{rule}"}}, "#);
    move |text| text.replacen(r#""settings": {"#, &control, 1)
}

#[gtest]
fn replay_every_trace_keeps_outcome() {
    let mut names: Vec<String> = fs::read_dir(folder())
        .unwrap()
        .filter_map(|entry| entry.unwrap().file_name().into_string().ok())
        .filter_map(|name| name.strip_suffix(".jsonl").map(str::to_owned))
        .collect();
    names.sort();
    expect_that!(names.len(), ge(9));
    for name in names {
        expect_that!(differences(&name, str::to_owned), is_empty(), "{name}");
    }
}

/// Replays a trace with a rule broken and returns the figures that show it.
fn broken_figures(name: &str, rule: &str) -> Vec<String> {
    let found = differences(name, breaking(rule));
    found
        .iter()
        .map(|found| found.bound.figure.to_string())
        .collect()
}

#[gtest]
fn replay_units_taken_without_release_shows() {
    let figures = broken_figures("two_zones_out_in_a_row", "wait_for_owner");
    expect_that!(figures, contains(eq("units_with_two_owners")));
}

#[gtest]
fn replay_fences_reused_shows() {
    let figures = broken_figures("owner_lost", "grow_fences");
    expect_that!(figures, contains(eq("fences_not_grown")));
}

#[gtest]
fn replay_dead_owner_kept_shows() {
    let figures = broken_figures("owner_lost", "replace_dead");
    expect_that!(figures, contains(eq("changes_not_ended")));
}

#[gtest]
fn replay_move_to_dead_owner_kept_shows() {
    let figures = broken_figures("next_owner_lost_during_move", "retarget_moves");
    expect_that!(figures, contains(eq("granted_to_lost")));
}

#[gtest]
fn replay_zone_not_drained_shows() {
    let figures = broken_figures("two_zones_out_in_a_row", "drain_zones");
    expect_that!(figures, contains(eq("changes_not_ended")));
}

#[gtest]
fn replay_lower_term_over_higher_shows() {
    let figures = broken_figures("stale_controller_returns", "higher_term");
    expect_that!(figures, contains(eq("writes_over_higher_term")));
}

#[gtest]
fn replay_loads_not_looked_at_shows() {
    let figures = broken_figures("hottest_keys_change", "rebalance");
    expect_that!(figures, contains(eq("imbalance_over_limit")));
}
