//! A seeded share of the races of operators, and that the check can fail.

use googletest::prelude::*;
use jy_bench::config_race;

#[gtest]
fn run_seeded_share_takes_nothing_back() -> Result<()> {
    let arguments = ["--seed", "7", "--rounds", "4"].map(str::to_owned);
    let table = config_race::run(&arguments).expect("it runs");
    let bounded: Vec<_> = table
        .rows
        .iter()
        .filter(|row| row.at_most.is_some())
        .collect();
    verify_that!(bounded.len(), eq(5))?;
    verify_that!(
        bounded.iter().map(|row| row.value).collect::<Vec<_>>(),
        each(eq(&0.0))
    )?;
    let baseline = table
        .rows
        .iter()
        .find(|row| row.name.starts_with("last writer wins: taken_back"));
    verify_that!(baseline.map(|row| row.value), some(gt(0.0)))
}
