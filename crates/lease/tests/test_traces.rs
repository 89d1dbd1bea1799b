//! Replays every recorded trace of the lease protocol, and some traces again with a rule broken.

use googletest::prelude::*;
use jy_lease::replay::replay;
use jy_lease::rule::BrokenRule;
use jy_testutils::traces::TraceDirectory;

/// Traces whose replay admits requests after the verdict when the rule is broken.
const UNSAFE_WITH_RULE_BROKEN: [(&str, BrokenRule); 7] = [
    ("freeze_and_return", BrokenRule::RenewAfterVote),
    ("cut_with_drift", BrokenRule::ShortPromise),
    ("late_answers", BrokenRule::SupportFromReply),
    ("monitors_changed", BrokenRule::NoJointSet),
    ("dead_monitor", BrokenRule::SupportWithoutLease),
    ("dead_monitor", BrokenRule::WaitWithoutGrace),
    ("left_monitor", BrokenRule::LeftCounted),
];

fn lease_traces() -> TraceDirectory {
    TraceDirectory::new("lease", replay)
}

#[gtest]
fn replay_recorded_traces_match_bounds() {
    let names = lease_traces().names();
    for name in &names {
        let broken_bounds = lease_traces().differences(name, |text| text);
        expect_that!(broken_bounds, is_empty(), "{name}");
    }
    expect_that!(names.len(), ge(10));
}

#[gtest]
fn replay_broken_rule_admits_after_verdict() -> Result<()> {
    for (name, rule) in UNSAFE_WITH_RULE_BROKEN {
        let broken = format!("\"broken\":{}", serde_json::to_string(&rule)?);
        let is_unsafe = lease_traces()
            .differences(name, |text| text.replacen("\"broken\":null", &broken, 1))
            .iter()
            .any(|difference| &*difference.bound.figure == "admitted_after_verdict");
        expect_that!(is_unsafe, eq(true), "{name} with {rule:?} broken");
    }
    Ok(())
}
