//! Command-line arguments shared by subcommands.

use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use getopts::Options;

/// Parsed arguments of a subcommand.
#[derive(Clone, Debug)]
pub struct BenchArgs {
    /// Positional arguments, which say what to run if the subcommand has a choice.
    pub names: Vec<String>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of rounds, for subcommands that run in rounds.
    pub rounds: u32,
    /// File to write the figures to as JSON.
    pub out: Option<PathBuf>,
    /// Whether the folder with the logs is kept after the run.
    pub keep: bool,
}

/// Parses the arguments of a subcommand; `rounds` is the default number of rounds.
///
/// # Errors
///
/// If an option is unknown or lacks its argument, or if a number cannot be parsed.
pub fn parse(arguments: &[String], rounds: u32) -> Result<BenchArgs> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the random number generator", "N");
    options.optopt("", "rounds", "number of rounds", "N");
    options.optopt("", "out", "file for the figures as JSON", "FILE");
    options.optflag("", "keep", "keep the folder with the logs");
    let matches = options
        .parse(arguments)
        .with_context(|| options.usage("options:"))?;
    Ok(BenchArgs {
        names: matches.free.clone(),
        seed: matches.opt_get_default("seed", 1)?,
        rounds: matches.opt_get_default("rounds", rounds)?,
        out: matches.opt_str("out").map(PathBuf::from),
        keep: matches.opt_present("keep"),
    })
}
