//! Replays the controller's traces and compares the figures with the recorded outcomes.

use googletest::prelude::*;
use jy_control::replay::replay;
use jy_testutils::traces::TraceDirectory;

/// Returns the traces of the controller.
fn traces() -> TraceDirectory {
    TraceDirectory::new("control", replay)
}

/// Returns an edit that switches off one rule in the header of a trace.
fn switch_off(rule: &str) -> impl FnOnce(String) -> String {
    let control = format!(r#""settings": {{"control": {{"broken": "{rule}"}}, "#);
    move |text: String| text.replacen(r#""settings": {"#, &control, 1)
}

#[gtest]
fn replay_every_trace_matches_outcome() {
    let names = traces().names();
    expect_that!(names.len(), ge(9));
    for name in names {
        expect_that!(
            traces().differences(&name, |text| text),
            is_empty(),
            "{name}"
        );
    }
}

/// Replays a trace with one rule switched off and returns the figures that differ from the outcome.
fn broken_figures(name: &str, rule: &str) -> Vec<String> {
    let differences = traces().differences(name, switch_off(rule));
    differences
        .iter()
        .map(|difference| difference.bound.figure.to_string())
        .collect()
}

#[gtest]
fn replay_without_wait_for_owner_gives_units_two_owners() {
    let figures = broken_figures("two_zones_out_in_a_row", "wait_for_owner");
    expect_that!(figures, contains(eq("units_with_two_owners")));
}

#[gtest]
fn replay_without_grow_fences_reuses_fences() {
    let figures = broken_figures("owner_lost", "grow_fences");
    expect_that!(figures, contains(eq("fences_not_grown")));
}

#[gtest]
fn replay_without_replace_dead_does_not_end_changes() {
    let figures = broken_figures("owner_lost", "replace_dead");
    expect_that!(figures, contains(eq("changes_not_ended")));
}

#[gtest]
fn replay_without_retarget_moves_grants_to_ended_agent() {
    let figures = broken_figures("next_owner_lost_during_move", "retarget_moves");
    expect_that!(figures, contains(eq("granted_to_lost")));
}

#[gtest]
fn replay_without_drain_zones_does_not_end_changes() {
    let figures = broken_figures("two_zones_out_in_a_row", "drain_zones");
    expect_that!(figures, contains(eq("changes_not_ended")));
}

#[gtest]
fn replay_without_higher_term_overwrites_higher_term() {
    let figures = broken_figures("stale_controller_returns", "higher_term");
    expect_that!(figures, contains(eq("writes_over_higher_term")));
}

#[gtest]
fn replay_without_rebalance_exceeds_imbalance_limit() {
    let figures = broken_figures("hottest_keys_change", "rebalance");
    expect_that!(figures, contains(eq("imbalance_over_limit")));
}
