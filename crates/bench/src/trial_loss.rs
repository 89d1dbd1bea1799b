//! Trial: checks that acknowledged assignments survive the loss of an owner, of owner and controller,
//! and of an availability zone, and that every key is served again in time.

use anyhow::Result;
use jy_kernel::clock;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::args::BenchArgs;
use crate::assignment::AssignmentSnapshot;
use crate::plan::SEAL_REGISTRY_WORKSPACE;
use crate::plan::VERIFIER_SERVICE;
use crate::probe::KeyProbe;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::MAX_TAKEOVER_MS;
use crate::trial::TrialEnvironment;
use crate::trial_owner;

/// Keys of the lost owner that are probed.
const PROBED_KEYS: usize = 10;
/// A key that is served earlier than this after a loss does not count as recovered.
const MIN_RECOVERY_MS: u64 = 1_000;
/// Longest wait until all probed keys are served.
const SERVED_TIMEOUT_MS: u64 = 15_000;

/// Agents that are killed in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossKind {
    Owner,
    OwnerAndController,
    Zone,
}

/// Kinds of loss in the order of the rounds.
const LOSS_KINDS: [LossKind; 3] = [
    LossKind::Owner,
    LossKind::OwnerAndController,
    LossKind::Zone,
];

/// Runs the trial.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut env = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    let mut assignments_lost = 0;
    let mut longest_gaps = [0; LOSS_KINDS.len()];
    for round in 0..args.rounds as usize {
        let kind = LOSS_KINDS[round % LOSS_KINDS.len()];
        let owners = trial::nodes_of(&env.fleet, VERIFIER_SERVICE);
        let victim = owners[rng.random_range(0..owners.len())];
        let before = AssignmentSnapshot::read(&env.store.0).await?;
        let gap_ms = inject_loss(&mut env, kind, victim, args.seed).await?;
        println!("round {round}: {kind:?} lost, keys unavailable for {gap_ms} ms");
        let longest_gap = &mut longest_gaps[round % LOSS_KINDS.len()];
        *longest_gap = gap_ms.max(*longest_gap);
        trial_owner::recover(&mut env).await?;
        let after = AssignmentSnapshot::read(&env.store.0).await?;
        assignments_lost += before.count_lost_in(&after);
    }
    table.add(FigureRow::of_count("rounds", u64::from(args.rounds)));
    table.add(FigureRow::of_count("assignments lost", assignments_lost as u64).with_at_most(0.0));
    for (kind, gap_ms) in LOSS_KINDS.iter().zip(longest_gaps) {
        let name = format!("{kind:?} lost: longest unavailable key");
        table.add(FigureRow::of_ms(name, gap_ms).with_at_most(MAX_TAKEOVER_MS));
    }
    let counts = env.load.take_counts();
    counts.print("load under losses");
    table.add(FigureRow::of_count("wrong answers", counts.wrong_answers()).with_at_most(0.0));
    env.finish(table).await
}

/// Kills an agent, and others according to `kind`, and returns the longest time for which one of its
/// keys was not served, in milliseconds.
///
/// # Errors
///
/// If an agent does not answer or no agent is the controller.
async fn inject_loss(
    env: &mut TrialEnvironment,
    kind: LossKind,
    victim: NodeIndex,
    seed: u64,
) -> Result<u64> {
    let fleet = &env.fleet;
    let keys = trial::keys_of(
        fleet,
        SEAL_REGISTRY_WORKSPACE,
        VERIFIER_SERVICE,
        victim,
        PROBED_KEYS,
    )
    .await?;
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
        env.remove_entry(*node);
    }
    let probe = KeyProbe::start(
        SEAL_REGISTRY_WORKSPACE,
        VERIFIER_SERVICE,
        &keys,
        &env.entries,
        seed,
    );
    probe.wait_served(clock::now(), SERVED_TIMEOUT_MS).await;
    let since = clock::now();
    for node in &victims {
        env.fleet.nodes[*node].kill_agent();
    }
    probe
        .wait_served(since.plus(MIN_RECOVERY_MS), SERVED_TIMEOUT_MS)
        .await;
    trial::pause(MIN_RECOVERY_MS).await;
    Ok(probe.stop().await.longest_gap_since(since))
}
