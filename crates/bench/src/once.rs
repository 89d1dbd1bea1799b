//! `jybench once`: random schedules of repeats, moves, losses and broken connections, each checked
//! for double runs, false refusals, foreign answers and overlapping owners.

use anyhow::Result;
use jy_gate::replay::BrokenRule;

use crate::args;
use crate::once_model::OnceModel;
use crate::once_model::ViolationCounts;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Schedules checked where the command line gives no number.
const SCHEDULES: u32 = 2_000;

/// Schedules to show that a broken rule is found.
const BROKEN_SCHEDULES: u32 = 200;

/// Rules whose breach random schedules must find.
pub const FOUND: [BrokenRule; 6] = [
    BrokenRule::UnknownAsNotSent,
    BrokenRule::NoWindow,
    BrokenRule::NoHandover,
    BrokenRule::LossAsMove,
    BrokenRule::NoClockError,
    BrokenRule::NoLease,
];

/// Checks many schedules; `--rounds` sets how many.
///
/// # Errors
///
/// If the arguments are not understood.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, SCHEDULES)?;
    let title = format!(
        "at most once, {} schedules from seed {}",
        args.rounds, args.seed
    );
    let mut table = FigureTable::new(title, args.out);
    let whole = check(args.seed, args.rounds, None);
    let row = |name: &str, value: u64, unit| FigureRow::new(name, value as f64, unit);
    table.rows.push(row("requests", whole.requests, "requests"));
    table
        .rows
        .push(row("runs", whole.runs, "runs").with_at_least(1.0));
    table.rows.push(
        row(
            "answers to repeats from the window",
            whole.replays,
            "requests",
        )
        .with_at_least(1.0),
    );
    table
        .rows
        .push(row("planned moves", whole.moves, "units").with_at_least(1.0));
    table
        .rows
        .push(row("losses", whole.losses, "agents").with_at_least(1.0));
    let unknown = 100.0 * whole.unknown as f64 / whole.requests.max(1) as f64;
    table
        .rows
        .push(FigureRow::new("answered as outcome unknown", unknown, "%"));
    table
        .rows
        .push(row("double runs", whole.double_runs, "ids").with_at_most(0.0));
    table.rows.push(
        row(
            "not run with a run behind it",
            whole.false_not_run,
            "requests",
        )
        .with_at_most(0.0),
    );
    table
        .rows
        .push(row("foreign answers", whole.foreign_answers, "requests").with_at_most(0.0));
    table
        .rows
        .push(row("runs of one unit under two owners", whole.overlaps, "runs").with_at_most(0.0));
    for rule in FOUND {
        let harm = check(args.seed, BROKEN_SCHEDULES, Some(rule)).harm();
        let name = format!("broken on purpose: {rule:?}: harm found");
        table
            .rows
            .push(FigureRow::new(name, harm as f64, "cases").with_at_least(1.0));
    }
    Ok(table)
}

/// Checks schedules and adds their counts up.
#[must_use]
pub fn check(seed: u64, schedules: u32, broken: Option<BrokenRule>) -> ViolationCounts {
    let mut total = ViolationCounts::default();
    for number in 0..u64::from(schedules) {
        total.add(&OnceModel::run(
            seed.wrapping_mul(1_000_003) + number,
            broken,
        ));
    }
    total
}
