//! `jybench lease-exhaustive`: searches all states that small cases of the lease protocol reach within a
//! number of moves.

use std::path::PathBuf;

use anyhow::Result;
use getopts::Options;
use jy_lease::rule::BrokenRule;
use jy_testutils::lease_check::exhaustive::SearchCase;
use jy_testutils::lease_check::exhaustive::SearchOutcome;
use jy_testutils::lease_check::exhaustive::search;

use crate::lease::parse_number;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Runs `lease-exhaustive`: visits every sequence of moves of the small cases with all rules in force, and
/// of some cases with a rule broken on purpose.
///
/// # Errors
///
/// If an option is unknown, or its value is missing or not a number.
pub fn exhaustive(arguments: &[String]) -> Result<FigureTable> {
    let mut options = Options::new();
    options.optopt("", "moves", "maximum number of moves in a sequence", "N");
    options.optopt(
        "",
        "seed",
        "accepted but ignored: the search is not random",
        "N",
    );
    options.optopt("", "out", "also write the figures as JSON", "FILE");
    let matches = options.parse(arguments)?;
    let moves = parse_number(&matches, "moves", DEFAULT_MOVES)?;
    let title = format!("lease-exhaustive: all courses of up to {moves} moves");
    let mut table = FigureTable::new(title, matches.opt_str("out").map(PathBuf::from));
    for case in SearchCase::ALL {
        let outcome = search(case, moves as usize, None);
        table
            .rows
            .extend(search_rows(&format!("{case:?}"), outcome, true));
    }
    for (case, rule) in BROKEN_RULE_CASES {
        let outcome = search(case, moves as usize, Some(rule));
        let name = format!("{case:?} with {rule:?} broken");
        table.rows.extend(search_rows(&name, outcome, false));
    }
    Ok(table)
}

/// Longest sequence of moves if the arguments give none.
const DEFAULT_MOVES: u64 = 11;

/// Rules that the search breaks, each with the case in which that leads to an unsafe state.
const BROKEN_RULE_CASES: [(SearchCase, BrokenRule); 7] = [
    (SearchCase::FixedSet, BrokenRule::RenewAfterVote),
    (SearchCase::FixedSet, BrokenRule::ShortPromise),
    (SearchCase::FixedSet, BrokenRule::SupportFromReply),
    (SearchCase::ChangedSet, BrokenRule::NoJointSet),
    (SearchCase::LateChange, BrokenRule::ChangeAfterVerdict),
    (SearchCase::LateDeath, BrokenRule::SupportWithoutLease),
    (SearchCase::DeadMonitor, BrokenRule::WaitWithoutGrace),
];

/// Returns the rows of one search. Unsafe states must be absent if all rules are in force, and present if
/// one is broken.
fn search_rows(name: &str, outcome: SearchOutcome, all_rules_hold: bool) -> Vec<FigureRow> {
    let row = |what: &str, value: u64| {
        let name = format!("{name}: {what}");
        FigureRow::new(name, value as f64, "states")
    };
    let unsafe_row = row("unsafe", outcome.unsafe_states);
    let unsafe_row = if all_rules_hold {
        unsafe_row.with_at_most(0.0)
    } else {
        unsafe_row.with_at_least(1.0)
    };
    vec![
        row("states", outcome.states),
        row("after a verdict", outcome.verdicts).with_at_least(1.0),
        unsafe_row,
    ]
}
