//! Trial: checks that a graceful shutdown cuts no requests: of one agent, of several at once, and of all
//! agents one after another.

use anyhow::Result;
use jy_kernel::clock;
use rustix::process::Signal;

use crate::args::BenchArgs;
use crate::plan::CHALKLINE_WORKSPACE;
use crate::plan::STOCKDESK_SERVICE;
use crate::probe::KeyProbe;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::MAX_LEAVE_GAP_MS;
use crate::trial::READY_TIMEOUT_MS;
use crate::trial::TrialEnvironment;

/// Time for which callers still send requests to a leaving agent.
const CALLER_REACTION_MS: u64 = 300;
const LEAVE_TIMEOUT_MS: u64 = 20_000;
/// Keys of each owner that are probed.
const PROBED_KEYS: usize = 4;

/// Runs the trial.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut env = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    trial::pause(2_000).await;
    let owners = trial::nodes_of(&env.fleet, STOCKDESK_SERVICE);
    run_step(&mut env, "one", &[vec![owners[0]]], args.seed, table).await?;
    let several = vec![owners[0], owners[1], 0, 5];
    run_step(&mut env, "several at once", &[several], args.seed, table).await?;
    let one_by_one: Vec<Vec<NodeIndex>> =
        (0..env.fleet.nodes.len()).map(|node| vec![node]).collect();
    run_step(&mut env, "rolling", &one_by_one, args.seed, table).await?;
    env.finish(table).await
}

/// Restarts groups of agents one after another and reports the outcomes of the callers' requests.
///
/// # Errors
///
/// If an agent does not answer or cannot be restarted.
async fn run_step(
    env: &mut TrialEnvironment,
    name: &str,
    groups: &[Vec<NodeIndex>],
    seed: u64,
    table: &mut FigureTable,
) -> Result<()> {
    let mut keys = Vec::new();
    for owner in trial::nodes_of(&env.fleet, STOCKDESK_SERVICE) {
        keys.extend(
            trial::keys_of(
                &env.fleet,
                CHALKLINE_WORKSPACE,
                STOCKDESK_SERVICE,
                owner,
                PROBED_KEYS,
            )
            .await?,
        );
    }
    let probe = KeyProbe::start(
        CHALKLINE_WORKSPACE,
        STOCKDESK_SERVICE,
        &keys,
        &env.entries,
        seed,
    );
    probe.wait_served(clock::now(), 5_000).await;
    drop(env.load.take_counts());
    let since = clock::now();
    let mut unclean = 0;
    for group in groups {
        unclean += restart(env, group).await?;
    }
    probe.wait_served(clock::now(), 5_000).await;
    let times = probe.stop().await;
    let counts = env.load.take_counts();
    counts.print(&format!("load while agents restarted ({name})"));
    let row_name = |text: &str| format!("{name}: {text}");
    table.add(
        FigureRow::of_count(row_name("agents that did not end cleanly"), unclean).with_at_most(0.0),
    );
    table.add(FigureRow::of_count(row_name("requests cut"), counts.unanswered()).with_at_most(0.0));
    let refused = counts.total() - counts.served() - counts.unanswered();
    table.add(FigureRow::of_count(row_name("requests refused"), refused));
    let longest_gap_ms = times.longest_gap_since(since);
    table.add(
        FigureRow::of_ms(row_name("longest unavailable key"), longest_gap_ms)
            .with_at_most(MAX_LEAVE_GAP_MS),
    );
    table.add(FigureRow::of_ms(
        row_name("took"),
        clock::now().since(since),
    ));
    Ok(())
}

/// Tells a group of agents to leave at the same time and starts them again. Returns how many did not
/// exit with code 0.
///
/// # Errors
///
/// If an agent does not run or cannot be started, or the fleet is not ready in time.
async fn restart(env: &mut TrialEnvironment, group: &[NodeIndex]) -> Result<u64> {
    for node in group {
        env.fleet.nodes[*node].agent()?.signal(Signal::TERM)?;
    }
    trial::pause(CALLER_REACTION_MS).await;
    for node in group {
        env.remove_entry(*node);
    }
    let mut unclean = 0;
    for node in group {
        let is_clean = env.fleet.nodes[*node]
            .wait_for_clean_exit(LEAVE_TIMEOUT_MS)
            .await?;
        unclean += u64::from(!is_clean);
    }
    for node in group {
        env.fleet.start_agent(*node)?;
    }
    env.fleet.wait_ready(READY_TIMEOUT_MS).await?;
    env.reset_entries();
    Ok(unclean)
}
