//! Replays every recorded trace of the leases, and some with a rule broken.

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use jy_kernel::trace::FigureBound;
use jy_kernel::trace::FigureDifference;
use jy_kernel::trace::compare;
use jy_lease::replay::replay;
use jy_lease::rule::BrokenRule;

/// Traces that a broken rule makes unsafe.
const BROKEN: [(&str, BrokenRule); 7] = [
    ("freeze_and_return", BrokenRule::RenewAfterVote),
    ("cut_with_drift", BrokenRule::ShortPromise),
    ("late_answers", BrokenRule::SupportFromReply),
    ("monitors_changed", BrokenRule::NoJointSet),
    ("dead_monitor", BrokenRule::SupportWithoutLease),
    ("dead_monitor", BrokenRule::WaitWithoutGrace),
    ("left_monitor", BrokenRule::LeftCounted),
];

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces/lease")
}

/// Replays a trace under a rule and returns what differs from its outcome.
///
/// # Errors
///
/// If a file is missing or malformed.
fn differences(name: &str, rule: Option<BrokenRule>) -> Result<Vec<FigureDifference>> {
    let trace = fs::read_to_string(folder().join(format!("{name}.jsonl")))?;
    let outcome = fs::read_to_string(folder().join(format!("{name}.outcome.json")))?;
    let bounds: Vec<FigureBound> = serde_json::from_str(&outcome)?;
    let rule = serde_json::to_string(&rule)?;
    let trace = trace.replacen("\"broken\":null", &format!("\"broken\":{rule}"), 1);
    Ok(compare(&replay(name, &trace)?, &bounds))
}

#[gtest]
fn replay_every_trace_as_stated() -> Result<()> {
    let mut count = 0;
    for entry in fs::read_dir(folder())? {
        let path = entry?.path();
        if path.extension().is_some_and(|kind| kind == "jsonl") {
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            expect_that!(differences(&name, None)?, is_empty(), "{name}");
            count += 1;
        }
    }
    verify_that!(count, ge(10))
}

#[gtest]
fn replay_broken_rule_breaks_outcome() -> Result<()> {
    for (name, rule) in BROKEN {
        let unsafe_found = differences(name, Some(rule))?
            .iter()
            .any(|difference| &*difference.bound.figure == "admitted_after_verdict");
        expect_that!(unsafe_found, eq(true), "{name} with {rule:?} broken");
    }
    Ok(())
}
