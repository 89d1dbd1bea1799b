//! Recorded traces against their stated outcomes, and with rules broken on purpose.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;
use jy_gate::replay::replay;
use jy_kernel::trace::FigureBound;
use jy_kernel::trace::compare;

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

/// The folder of this area's traces.
fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces/gate")
}

/// Replays a trace and returns what differs from its outcome.
fn differences(name: &str, broken: Option<&str>) -> Vec<String> {
    let read = |file: String| fs::read_to_string(folder().join(file)).unwrap_or_default();
    let mut text = read(format!("{name}.jsonl"));
    if let Some(rule) = broken {
        let setting = format!("\"settings\":{{\"broken\":\"{rule}\",");
        text = text.replacen("\"settings\":{", &setting, 1);
    }
    let outcome = read(format!("{name}.outcome.json"));
    let bounds: Vec<FigureBound> = serde_json::from_str(&outcome).unwrap_or_default();
    if bounds.is_empty() {
        return vec![format!("{name} has no outcome")];
    }
    match replay(name, &text) {
        Ok(figures) => compare(&figures, &bounds)
            .iter()
            .map(|found| format!("{name} {broken:?}: {found:?}"))
            .collect(),
        Err(error) => vec![error.to_string()],
    }
}

#[gtest]
fn replay_meets_outcome() {
    for (name, _) in TRACES {
        expect_that!(differences(name, None), is_empty());
    }
}

#[gtest]
fn replay_tells_broken_rule() {
    for (name, rules) in TRACES {
        for rule in *rules {
            let found = differences(name, Some(rule));
            let is_harm = |line: &String| HARMS.iter().any(|harm| line.contains(harm));
            expect_that!(
                found.iter().any(is_harm),
                eq(true),
                "{name} {rule}: {found:?}"
            );
        }
    }
}

#[gtest]
fn folder_holds_listed_traces_only() {
    let entries = fs::read_dir(folder()).into_iter().flatten().flatten();
    let names = entries.map(|entry| entry.file_name().to_string_lossy().into_owned());
    let mut found: Vec<String> = names
        .filter_map(|name| name.strip_suffix(".jsonl").map(str::to_owned))
        .collect();
    found.sort();
    let mut listed: Vec<String> = TRACES.iter().map(|(name, _)| (*name).to_owned()).collect();
    listed.sort();
    expect_that!(found, eq(&listed));
}

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
