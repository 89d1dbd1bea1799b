//! `jybench lease-check`: checks the lease protocol with random schedules of faults.
//!
//! Other lease commands use its options and its runner of schedules as well.

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

const THREADS: u64 = 4;
const DEFAULT_SCHEDULES: u64 = 100_000;
/// A broken rule is checked with the number of schedules divided by this.
const BROKEN_RULE_DIVISOR: u64 = 100;
/// An isolated monitor, and a rule whose violation is rarely seen, are checked with the number of
/// schedules divided by this.
const ISOLATED_MONITOR_DIVISOR: u64 = 5;

/// Options of `lease-check`, `lease-faults` and `lease-cost`; the last runs rounds in place of schedules.
pub(crate) struct LeaseOptions {
    pub(crate) schedules: u64,
    pub(crate) seed: u64,
    pub(crate) out: Option<PathBuf>,
}

impl LeaseOptions {
    /// Parses the options.
    ///
    /// # Errors
    ///
    /// If an option is unknown, or its value is missing or, for a numeric option, not a number.
    pub(crate) fn parse(arguments: &[String], default_schedules: u64) -> Result<Self> {
        let mut options = Options::new();
        options.optopt("", "schedules", "number of schedules to run", "N");
        options.optopt("", "seed", "seed of the first schedule", "N");
        options.optopt("", "out", "also write the figures as JSON", "FILE");
        let matches = options.parse(arguments)?;
        Ok(Self {
            schedules: parse_number(&matches, "schedules", default_schedules)?,
            seed: parse_number(&matches, "seed", 1)?,
            out: matches.opt_str("out").map(PathBuf::from),
        })
    }
}

/// Returns the value of a numeric option, or `default` if the option is absent.
///
/// # Errors
///
/// If the option's value is not a number.
pub(crate) fn parse_number(matches: &Matches, name: &str, default: u64) -> Result<u64> {
    let number = matches.opt_get(name);
    let number = number.with_context(|| format!("--{name} must be a number"))?;
    Ok(number.unwrap_or(default))
}

/// Runs one schedule for each of `count` seeds from `first` on, in several threads, and sums the
/// outcomes.
///
/// # Panics
///
/// If a schedule panics.
pub(crate) fn run_seeds<F>(first: u64, count: u64, run: F) -> CheckOutcome
where
    F: Fn(u64) -> CheckOutcome + Sync,
{
    let run_every_nth = |thread: u64| {
        let seeds = (first..first + count).skip(thread as usize);
        let outcomes = seeds.step_by(THREADS as usize).map(&run);
        outcomes.fold(CheckOutcome::default(), CheckOutcome::merge)
    };
    thread::scope(|scope| {
        let run_every_nth = &run_every_nth;
        let spawn = |thread| scope.spawn(move || run_every_nth(thread));
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        let outcomes = threads
            .into_iter()
            .map(|thread| thread.join().expect("a schedule must not panic"));
        outcomes.fold(CheckOutcome::default(), CheckOutcome::merge)
    })
}

/// Runs `lease-check`: random schedules with every rule in force, and with each rule broken on purpose.
///
/// # Errors
///
/// If an option is unknown, or its value is missing or not a number.
pub fn check(arguments: &[String]) -> Result<FigureTable> {
    let options = LeaseOptions::parse(arguments, DEFAULT_SCHEDULES)?;
    let title = format!(
        "lease-check: {} schedules from seed {}",
        options.schedules, options.seed
    );
    let mut table = FigureTable::new(title, options.out);
    let run = |seed| run_random(&CheckSettings::mixed(seed), seed);
    let mixed = run_seeds(options.seed, options.schedules, run);
    table.rows.extend(check_rows("mixed faults", &mixed));
    let run = |seed| run_random(&CheckSettings::isolated_monitor(seed), seed);
    let isolated = run_seeds(
        options.seed,
        options.schedules.div_ceil(ISOLATED_MONITOR_DIVISOR),
        run,
    );
    table.rows.extend(check_rows("isolated monitor", &isolated));
    for rule in BrokenRule::ALL {
        let run = |seed| run_random(&CheckSettings::with_broken_rule(rule, seed), seed);
        let is_rare = rule == BrokenRule::WaitWithoutDrift;
        let divisor = if is_rare {
            ISOLATED_MONITOR_DIVISOR
        } else {
            BROKEN_RULE_DIVISOR
        };
        let count = options.schedules.div_ceil(divisor);
        let broken = run_seeds(options.seed, count, run);
        if let Some(seed) = broken.unsafe_seed {
            eprintln!("unsafe schedule with {rule:?} broken: seed {seed}");
        }
        let name = format!("unsafe of {count} with {rule:?} broken");
        let unsafe_schedules = broken.unsafe_schedules as f64;
        let row = FigureRow::new(name, unsafe_schedules, "schedules");
        table.rows.push(row.with_at_least(1.0));
    }
    Ok(table)
}

/// Returns the rows of a check with every rule in force.
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
        row(
            "lost agents without a verdict",
            outcome.undetected_losses,
            "agents",
        ),
        row(
            "verdicts on unharmed agents",
            outcome.false_verdicts,
            "verdicts",
        ),
    ]
}
