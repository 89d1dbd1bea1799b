//! Trial: checks that a non-idempotent request runs at most once, even if the caller repeats it through random
//! agents while owners are killed, frozen or leave, or backend servers send faulty answers.

use anyhow::Result;
use jy_standins::backend_fault::AnswerFault;
use jy_standins::backend_fault::BackendFault;

use crate::args::BenchArgs;
use crate::load::LoadKind;
use crate::plan::CHALKLINE_WORKSPACE;
use crate::plan::SEAL_REGISTRY_WORKSPACE;
use crate::plan::VERIFIER_SERVICE;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::TrialEnvironment;
use crate::trial_owner;

/// Repeats of every non-idempotent request.
const REPEAT_COUNT: u32 = 2;
const ROUND_DURATION_MS: u64 = 4_000;
const LEAVE_TIMEOUT_MS: u64 = 15_000;

/// Runs the trial.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut kinds = trial::keyed_kinds(REPEAT_COUNT);
    for (workspace, service) in [
        (SEAL_REGISTRY_WORKSPACE, "registry"),
        (CHALKLINE_WORKSPACE, "orderbook"),
    ] {
        let kind = LoadKind::new(workspace, service, None).with_register_share(0.5);
        kinds.push(kind.with_repeats(REPEAT_COUNT).with_timeout(1_500));
    }
    let mut env = TrialEnvironment::start(args, false, kinds).await?;
    for round in 0..args.rounds as usize {
        let owners = trial::nodes_of(&env.fleet, VERIFIER_SERVICE);
        let victim = owners[round % owners.len()];
        inject_fault(&mut env, round, victim).await?;
        trial::pause(ROUND_DURATION_MS).await;
        trial_owner::recover(&mut env).await?;
    }
    let counts = env.load.take_counts();
    counts.print("load with repeats");
    table.add(FigureRow::of_count("requests and repeats", counts.total()).with_at_least(1.0));
    #[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
    let unknown_percent = 100.0 * counts.unknown() as f64 / counts.total().max(1) as f64;
    table.add(FigureRow::new(
        "told that the outcome is unknown",
        unknown_percent,
        "%",
    ));
    table.add(FigureRow::of_count("wrong answers", counts.wrong_answers()).with_at_most(0.0));
    env.finish(table).await
}

/// Injects the fault of a round: faulty answers, or a killed, leaving or frozen agent.
///
/// # Errors
///
/// If the fault cannot be injected.
async fn inject_fault(env: &mut TrialEnvironment, round: usize, victim: NodeIndex) -> Result<()> {
    let answer_faults = [AnswerFault::Short, AnswerFault::Reset, AnswerFault::WrongId];
    println!("round {round}: {}", env.fleet.nodes[victim].name());
    match round % 4 {
        0 => {
            let server_fault = BackendFault {
                answer: Some(answer_faults[round / 4 % answer_faults.len()]),
                answers: 100,
                ..BackendFault::default()
            };
            env.fleet.set_server_fault(victim, &server_fault).await?;
        }
        1 => {
            env.remove_entry(victim);
            env.fleet.nodes[victim].kill_agent();
        }
        2 => {
            env.remove_entry(victim);
            env.fleet.nodes[victim].leave(LEAVE_TIMEOUT_MS).await?;
        }
        _ => {
            env.fleet.suspend(victim)?;
            trial::pause(ROUND_DURATION_MS).await;
            env.fleet.resume(victim)?;
        }
    }
    Ok(())
}
