//! A short soak of agent processes with a fixed seed, and tests of the fault schedule.

use std::path::PathBuf;

use googletest::prelude::*;
use jy_soak::plan::draw;
use jy_soak::plan::draw_restores;
use jy_soak::run::run;

const CI_SEED: u64 = 1;
/// Time over which faults are injected.
const CI_DURATION_MS: u64 = 6_000;

/// Path of the agents' program, which a build of the workspace puts into the folder above the tests.
///
/// # Panics
///
/// If the path of the test program is not known or has no such folder.
fn agent_program() -> PathBuf {
    let test_program = std::env::current_exe().expect("the path of the test program is known");
    let folder = test_program
        .ancestors()
        .nth(2)
        .expect("the test program lies in a subfolder of the build folder");
    folder.join("jyedge")
}

#[gtest]
fn run_fixed_seed_without_violations() {
    let folder = std::env::temp_dir().join(format!("jysoak-ci-{}", std::process::id()));
    let agent_program = agent_program();
    let running = run(&agent_program, &folder, CI_SEED, CI_DURATION_MS, 0);
    let report = actix_rt::System::new()
        .block_on(running)
        .expect("the run can be set up and controlled");
    expect_that!(
        report.violations,
        elements_are![],
        "logs: {}",
        folder.display()
    );
    expect_that!(report.served, gt(0));
}

#[gtest]
fn draw_depends_on_seed_and_ends_in_time() {
    expect_that!(draw(7, 10_000, 9), eq(&draw(7, 10_000, 9)));
    expect_that!(draw(7, 10_000, 9) == draw(8, 10_000, 9), eq(false));
    let all_end_in_time = draw(7, 10_000, 9)
        .iter()
        .all(|event| event.until_ms <= 10_000);
    expect_that!(all_end_in_time, eq(true));
}

/// Guards against restores that end after the schedule, or that change the other faults of a seed.
#[gtest]
fn draw_restores_end_in_time() {
    let restores = draw_restores(7, 10_000, 3);
    expect_that!(restores.len(), eq(3));
    expect_that!(restores, eq(&draw_restores(7, 10_000, 3)));
    let all_end_in_time = restores.iter().all(|event| event.until_ms <= 10_000);
    expect_that!(all_end_in_time, eq(true));
}
