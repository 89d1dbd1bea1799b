//! Trial: callers get whole answers to their own requests, whatever backend servers answer.

use anyhow::Result;
use jy_standins::backend_fault::AnswerFault;
use jy_standins::backend_fault::BackendFault;

use crate::args::BenchArgs;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::TrialEnvironment;

/// Faults, in the order of the rounds.
const FAULTS: [AnswerFault; 5] = [
    AnswerFault::WrongId,
    AnswerFault::Crossed,
    AnswerFault::Short,
    AnswerFault::Reset,
    AnswerFault::Late,
];

/// Answers of each backend server that are wrong in a round.
const ANSWERS: u32 = 40;
/// Delay of late answers: past the callers' timeout, in milliseconds.
const LATE_MS: u64 = 2_500;
/// Length of a round, in milliseconds.
const ROUND_MS: u64 = 3_000;

/// Runs the trial.
///
/// # Errors
///
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let bed = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    let mut foreign = 0;
    let mut served = 0;
    for round in 0..args.rounds as usize {
        let fault = FAULTS[round % FAULTS.len()];
        spoil(&bed, fault).await?;
        trial::pause(ROUND_MS).await;
        let tally = bed.load.take_counts();
        tally.print(&format!("load with {fault:?} answers"));
        foreign += tally.wrong();
        served += tally.served();
    }
    table.add(FigureRow::of_count("requests served", served).with_at_least(1.0));
    let row = FigureRow::of_count("foreign, short or odd answers given out as whole", foreign);
    table.add(row.with_at_most(0.0));
    bed.finish(table).await
}

/// Spoils answers to come of every backend server.
///
/// # Errors
///
/// What could not be done.
async fn spoil(bed: &TrialEnvironment, fault: AnswerFault) -> Result<()> {
    let command = BackendFault {
        answer: Some(fault),
        answers: ANSWERS,
        late_ms: Some(LATE_MS),
        ..BackendFault::default()
    };
    for node in 0..bed.fleet.nodes.len() {
        bed.fleet.fault_server(node, &command).await?;
    }
    Ok(())
}
