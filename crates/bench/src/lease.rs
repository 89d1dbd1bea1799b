//! Checks and figures of the lease protocol.

use std::path::PathBuf;
use std::thread;

use anyhow::Context;
use anyhow::Result;
use getopts::Matches;
use getopts::Options;
use jy_lease::rule::BrokenRule;
use jy_testutils::lease_check::outcome::CheckOutcome;
use jy_testutils::lease_check::settings::CheckSettings;
use jy_testutils::lease_check::world::run_random;

use crate::report::FigureRow;
use crate::report::FigureTable;

/// Threads that schedules are spread over.
const THREADS: u64 = 4;
/// Schedules of a check unless told otherwise.
const SCHEDULES: u64 = 100_000;
/// Schedules for each broken rule, as a share of all.
const BROKEN_SHARE: u64 = 100;
/// Schedules with an isolated monitor, as a share of all.
const ISOLATED_SHARE: u64 = 5;

/// Options that every lease command takes.
pub(crate) struct LeaseOptions {
    pub(crate) schedules: u64,
    pub(crate) seed: u64,
    pub(crate) out: Option<PathBuf>,
}

impl LeaseOptions {
    /// Reads the options.
    ///
    /// # Errors
    ///
    /// If an option is unknown or not a number.
    pub(crate) fn new(arguments: &[String], schedules: u64) -> Result<Self> {
        let mut options = Options::new();
        options.optopt("", "schedules", "schedules to run", "N");
        options.optopt("", "seed", "seed of the first schedule", "N");
        options.optopt("", "out", "also write the figures as JSON", "FILE");
        let matches = options.parse(arguments)?;
        Ok(Self {
            schedules: number_of(&matches, "schedules", schedules)?,
            seed: number_of(&matches, "seed", 1)?,
            out: matches.opt_str("out").map(PathBuf::from),
        })
    }
}

/// Reads a number.
///
/// # Errors
///
/// If the option's value is not a number.
pub(crate) fn number_of(matches: &Matches, name: &str, usual: u64) -> Result<u64> {
    let number = matches.opt_get(name);
    let number = number.with_context(|| format!("--{name} must be a number"))?;
    Ok(number.unwrap_or(usual))
}

/// Runs a schedule for each seed and adds the outcomes up.
///
/// # Panics
///
/// If a schedule does.
pub(crate) fn run_seeds<F>(first: u64, count: u64, run: F) -> CheckOutcome
where
    F: Fn(u64) -> CheckOutcome + Sync,
{
    let share = |thread: u64| {
        let seeds = (first..first + count).skip(thread as usize);
        let outcomes = seeds.step_by(THREADS as usize).map(&run);
        outcomes.fold(CheckOutcome::default(), CheckOutcome::with)
    };
    thread::scope(|scope| {
        let share = &share;
        let spawn = |thread| scope.spawn(move || share(thread));
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        let outcomes = threads
            .into_iter()
            .map(|thread| thread.join().expect("a schedule must not panic"));
        outcomes.fold(CheckOutcome::default(), CheckOutcome::with)
    })
}

/// `lease-check`: random schedules, and each rule broken on purpose.
///
/// # Errors
///
/// If the arguments are wrong.
pub fn check(arguments: &[String]) -> Result<FigureTable> {
    let options = LeaseOptions::new(arguments, SCHEDULES)?;
    let title = format!(
        "lease-check: {} schedules from seed {}",
        options.schedules, options.seed
    );
    let mut table = FigureTable::new(title, options.out);
    let run = |seed| run_random(&CheckSettings::mixed(seed), seed);
    let outcome = run_seeds(options.seed, options.schedules, run);
    table.rows.extend(check_rows("mixed faults", &outcome));
    let run = |seed| run_random(&CheckSettings::isolating(seed), seed);
    let isolated = run_seeds(
        options.seed,
        options.schedules.div_ceil(ISOLATED_SHARE),
        run,
    );
    table.rows.extend(check_rows("isolated monitor", &isolated));
    for rule in BrokenRule::ALL {
        let run = |seed| run_random(&CheckSettings::provoking(rule, seed), seed);
        let is_rare = rule == BrokenRule::WaitWithoutDrift;
        let share = if is_rare {
            ISOLATED_SHARE
        } else {
            BROKEN_SHARE
        };
        let count = options.schedules.div_ceil(share);
        let broken = run_seeds(options.seed, count, run);
        if let Some(seed) = broken.unsafe_seed {
            eprintln!("{rule:?} broken: an unsafe schedule: seed {seed}");
        }
        let name = format!("unsafe of {count} with {rule:?} broken");
        let figure = broken.unsafe_schedules as f64;
        let row = FigureRow::new(name, figure, "schedules");
        table.rows.push(row.with_at_least(1.0));
    }
    Ok(table)
}

/// Rows of a check with every rule in force.
fn check_rows(kind: &str, outcome: &CheckOutcome) -> Vec<FigureRow> {
    if let Some(seed) = outcome.unsafe_seed {
        eprintln!("{kind}: first unsafe schedule: seed {seed}");
    }
    let row = |name: &str, value: u64, unit| {
        let name = format!("{kind}: {name}");
        FigureRow::new(name, value as f64, unit)
    };
    vec![
        row("schedules", outcome.schedules, "schedules"),
        row("unsafe", outcome.unsafe_schedules, "schedules").with_at_most(0.0),
        row("verdicts", outcome.verdicts, "verdicts").with_at_least(1.0),
        row("changes of monitors", outcome.promotions, "changes"),
        row("lost agents without a verdict", outcome.missed, "agents"),
        row(
            "verdicts on unharmed agents",
            outcome.false_verdicts,
            "verdicts",
        ),
    ]
}
