//! `jybench trial NAME`: runs one of the trials with real processes.

use anyhow::Result;
use anyhow::bail;

use crate::args;
use crate::report::FigureTable;
use crate::runner;
use crate::trial_answers;
use crate::trial_config;
use crate::trial_loss;
use crate::trial_once;
use crate::trial_outage;
use crate::trial_owner;
use crate::trial_restart;
use crate::trial_zone;

/// Names of the trials with their default number of rounds.
const TRIALS: [(&str, u32); 8] = [
    ("owner", 10),
    ("loss", 6),
    ("outage", 1),
    ("zone-out", 1),
    ("answers", 5),
    ("once", 4),
    ("restart", 1),
    ("config", 5),
];

/// Runs the trial that the first argument names.
///
/// # Errors
///
/// If the name is unknown, the arguments cannot be parsed or a step of the trial fails.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let name = arguments.first().map_or("", String::as_str);
    let Some((_, rounds)) = TRIALS.iter().find(|(known, _)| *known == name) else {
        let known: Vec<&str> = TRIALS.iter().map(|(name, _)| *name).collect();
        bail!(
            "expected the name of a trial, got {name:?}; the trials are: {}",
            known.join(", ")
        );
    };
    let args = args::parse(&arguments[1..], *rounds)?;
    let title = format!("trial {name}, seed {}, rounds {}", args.seed, args.rounds);
    let mut table = FigureTable::new(title, args.out.clone());
    let result = runner::run(async {
        match name {
            "owner" => trial_owner::run(&args, &mut table).await,
            "loss" => trial_loss::run(&args, &mut table).await,
            "outage" => trial_outage::run(&args, &mut table).await,
            "zone-out" => trial_zone::run(&args, &mut table).await,
            "answers" => trial_answers::run(&args, &mut table).await,
            "once" => trial_once::run(&args, &mut table).await,
            "restart" => trial_restart::run(&args, &mut table).await,
            _ => trial_config::run(&args, &mut table).await,
        }
    });
    result.map(|()| table)
}
