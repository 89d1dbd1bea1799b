//! Recorded races of operators against their stated outcomes.

use googletest::prelude::*;
use jy_ctl::replay;
use jy_kernel::trace;
use jy_kernel::trace::FigureBound;

const RACE: &str = include_str!("../../../traces/config/race.jsonl");
const OUTCOME: &str = include_str!("../../../traces/config/race.outcome.json");

/// Replays the race with a rule switched off, or none, and returns the figures that break.
///
/// # Panics
///
/// If the trace or its outcome is not understood.
fn broken_figures(rule: &str) -> Vec<String> {
    let text = RACE.replacen("\"agents\":3", &format!("\"agents\":3{rule}"), 1);
    let figures = replay::replay("race.jsonl", &text).expect("a trace");
    let bounds: Vec<FigureBound> = serde_json::from_str(OUTCOME).expect("bounds");
    let differences = trace::compare(&figures, &bounds);
    differences
        .iter()
        .map(|difference| difference.bound.figure.to_string())
        .collect()
}

#[gtest]
fn replay_race_keeps_outcome() -> Result<()> {
    verify_that!(broken_figures(""), is_empty())
}

#[gtest]
fn replay_race_last_writer_wins_breaks_outcome() -> Result<()> {
    let broken = broken_figures(",\"broken\":\"write_over_seen\"");
    verify_that!(broken, contains(eq("taken_back")))
}

#[gtest]
fn replay_race_copied_records_break_outcome() -> Result<()> {
    let broken = broken_figures(",\"broken\":\"move_forward\"");
    verify_that!(broken, contains(eq("agents_back")))
}
