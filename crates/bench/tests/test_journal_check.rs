//! Tests that the check of backend servers' journals finds overlaps, stale runs and double runs, and reports
//! nothing for a correct takeover.

use googletest::prelude::*;
use jy_bench::journal_check;
use jy_bench::journal_check::ServerRun;
use jy_standins::journal::RunEntry;
use jy_standins::journal::RunOutcome;
use jy_types::name::Name;
use jy_types::time::Millis;

/// Creates a run of unit `slice:1`.
fn run(server: &str, fence: u64, start: u64, end: u64, id: Option<&str>) -> (Name, ServerRun) {
    let run = RunEntry {
        request_id: None,
        idempotency_key: id.map(Name::from),
        unit: Some("slice:1".into()),
        key: None,
        fence,
        path: "/".into(),
        start: Millis(start),
        end: Millis(end),
        how: RunOutcome::Done,
    };
    let server = server.into();
    ("workspace/service".into(), ServerRun { server, run })
}

#[gtest]
fn check_finds_overlap_of_two_servers() {
    let runs = [run("a", 1, 0, 10, None), run("b", 2, 9, 20, None)];
    let findings = journal_check::check(&runs);
    assert_that!(findings.overlaps.len(), eq(1));
    assert_that!(findings.runs_with_unit, eq(2));
}

#[gtest]
fn check_finds_overlap_with_a_run_longer_than_its_successor() {
    let runs = [
        run("a", 1, 0, 100, None),
        run("a", 1, 1, 2, None),
        run("b", 2, 50, 51, None),
    ];
    assert_that!(journal_check::check(&runs).overlaps.len(), eq(1));
}

#[gtest]
fn check_accepts_takeover_and_concurrent_runs_on_one_server() {
    let runs = [
        run("a", 1, 0, 10, None),
        run("a", 1, 5, 12, None),
        run("b", 2, 12, 20, None),
    ];
    let findings = journal_check::check(&runs);
    assert_that!(findings.overlaps.len(), eq(0));
    assert_that!(findings.stale_runs.len(), eq(0));
}

#[gtest]
fn check_finds_run_under_a_lower_fence() {
    let runs = [run("b", 2, 0, 10, None), run("a", 1, 11, 12, None)];
    assert_that!(journal_check::check(&runs).stale_runs.len(), eq(1));
}

#[gtest]
fn check_finds_double_run_of_an_id() {
    let runs = [
        run("a", 1, 0, 10, Some("id")),
        run("b", 2, 20, 30, Some("id")),
        run("b", 2, 40, 50, Some("other")),
    ];
    let doubles = journal_check::check(&runs).double_runs;
    assert_that!(doubles, eq(&vec![(Name::from("id"), 2)]));
}
