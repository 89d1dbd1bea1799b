//! `jyreplay`: replays recorded traces against stated outcomes and says what differs.

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

/// Exit code if the command line or a file is wrong.
const USAGE_EXIT: u8 = 2;

/// First lines of the help text.
const USAGE: &str = "usage: jyreplay [--outcome FILE] [--figures] TRACE|FOLDER...

Replays recorded traces against their stated outcomes (TRACE.outcome.json beside each).

exit: 0 as stated, 1 something differs, 2 a file or the command line is wrong
example: jyreplay traces";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("jyreplay: {error:#}");
            ExitCode::from(USAGE_EXIT)
        }
    }
}

/// Options of the command line.
fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "outcome", "outcome file of a single trace", "FILE");
    options.optflag("", "figures", "print every figure");
    options.optflag("h", "help", "print this help");
    options
}

/// Replays what the command line names; false if something differs.
///
/// # Errors
///
/// What is wrong with the command line or a file.
fn run() -> Result<bool> {
    let options = options();
    let matches = options
        .parse(std::env::args().skip(1))
        .context("see jyreplay --help")?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(true);
    }
    let traces = named_traces(&matches)?;
    let outcome = matches.opt_str("outcome").map(PathBuf::from);
    if outcome.is_some() && traces.len() > 1 {
        bail!(
            "--outcome goes with a single trace; {} are named",
            traces.len()
        );
    }
    let mut same = true;
    for trace in &traces {
        let result = files::replay(trace, outcome.as_deref())?;
        same &= result.differences.is_empty();
        print_result(&result, matches.opt_present("figures"));
    }
    Ok(same)
}

/// Lists the traces that the command line names.
///
/// # Errors
///
/// If none is named or a path can't be read.
fn named_traces(matches: &Matches) -> Result<Vec<PathBuf>> {
    if matches.free.is_empty() {
        bail!("no trace is named; see jyreplay --help");
    }
    let mut traces = Vec::new();
    for path in &matches.free {
        traces.extend(files::list(Path::new(path))?);
    }
    Ok(traces)
}

/// Prints one trace's result.
fn print_result(result: &ReplayResult, all: bool) {
    let verdict = if result.differences.is_empty() {
        "as stated"
    } else {
        "DIFFERS"
    };
    println!("{:<60} {verdict}", result.trace.display().to_string());
    if all {
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
            bound_text(&difference.bound)
        );
    }
}

/// Writes a bound.
fn bound_text(bound: &FigureBound) -> String {
    let least = bound.at_least.map(|least| format!("at least {least}"));
    let most = bound.at_most.map(|most| format!("at most {most}"));
    [least, most]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()
        .join(" and ")
}
