//! Trial: a key has at most one owner, whatever happens to agents, links and the store.

use anyhow::Result;
use jy_standins::store_fault::StoreFault;
use jy_types::record::CONTROLLER_ALIVE_KEY;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::args::BenchArgs;
use crate::plan::VERIFIER;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::READY_LIMIT_MS;
use crate::trial::TrialEnvironment;

/// A freeze or a cut lasts longer than a lease and its takeover, in milliseconds.
const LONG_MS: u64 = 4_500;
/// Load between two faults, in milliseconds.
const BETWEEN_MS: u64 = 700;

/// One fault, or two at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerFault {
    Kill,
    FreezeAndReturn,
    CutTowards,
    CutFrom,
    CutBoth,
    FreezeController,
    LapseController,
    LoseAnswersAndKill,
    FreezeOwnerAndKillController,
    CutOwnerAndLoseAnswers,
}

/// All faults, in the order of the rounds.
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
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut bed = TrialEnvironment::start(args, true, trial::keyed_kinds(0)).await?;
    for round in 0..args.rounds as usize {
        trial::pause(BETWEEN_MS).await;
        let fault = FAULTS[round % FAULTS.len()];
        let owners = trial::nodes_of(&bed.fleet, VERIFIER);
        let victim = owners[rng.random_range(0..owners.len())];
        println!(
            "round {round}: {fault:?} on {}",
            bed.fleet.nodes[victim].name()
        );
        suffer(&mut bed, fault, victim).await?;
        recover(&mut bed).await?;
    }
    let tally = bed.load.take_counts();
    tally.print("load under faults");
    table.add(FigureRow::of_count("rounds", u64::from(args.rounds)));
    table.add(FigureRow::of_count("requests served", tally.served()).with_at_least(1.0));
    table.add(FigureRow::of_count("wrong answers", tally.wrong()).with_at_most(0.0));
    table.add(FigureRow::of_count("outcome unknown", tally.unknown()));
    bed.finish(table).await
}

/// Brings a fault about and ends it, but leaves killed agents dead.
///
/// # Errors
///
/// What could not be done.
async fn suffer(bed: &mut TrialEnvironment, fault: OwnerFault, victim: NodeIndex) -> Result<()> {
    let lose_answers = StoreFault {
        lose_answers: Some(4),
        ..StoreFault::default()
    };
    match fault {
        OwnerFault::Kill => kill(bed, victim).await,
        OwnerFault::FreezeAndReturn => freeze(bed, victim).await?,
        OwnerFault::CutTowards => cut(bed, victim, true, false).await,
        OwnerFault::CutFrom => cut(bed, victim, false, true).await,
        OwnerFault::CutBoth => cut(bed, victim, true, true).await,
        OwnerFault::FreezeController => {
            let controller = bed.fleet.controller().await?;
            freeze(bed, controller).await?;
        }
        OwnerFault::LapseController => lapse(bed).await?,
        OwnerFault::LoseAnswersAndKill => {
            bed.fleet.fault_store(&lose_answers).await?;
            kill(bed, victim).await;
        }
        OwnerFault::FreezeOwnerAndKillController => {
            let controller = bed.fleet.controller().await?;
            if controller != victim {
                bed.leave_out(controller);
                bed.fleet.nodes[controller].kill_agent();
            }
            freeze(bed, victim).await?;
        }
        OwnerFault::CutOwnerAndLoseAnswers => {
            bed.fleet.fault_store(&lose_answers).await?;
            cut(bed, victim, true, true).await;
        }
    }
    Ok(())
}

/// Kills an agent and waits for the takeover.
async fn kill(bed: &mut TrialEnvironment, victim: NodeIndex) {
    bed.leave_out(victim);
    bed.fleet.nodes[victim].kill_agent();
    trial::pause(LONG_MS).await;
}

/// Freezes an agent for longer than its lease. Requests wait at it and go on when it returns.
///
/// # Errors
///
/// What could not be done.
async fn freeze(bed: &mut TrialEnvironment, victim: NodeIndex) -> Result<()> {
    bed.fleet.freeze(victim)?;
    trial::pause(BETWEEN_MS).await;
    bed.leave_out(victim);
    trial::pause(LONG_MS - BETWEEN_MS).await;
    bed.fleet.thaw(victim)?;
    trial::pause(BETWEEN_MS).await;
    Ok(())
}

/// Cuts an agent from the others and the store, one way or both, for longer than its lease.
async fn cut(bed: &TrialEnvironment, victim: NodeIndex, towards: bool, from: bool) {
    let others = (0..bed.fleet.nodes.len()).filter(|other| *other != victim);
    for other in others.chain([crate::relay::STORE_NODE]) {
        if towards {
            bed.fleet.net.cut(other, victim);
        }
        if from {
            bed.fleet.net.cut(victim, other);
        }
    }
    trial::pause(LONG_MS).await;
    bed.fleet.net.heal();
    trial::pause(BETWEEN_MS).await;
}

/// Ends the controller's store lease under it.
///
/// # Errors
///
/// What could not be done.
async fn lapse(bed: &TrialEnvironment) -> Result<()> {
    let fault = StoreFault {
        lapse_lease_of: Some(CONTROLLER_ALIVE_KEY.into()),
        ..StoreFault::default()
    };
    bed.fleet.fault_store(&fault).await?;
    trial::pause(LONG_MS).await;
    Ok(())
}

/// Starts agents that ended and waits until every unit has an owner.
///
/// # Errors
///
/// What could not be done.
pub async fn recover(bed: &mut TrialEnvironment) -> Result<()> {
    let no_faults = StoreFault {
        lose_answers: Some(0),
        ..StoreFault::default()
    };
    bed.fleet.fault_store(&no_faults).await?;
    bed.fleet.restart_ended()?;
    bed.fleet.wait_ready(READY_LIMIT_MS).await?;
    bed.enter_everywhere();
    Ok(())
}
