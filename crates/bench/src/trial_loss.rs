//! Trial: an acknowledged assignment survives the loss of an owner, of owner and controller, and of
//! an availability zone, and every key is served again in time.

use anyhow::Result;
use jy_kernel::clock;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::args::BenchArgs;
use crate::assignment::AssignmentRead;
use crate::plan::SEALS;
use crate::plan::VERIFIER;
use crate::probe::KeyProbe;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::SERVED_AGAIN_MS;
use crate::trial::TrialEnvironment;
use crate::trial_owner;

/// Keys of the lost owner that are probed.
const PROBED_KEYS: usize = 10;
/// A fresh loss is over at the earliest after this, in milliseconds.
const SETTLE_MS: u64 = 1_000;
/// Longest wait for the keys, in milliseconds.
const WAIT_MS: u64 = 15_000;

/// What is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossKind {
    Owner,
    OwnerAndController,
    Zone,
}

/// All kinds, in the order of the rounds.
const KINDS: [LossKind; 3] = [
    LossKind::Owner,
    LossKind::OwnerAndController,
    LossKind::Zone,
];

/// Runs the trial.
///
/// # Errors
///
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut bed = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    let mut lost = 0;
    let mut longest = [0; KINDS.len()];
    for round in 0..args.rounds as usize {
        let kind = KINDS[round % KINDS.len()];
        let owners = trial::nodes_of(&bed.fleet, VERIFIER);
        let victim = owners[rng.random_range(0..owners.len())];
        let before = AssignmentRead::read(&bed.store.0).await?;
        let gap = lose(&mut bed, kind, victim, args.seed).await?;
        println!("round {round}: {kind:?} lost, keys unavailable for {gap} ms");
        let slot = &mut longest[round % KINDS.len()];
        *slot = gap.max(*slot);
        trial_owner::recover(&mut bed).await?;
        let after = AssignmentRead::read(&bed.store.0).await?;
        lost += before.lost_in(&after);
    }
    table.add(FigureRow::of_count("rounds", u64::from(args.rounds)));
    table.add(FigureRow::of_count("assignments lost", lost as u64).with_at_most(0.0));
    for (kind, gap) in KINDS.iter().zip(longest) {
        let name = format!("{kind:?} lost: longest unavailable key");
        table.add(FigureRow::of_ms(name, gap).with_at_most(SERVED_AGAIN_MS));
    }
    let tally = bed.load.take_counts();
    tally.print("load under losses");
    table.add(FigureRow::of_count("wrong answers", tally.wrong()).with_at_most(0.0));
    bed.finish(table).await
}

/// Loses a victim and perhaps others and returns how long its keys were not served.
///
/// # Errors
///
/// What could not be done.
async fn lose(
    bed: &mut TrialEnvironment,
    kind: LossKind,
    victim: NodeIndex,
    seed: u64,
) -> Result<u64> {
    let fleet = &bed.fleet;
    let keys = trial::keys_of(fleet, SEALS, VERIFIER, victim, PROBED_KEYS).await?;
    let mut victims = vec![victim];
    match kind {
        LossKind::Owner => {}
        LossKind::OwnerAndController => victims.push(fleet.controller().await?),
        LossKind::Zone => {
            let zone = fleet.nodes[victim].plan.place.zone.clone();
            victims = trial::nodes_in(fleet, &zone);
        }
    }
    for node in &victims {
        bed.leave_out(*node);
    }
    let probe = KeyProbe::start(SEALS, VERIFIER, &keys, &bed.entries, seed);
    probe.wait_served(clock::now(), WAIT_MS).await;
    let since = clock::now();
    for node in &victims {
        bed.fleet.nodes[*node].kill_agent();
    }
    probe.wait_served(since.plus(SETTLE_MS), WAIT_MS).await;
    trial::pause(SETTLE_MS).await;
    Ok(probe.stop().await.longest_since(since))
}
