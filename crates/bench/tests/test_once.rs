//! Runs a few seeded schedules of `jybench once`: none may violate a rule, and each broken rule must be
//! detected.

use googletest::prelude::*;
use jy_bench::once::check;
use jy_gate::replay::BrokenRule;

#[gtest]
fn check_all_rules_kept() {
    let counts = check(1, 10, None);
    expect_that!(counts.violations(), eq(0), "{counts:?}");
    expect_that!(counts.replays, gt(0));
    expect_that!(counts.moves, gt(0));
    expect_that!(counts.losses, gt(0));
}

#[gtest]
fn check_broken_rules() {
    let rules = [
        BrokenRule::UnknownAsNotSent,
        BrokenRule::NoWindow,
        BrokenRule::NoHandover,
        BrokenRule::LossAsMove,
    ];
    for rule in rules {
        expect_that!(check(1, 3, Some(rule)).violations(), gt(0), "{rule:?}");
    }
}
