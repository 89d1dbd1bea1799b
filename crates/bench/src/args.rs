//! Arguments that every subcommand with processes takes.

use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use getopts::Options;

/// Arguments of a subcommand.
#[derive(Clone, Debug)]
pub struct BenchArgs {
    /// What to run, where the subcommand has a choice.
    pub names: Vec<String>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Rounds, where the subcommand has some.
    pub rounds: u32,
    /// Where to write the figures as JSON.
    pub out: Option<PathBuf>,
    /// Whether the folder with the logs stays.
    pub keep: bool,
}

/// Parses the arguments of a subcommand.
///
/// # Errors
///
/// If an argument is unknown or not a number.
pub fn parse(arguments: &[String], rounds: u32) -> Result<BenchArgs> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the random numbers", "N");
    options.optopt("", "rounds", "rounds", "N");
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
