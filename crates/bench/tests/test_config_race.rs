//! Runs a few seeded rounds of `jybench config-race`: no change may be reverted, repeated or
//! misreported, and the baseline in which the last writer wins must show reverted changes, so that the
//! check can fail.

use googletest::prelude::*;
use jy_bench::config_race;

#[gtest]
fn run_no_reverted_changes() -> Result<()> {
    let arguments = ["--seed", "7", "--rounds", "4"].map(str::to_owned);
    let table = config_race::run(&arguments).expect("config-race runs to its end");
    let violations: Vec<_> = table
        .rows
        .iter()
        .filter(|row| row.at_most.is_some())
        .collect();
    verify_that!(violations.len(), eq(5))?;
    verify_that!(
        violations.iter().map(|row| row.value).collect::<Vec<_>>(),
        each(eq(&0.0))
    )?;
    let baseline = table
        .rows
        .iter()
        .find(|row| row.name.starts_with("last writer wins: taken_back"));
    verify_that!(baseline.map(|row| row.value), some(gt(0.0)))
}
