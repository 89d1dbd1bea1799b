//! A seeded share of the random schedules of `jybench once`.

use googletest::prelude::*;
use jy_bench::once::check;
use jy_gate::replay::BrokenRule;

#[gtest]
fn check_finds_no_harm() {
    let counts = check(1, 10, None);
    expect_that!(counts.harm(), eq(0), "{counts:?}");
    expect_that!(counts.replays, gt(0));
    expect_that!(counts.moves, gt(0));
    expect_that!(counts.losses, gt(0));
}

#[gtest]
fn check_finds_broken_rules() {
    let rules = [
        BrokenRule::UnknownAsNotSent,
        BrokenRule::NoWindow,
        BrokenRule::NoHandover,
        BrokenRule::LossAsMove,
    ];
    for rule in rules {
        expect_that!(check(1, 3, Some(rule)).harm(), gt(0), "{rule:?}");
    }
}
