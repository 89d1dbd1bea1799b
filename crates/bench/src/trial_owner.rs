//! Trial: checks that a key never has two owners at the same time while agents, links and the store fail.

use anyhow::Result;
use jy_standins::store_fault::StoreFault;
use jy_types::record::CONTROLLER_ALIVE_KEY;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::args::BenchArgs;
use crate::plan::VERIFIER_SERVICE;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::READY_TIMEOUT_MS;
use crate::trial::TrialEnvironment;

/// Longer than a lease and the takeover of its holder's keys.
const FAULT_DURATION_MS: u64 = 4_500;
/// Time under load between two faults.
const FAULT_INTERVAL_MS: u64 = 700;

/// Fault of a round: a single one, or two at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerFault {
    Kill,
    FreezeAndReturn,
    /// Cuts the links to the owner.
    CutTowards,
    /// Cuts the links from the owner.
    CutFrom,
    CutBoth,
    FreezeController,
    /// Ends the lease of the controller in the store.
    LapseController,
    LoseAnswersAndKill,
    FreezeOwnerAndKillController,
    CutOwnerAndLoseAnswers,
}

/// Faults in the order of the rounds.
const FAULTS: [OwnerFault; 10] = [
    OwnerFault::FreezeAndReturn,
    OwnerFault::CutBoth,
    OwnerFault::Kill,
    OwnerFault::FreezeController,
    OwnerFault::CutTowards,
    OwnerFault::CutFrom,
    OwnerFault::LoseAnswersAndKill,
    OwnerFault::LapseController,
    OwnerFault::FreezeOwnerAndKillController,
    OwnerFault::CutOwnerAndLoseAnswers,
];

/// Runs the trial.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut env = TrialEnvironment::start(args, true, trial::keyed_kinds(0)).await?;
    for round in 0..args.rounds as usize {
        trial::pause(FAULT_INTERVAL_MS).await;
        let fault = FAULTS[round % FAULTS.len()];
        let owners = trial::nodes_of(&env.fleet, VERIFIER_SERVICE);
        let victim = owners[rng.random_range(0..owners.len())];
        println!(
            "round {round}: {fault:?} on {}",
            env.fleet.nodes[victim].name()
        );
        inject_fault(&mut env, fault, victim).await?;
        recover(&mut env).await?;
    }
    let counts = env.load.take_counts();
    counts.print("load under faults");
    table.add(FigureRow::of_count("rounds", u64::from(args.rounds)));
    table.add(FigureRow::of_count("requests served", counts.served()).with_at_least(1.0));
    table.add(FigureRow::of_count("wrong answers", counts.wrong_answers()).with_at_most(0.0));
    table.add(FigureRow::of_count("outcome unknown", counts.unknown()));
    env.finish(table).await
}

/// Injects a fault and ends it, except that killed agents are not restarted.
///
/// # Errors
///
/// If the fault cannot be injected or ended.
async fn inject_fault(
    env: &mut TrialEnvironment,
    fault: OwnerFault,
    victim: NodeIndex,
) -> Result<()> {
    let lose_answers = StoreFault {
        lose_answers: Some(4),
        ..StoreFault::default()
    };
    match fault {
        OwnerFault::Kill => kill(env, victim).await,
        OwnerFault::FreezeAndReturn => suspend_and_resume(env, victim).await?,
        OwnerFault::CutTowards => cut(env, victim, true, false).await,
        OwnerFault::CutFrom => cut(env, victim, false, true).await,
        OwnerFault::CutBoth => cut(env, victim, true, true).await,
        OwnerFault::FreezeController => {
            let controller = env.fleet.controller().await?;
            suspend_and_resume(env, controller).await?;
        }
        OwnerFault::LapseController => revoke_controller_lease(env).await?,
        OwnerFault::LoseAnswersAndKill => {
            env.fleet.set_store_fault(&lose_answers).await?;
            kill(env, victim).await;
        }
        OwnerFault::FreezeOwnerAndKillController => {
            let controller = env.fleet.controller().await?;
            if controller != victim {
                env.remove_entry(controller);
                env.fleet.nodes[controller].kill_agent();
            }
            suspend_and_resume(env, victim).await?;
        }
        OwnerFault::CutOwnerAndLoseAnswers => {
            env.fleet.set_store_fault(&lose_answers).await?;
            cut(env, victim, true, true).await;
        }
    }
    Ok(())
}

/// Kills an agent and waits long enough for its keys to be taken over.
async fn kill(env: &mut TrialEnvironment, victim: NodeIndex) {
    env.remove_entry(victim);
    env.fleet.nodes[victim].kill_agent();
    trial::pause(FAULT_DURATION_MS).await;
}

/// Suspends an agent for longer than its lease. Callers still send it requests at first, and it resumes these
/// when it is resumed.
///
/// # Errors
///
/// If the agent cannot be suspended or resumed.
async fn suspend_and_resume(env: &mut TrialEnvironment, victim: NodeIndex) -> Result<()> {
    env.fleet.suspend(victim)?;
    trial::pause(FAULT_INTERVAL_MS).await;
    env.remove_entry(victim);
    trial::pause(FAULT_DURATION_MS - FAULT_INTERVAL_MS).await;
    env.fleet.resume(victim)?;
    trial::pause(FAULT_INTERVAL_MS).await;
    Ok(())
}

/// Cuts the links between an agent and all other nodes and the store, in one or both directions, for
/// longer than its lease.
async fn cut(env: &TrialEnvironment, victim: NodeIndex, inbound: bool, outbound: bool) {
    let others = (0..env.fleet.nodes.len()).filter(|other| *other != victim);
    for other in others.chain([crate::relay::STORE_NODE]) {
        if inbound {
            env.fleet.net.cut(other, victim);
        }
        if outbound {
            env.fleet.net.cut(victim, other);
        }
    }
    trial::pause(FAULT_DURATION_MS).await;
    env.fleet.net.heal();
    trial::pause(FAULT_INTERVAL_MS).await;
}

/// Makes the store end the lease that the controller holds.
///
/// # Errors
///
/// If the store does not accept the fault.
async fn revoke_controller_lease(env: &TrialEnvironment) -> Result<()> {
    let fault = StoreFault {
        lapse_lease_of: Some(CONTROLLER_ALIVE_KEY.into()),
        ..StoreFault::default()
    };
    env.fleet.set_store_fault(&fault).await?;
    trial::pause(FAULT_DURATION_MS).await;
    Ok(())
}

/// Stops the loss of store answers, restarts agents that have ended, and waits until the fleet is ready
/// and every unit has an owner.
///
/// # Errors
///
/// If an agent cannot be started or the fleet is not ready in time.
pub async fn recover(env: &mut TrialEnvironment) -> Result<()> {
    let no_faults = StoreFault {
        lose_answers: Some(0),
        ..StoreFault::default()
    };
    env.fleet.set_store_fault(&no_faults).await?;
    env.fleet.restart_exited_agents()?;
    env.fleet.wait_ready(READY_TIMEOUT_MS).await?;
    env.reset_entries();
    Ok(())
}
