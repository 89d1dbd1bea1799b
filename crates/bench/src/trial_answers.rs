//! Trial: checks that callers only get complete answers to their own requests while backend servers send
//! faulty ones.

use anyhow::Result;
use jy_standins::backend_fault::AnswerFault;
use jy_standins::backend_fault::BackendFault;

use crate::args::BenchArgs;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::TrialEnvironment;

/// Faults in the order of the rounds.
const FAULTS: [AnswerFault; 5] = [
    AnswerFault::WrongId,
    AnswerFault::Crossed,
    AnswerFault::Short,
    AnswerFault::Reset,
    AnswerFault::Late,
];

/// Number of faulty answers of each backend server in a round.
const FAULTY_ANSWERS: u32 = 40;
/// Delay of late answers, longer than the callers' timeout.
const ANSWER_DELAY_MS: u64 = 2_500;
const ROUND_DURATION_MS: u64 = 3_000;

/// Runs the trial.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let env = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    let mut wrong_answers = 0;
    let mut served = 0;
    for round in 0..args.rounds as usize {
        let fault = FAULTS[round % FAULTS.len()];
        inject_fault(&env, fault).await?;
        trial::pause(ROUND_DURATION_MS).await;
        let counts = env.load.take_counts();
        counts.print(&format!("load with {fault:?} answers"));
        wrong_answers += counts.wrong_answers();
        served += counts.served();
    }
    table.add(FigureRow::of_count("requests served", served).with_at_least(1.0));
    let row = FigureRow::of_count(
        "foreign, short or odd answers given out as whole",
        wrong_answers,
    );
    table.add(row.with_at_most(0.0));
    env.finish(table).await
}

/// Makes the next answers of every backend server faulty.
///
/// # Errors
///
/// If a backend server does not accept the fault.
async fn inject_fault(env: &TrialEnvironment, fault: AnswerFault) -> Result<()> {
    let server_fault = BackendFault {
        answer: Some(fault),
        answers: FAULTY_ANSWERS,
        late_ms: Some(ANSWER_DELAY_MS),
        ..BackendFault::default()
    };
    for node in 0..env.fleet.nodes.len() {
        env.fleet.set_server_fault(node, &server_fault).await?;
    }
    Ok(())
}
