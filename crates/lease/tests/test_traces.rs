//! Replays every recorded trace of the leases, and some with a rule broken.

use googletest::prelude::*;
use jy_lease::replay::replay;
use jy_lease::rule::BrokenRule;
use jy_testutils::traces::TraceFolder;

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

/// The traces of this area.
fn folder() -> TraceFolder {
    TraceFolder::new("lease", replay)
}

#[gtest]
fn replay_every_trace_as_stated() {
    let names = folder().names();
    for name in &names {
        let found = folder().differences(name, |text| text);
        expect_that!(found, is_empty(), "{name}");
    }
    expect_that!(names.len(), ge(10));
}

#[gtest]
fn replay_broken_rule_breaks_outcome() -> Result<()> {
    for (name, rule) in BROKEN {
        let broken = format!("\"broken\":{}", serde_json::to_string(&rule)?);
        let unsafe_found = folder()
            .differences(name, |text| text.replacen("\"broken\":null", &broken, 1))
            .iter()
            .any(|difference| &*difference.bound.figure == "admitted_after_verdict");
        expect_that!(unsafe_found, eq(true), "{name} with {rule:?} broken");
    }
    Ok(())
}
