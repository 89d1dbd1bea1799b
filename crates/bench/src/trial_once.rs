//! Trial: a non-idempotent request runs at most once, also when the caller repeats it through other
//! agents while owners are lost, frozen or leave and answers go wrong.

use anyhow::Result;
use jy_standins::backend_fault::AnswerFault;
use jy_standins::backend_fault::BackendFault;

use crate::args::BenchArgs;
use crate::load::LoadKind;
use crate::plan::CHALK;
use crate::plan::SEALS;
use crate::plan::VERIFIER;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::TrialEnvironment;
use crate::trial_owner;

/// Times that every non-idempotent request is sent again.
const REPEATS: u32 = 2;
/// Length of a round, in milliseconds.
const ROUND_MS: u64 = 4_000;
/// Longest time that a graceful leave takes, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 15_000;

/// Runs the trial.
///
/// # Errors
///
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut kinds = trial::keyed_kinds(REPEATS);
    for (workspace, service) in [(SEALS, "registry"), (CHALK, "orderbook")] {
        let kind = LoadKind::new(workspace, service, None).with_registers(0.5);
        kinds.push(kind.with_repeats(REPEATS).with_timeout(1_500));
    }
    let mut bed = TrialEnvironment::start(args, false, kinds).await?;
    for round in 0..args.rounds as usize {
        let owners = trial::nodes_of(&bed.fleet, VERIFIER);
        let victim = owners[round % owners.len()];
        disturb(&mut bed, round, victim).await?;
        trial::pause(ROUND_MS).await;
        trial_owner::recover(&mut bed).await?;
    }
    let tally = bed.load.take_counts();
    tally.print("load with repeats");
    table.add(FigureRow::of_count("requests and repeats", tally.total()).with_at_least(1.0));
    #[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
    let share = 100.0 * tally.unknown() as f64 / tally.total().max(1) as f64;
    table.add(FigureRow::new(
        "told that the outcome is unknown",
        share,
        "%",
    ));
    table.add(FigureRow::of_count("wrong answers", tally.wrong()).with_at_most(0.0));
    bed.finish(table).await
}

/// Brings one disturbance about.
///
/// # Errors
///
/// What could not be done.
async fn disturb(bed: &mut TrialEnvironment, round: usize, victim: NodeIndex) -> Result<()> {
    let faults = [AnswerFault::Short, AnswerFault::Reset, AnswerFault::WrongId];
    println!("round {round}: {}", bed.fleet.nodes[victim].name());
    match round % 4 {
        0 => {
            let command = BackendFault {
                answer: Some(faults[round / 4 % faults.len()]),
                answers: 100,
                ..BackendFault::default()
            };
            bed.fleet.fault_server(victim, &command).await?;
        }
        1 => {
            bed.leave_out(victim);
            bed.fleet.nodes[victim].kill_agent();
        }
        2 => {
            bed.leave_out(victim);
            bed.fleet.nodes[victim].leave(LEAVE_LIMIT_MS).await?;
        }
        _ => {
            bed.fleet.freeze(victim)?;
            trial::pause(ROUND_MS).await;
            bed.fleet.thaw(victim)?;
        }
    }
    Ok(())
}
