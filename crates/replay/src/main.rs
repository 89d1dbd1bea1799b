//! `jyreplay`: replays recorded traces and prints where they differ from the expected outcomes.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use getopts::Matches;
use getopts::Options;
use jy_kernel::trace::FigureBound;
use jy_replay::files;
use jy_replay::files::ReplayResult;

/// Exit code for an invalid command line or file.
const INVALID_INPUT_EXIT_CODE: u8 = 2;

/// Usage text, printed above the list of options.
const USAGE: &str = "usage: jyreplay [--outcome FILE] [--figures] TRACE|FOLDER...

Replays recorded traces and compares the results with the outcome file of each, TRACE.outcome.json.

exit: 0 all results are as stated, 1 a result differs, 2 a file or the command line is invalid
example: jyreplay traces";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("jyreplay: {error:#}");
            ExitCode::from(INVALID_INPUT_EXIT_CODE)
        }
    }
}

/// Declares the options of the command line.
fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "outcome",
        "outcome file, if a single trace is given",
        "FILE",
    );
    options.optflag("", "figures", "print all figures");
    options.optflag("h", "help", "print this help");
    options
}

/// Replays the traces given on the command line; returns false if a figure violates its bound.
///
/// # Errors
///
/// If the command line or a file is invalid, or a file can't be read.
fn run() -> Result<bool> {
    let options = options();
    let matches = options
        .parse(std::env::args().skip(1))
        .context("invalid command line; see jyreplay --help")?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(true);
    }
    let traces = requested_traces(&matches)?;
    let outcome = matches.opt_str("outcome").map(PathBuf::from);
    if outcome.is_some() && traces.len() > 1 {
        bail!(
            "--outcome requires a single trace, but {} were given",
            traces.len()
        );
    }
    let mut all_match = true;
    for trace in &traces {
        let result = files::replay(trace, outcome.as_deref())?;
        all_match &= result.differences.is_empty();
        print_result(&result, matches.opt_present("figures"));
    }
    Ok(all_match)
}

/// Lists the traces of all paths given on the command line.
///
/// # Errors
///
/// If no path is given, or a path can't be read or contains no trace.
fn requested_traces(matches: &Matches) -> Result<Vec<PathBuf>> {
    if matches.free.is_empty() {
        bail!("no trace given; see jyreplay --help");
    }
    let mut traces = Vec::new();
    for path in &matches.free {
        traces.extend(files::list_traces(Path::new(path))?);
    }
    Ok(traces)
}

/// Prints the result of one trace: its differences and, with `with_figures`, all figures.
fn print_result(result: &ReplayResult, with_figures: bool) {
    let verdict = if result.differences.is_empty() {
        "as stated"
    } else {
        "DIFFERS"
    };
    println!("{:<60} {verdict}", result.trace.display().to_string());
    if with_figures {
        for (name, value) in &result.figures {
            println!("  {name} = {value}");
        }
    }
    for difference in &result.differences {
        let found = difference
            .found
            .map_or_else(|| "missing".to_owned(), |found| found.to_string());
        println!(
            "  {}: stated {}, found {found}",
            difference.bound.figure,
            format_bound(&difference.bound)
        );
    }
}

/// Formats a bound, such as `at least 1 and at most 5`.
fn format_bound(bound: &FigureBound) -> String {
    let least = bound.at_least.map(|least| format!("at least {least}"));
    let most = bound.at_most.map(|most| format!("at most {most}"));
    [least, most]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()
        .join(" and ")
}
