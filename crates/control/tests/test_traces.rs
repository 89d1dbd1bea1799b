//! Replays every trace of the area against its outcome.

use googletest::prelude::*;
use jy_control::replay::replay;
use jy_testutils::traces::TraceFolder;

/// The traces of this area.
fn folder() -> TraceFolder {
    TraceFolder::new("control", replay)
}

/// Breaks one rule in a trace's header.
fn breaking(rule: &str) -> impl FnOnce(String) -> String {
    let control = format!(r#""settings": {{"control": {{"broken": "{rule}"}}, "#);
    move |text: String| text.replacen(r#""settings": {"#, &control, 1)
}

#[gtest]
fn replay_every_trace_keeps_outcome() {
    let names = folder().names();
    expect_that!(names.len(), ge(9));
    for name in names {
        expect_that!(
            folder().differences(&name, |text| text),
            is_empty(),
            "{name}"
        );
    }
}

/// Replays a trace with a rule broken and returns the figures that show it.
fn broken_figures(name: &str, rule: &str) -> Vec<String> {
    let found = folder().differences(name, breaking(rule));
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
