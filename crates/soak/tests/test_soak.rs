//! A short soak of real processes with a fixed seed.

use std::path::PathBuf;

use googletest::prelude::*;
use jy_soak::plan::draw;
use jy_soak::run::run;

/// Seed of the run in CI.
const CI_SEED: u64 = 1;
/// Length of the faults of the run in CI, in milliseconds.
const CI_LENGTH_MS: u64 = 6_000;

/// The agents' program, which the workspace's tests build beside this test.
///
/// # Panics
///
/// If this test's own program has no folder.
fn agent() -> PathBuf {
    let own = std::env::current_exe().expect("this test's program");
    let folder = own.ancestors().nth(2).expect("the folder of all programs");
    folder.join("jyedge")
}

#[gtest]
fn run_short_seed_keeps_promises() {
    let folder = std::env::temp_dir().join(format!("jysoak-ci-{}", std::process::id()));
    let agent = agent();
    let running = run(&agent, &folder, CI_SEED, CI_LENGTH_MS);
    let report = actix_rt::System::new()
        .block_on(running)
        .expect("the fleet starts");
    expect_that!(
        report.violations,
        elements_are![],
        "logs: {}",
        folder.display()
    );
    expect_that!(report.served, gt(0));
}

#[gtest]
fn draw_same_seed_same_faults() {
    expect_that!(draw(7, 10_000, 9), eq(&draw(7, 10_000, 9)));
    expect_that!(draw(7, 10_000, 9) == draw(8, 10_000, 9), eq(false));
    let are_healed = draw(7, 10_000, 9)
        .iter()
        .all(|event| event.until_ms <= 10_000);
    expect_that!(are_healed, eq(true));
}
