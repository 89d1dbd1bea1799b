//! Exhaustive search of small instances of the lease protocol.

use std::path::PathBuf;

use anyhow::Result;
use getopts::Options;
use jy_lease::rule::BrokenRule;
use jy_testutils::lease_check::exhaustive::SearchCase;
use jy_testutils::lease_check::exhaustive::SearchOutcome;
use jy_testutils::lease_check::exhaustive::search;

use crate::lease::number_of;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// `lease-exhaustive`: every course of small instances, and rules broken on purpose.
///
/// # Errors
///
/// If the arguments are wrong.
pub fn exhaustive(arguments: &[String]) -> Result<FigureTable> {
    let mut options = Options::new();
    options.optopt("", "moves", "longest course", "N");
    options.optopt("", "seed", "taken and unused: nothing is drawn", "N");
    options.optopt("", "out", "also write the figures as JSON", "FILE");
    let matches = options.parse(arguments)?;
    let moves = number_of(&matches, "moves", SEARCH_MOVES)?;
    let title = format!("lease-exhaustive: all courses of up to {moves} moves");
    let mut table = FigureTable::new(title, matches.opt_str("out").map(PathBuf::from));
    for case in SearchCase::ALL {
        let outcome = search(case, moves as usize, None);
        table
            .rows
            .extend(search_rows(&format!("{case:?}"), outcome, true));
    }
    for (case, rule) in SEARCHED_RULES {
        let outcome = search(case, moves as usize, Some(rule));
        let name = format!("{case:?} with {rule:?} broken");
        table.rows.extend(search_rows(&name, outcome, false));
    }
    Ok(table)
}

/// Longest course of the exhaustive search unless told otherwise.
const SEARCH_MOVES: u64 = 11;

/// Rules that the exhaustive search breaks, each with the case that it shows in.
const SEARCHED_RULES: [(SearchCase, BrokenRule); 7] = [
    (SearchCase::FixedSet, BrokenRule::RenewAfterVote),
    (SearchCase::FixedSet, BrokenRule::ShortPromise),
    (SearchCase::FixedSet, BrokenRule::SupportFromReply),
    (SearchCase::ChangedSet, BrokenRule::NoJointSet),
    (SearchCase::LateChange, BrokenRule::ChangeAfterVerdict),
    (SearchCase::LateDeath, BrokenRule::SupportWithoutLease),
    (SearchCase::DeadMonitor, BrokenRule::WaitWithoutGrace),
];

/// Rows of one search.
fn search_rows(name: &str, outcome: SearchOutcome, is_whole: bool) -> Vec<FigureRow> {
    let row = |what: &str, value: u64| {
        let name = format!("{name}: {what}");
        FigureRow::new(name, value as f64, "states")
    };
    let found = row("unsafe", outcome.unsafe_states);
    let found = if is_whole {
        found.with_at_most(0.0)
    } else {
        found.with_at_least(1.0)
    };
    vec![
        row("states", outcome.states),
        row("after a verdict", outcome.verdicts).with_at_least(1.0),
        found,
    ]
}
