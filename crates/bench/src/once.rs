//! `jybench once`: runs random schedules of repeated requests, planned moves, agent losses and broken
//! connections, and checks each for double runs, false refusals, foreign answers and overlapping owners.

use anyhow::Result;
use jy_gate::replay::BrokenRule;

use crate::args;
use crate::once_model::OnceModel;
use crate::once_model::ViolationCounts;
use crate::report::FigureRow;
use crate::report::FigureTable;

const DEFAULT_SCHEDULES: u32 = 2_000;

const SCHEDULES_PER_BROKEN_RULE: u32 = 200;

/// Rules whose violation the random schedules must detect.
pub const DETECTED_RULES: [BrokenRule; 6] = [
    BrokenRule::UnknownAsNotSent,
    BrokenRule::NoWindow,
    BrokenRule::NoHandover,
    BrokenRule::LossAsMove,
    BrokenRule::NoClockError,
    BrokenRule::NoLease,
];

/// Checks random schedules and tabulates their counts; `--rounds` sets how many are run.
///
/// # Errors
///
/// If the arguments cannot be parsed.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, DEFAULT_SCHEDULES)?;
    let title = format!(
        "at most once, {} schedules from seed {}",
        args.rounds, args.seed
    );
    let mut table = FigureTable::new(title, args.out);
    let counts = check(args.seed, args.rounds, None);
    let row = |name: &str, value: u64, unit| FigureRow::new(name, value as f64, unit);
    table
        .rows
        .push(row("requests", counts.requests, "requests"));
    table
        .rows
        .push(row("runs", counts.runs, "runs").with_at_least(1.0));
    table.rows.push(
        row(
            "answers to repeats from the window",
            counts.replays,
            "requests",
        )
        .with_at_least(1.0),
    );
    table
        .rows
        .push(row("planned moves", counts.moves, "units").with_at_least(1.0));
    table
        .rows
        .push(row("losses", counts.losses, "agents").with_at_least(1.0));
    let unknown_percent = 100.0 * counts.unknown as f64 / counts.requests.max(1) as f64;
    table.rows.push(FigureRow::new(
        "answered as outcome unknown",
        unknown_percent,
        "%",
    ));
    table
        .rows
        .push(row("double runs", counts.double_runs, "ids").with_at_most(0.0));
    table.rows.push(
        row(
            "not run with a run behind it",
            counts.false_not_run,
            "requests",
        )
        .with_at_most(0.0),
    );
    table
        .rows
        .push(row("foreign answers", counts.foreign_answers, "requests").with_at_most(0.0));
    table
        .rows
        .push(row("runs of one unit under two owners", counts.overlaps, "runs").with_at_most(0.0));
    for rule in DETECTED_RULES {
        let violations = check(args.seed, SCHEDULES_PER_BROKEN_RULE, Some(rule)).violations();
        let name = format!("broken on purpose: {rule:?}: harm found");
        table
            .rows
            .push(FigureRow::new(name, violations as f64, "cases").with_at_least(1.0));
    }
    Ok(table)
}

/// Runs consecutive schedules, optionally with one rule broken, and sums their counts.
#[must_use]
pub fn check(seed: u64, schedules: u32, broken: Option<BrokenRule>) -> ViolationCounts {
    let mut total = ViolationCounts::default();
    for index in 0..u64::from(schedules) {
        total.add(&OnceModel::run(
            seed.wrapping_mul(1_000_003) + index,
            broken,
        ));
    }
    total
}
