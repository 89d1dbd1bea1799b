//! Replays the recorded trace of concurrent operators and checks it against its expected outcome.

use googletest::prelude::*;
use jy_ctl::replay;
use jy_kernel::trace;
use jy_kernel::trace::FigureBound;

const TRACE: &str = include_str!("../../../traces/config/race.jsonl");
const OUTCOME: &str = include_str!("../../../traces/config/race.outcome.json");

/// Replays the trace and returns the names of the figures that break their bounds.
///
/// `disabled_rule` is JSON text that is inserted into the settings to disable a safety rule, or empty.
///
/// # Panics
///
/// If the trace or its outcome cannot be parsed.
fn broken_figures(disabled_rule: &str) -> Vec<String> {
    let text = TRACE.replacen("\"agents\":3", &format!("\"agents\":3{disabled_rule}"), 1);
    let figures = replay::replay("race.jsonl", &text).expect("the trace is valid");
    let bounds: Vec<FigureBound> =
        serde_json::from_str(OUTCOME).expect("the outcome file is valid");
    let differences = trace::compare(&figures, &bounds);
    differences
        .iter()
        .map(|difference| difference.bound.figure.to_string())
        .collect()
}

#[gtest]
fn replay_all_rules_keeps_bounds() -> Result<()> {
    verify_that!(broken_figures(""), is_empty())
}

#[gtest]
fn replay_last_writer_wins_reverts_changes() -> Result<()> {
    let broken = broken_figures(",\"broken\":\"write_over_seen\"");
    verify_that!(broken, contains(eq("taken_back")))
}

#[gtest]
fn replay_copied_records_move_agents_back() -> Result<()> {
    let broken = broken_figures(",\"broken\":\"move_forward\"");
    verify_that!(broken, contains(eq("agents_back")))
}
