//! Trial: a graceful shutdown cuts nothing: one agent, several at once, and all one after another.

use anyhow::Result;
use jy_kernel::clock;
use rustix::process::Signal;

use crate::args::BenchArgs;
use crate::plan::CHALK;
use crate::plan::STOCKDESK;
use crate::probe::KeyProbe;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::LEAVE_GAP_MS;
use crate::trial::READY_LIMIT_MS;
use crate::trial::TrialEnvironment;

/// Callers go on coming to a leaving agent for this long, in milliseconds.
const STILL_COMING_MS: u64 = 300;
/// Longest time that a graceful leave takes, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 20_000;
/// Keys that are probed of each owner.
const PROBED_KEYS: usize = 4;

/// Runs the trial.
///
/// # Errors
///
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut bed = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    trial::pause(2_000).await;
    let owners = trial::nodes_of(&bed.fleet, STOCKDESK);
    one_step(&mut bed, "one", &[vec![owners[0]]], args.seed, table).await?;
    let several = vec![owners[0], owners[1], 0, 5];
    one_step(&mut bed, "several at once", &[several], args.seed, table).await?;
    let rolling: Vec<Vec<NodeIndex>> = (0..bed.fleet.nodes.len()).map(|node| vec![node]).collect();
    one_step(&mut bed, "rolling", &rolling, args.seed, table).await?;
    bed.finish(table).await
}

/// Restarts groups of agents one after another and reports what callers saw.
///
/// # Errors
///
/// What could not be done.
async fn one_step(
    bed: &mut TrialEnvironment,
    name: &str,
    groups: &[Vec<NodeIndex>],
    seed: u64,
    table: &mut FigureTable,
) -> Result<()> {
    let mut keys = Vec::new();
    for owner in trial::nodes_of(&bed.fleet, STOCKDESK) {
        keys.extend(trial::keys_of(&bed.fleet, CHALK, STOCKDESK, owner, PROBED_KEYS).await?);
    }
    let probe = KeyProbe::start(CHALK, STOCKDESK, &keys, &bed.entries, seed);
    probe.wait_served(clock::now(), 5_000).await;
    drop(bed.load.take_counts());
    let since = clock::now();
    let mut unclean = 0;
    for group in groups {
        unclean += restart(bed, group).await?;
    }
    probe.wait_served(clock::now(), 5_000).await;
    let times = probe.stop().await;
    let tally = bed.load.take_counts();
    tally.print(&format!("load while agents restarted ({name})"));
    let row = |text: &str| format!("{name}: {text}");
    table.add(
        FigureRow::of_count(row("agents that did not end cleanly"), unclean).with_at_most(0.0),
    );
    table.add(FigureRow::of_count(row("requests cut"), tally.cut()).with_at_most(0.0));
    let other = tally.total() - tally.served() - tally.cut();
    table.add(FigureRow::of_count(row("requests refused"), other));
    let gap = times.longest_since(since);
    table.add(FigureRow::of_ms(row("longest unavailable key"), gap).with_at_most(LEAVE_GAP_MS));
    table.add(FigureRow::of_ms(row("took"), clock::now().since(since)));
    Ok(())
}

/// Lets a group of agents leave at once and starts them again; returns how many did not end
/// cleanly.
///
/// # Errors
///
/// What could not be done.
async fn restart(bed: &mut TrialEnvironment, group: &[NodeIndex]) -> Result<u64> {
    for node in group {
        bed.fleet.nodes[*node].agent()?.signal(Signal::TERM)?;
    }
    trial::pause(STILL_COMING_MS).await;
    for node in group {
        bed.leave_out(*node);
    }
    let mut unclean = 0;
    for node in group {
        let clean = bed.fleet.nodes[*node].ended_cleanly(LEAVE_LIMIT_MS).await?;
        unclean += u64::from(!clean);
    }
    for node in group {
        bed.fleet.start_agent(*node)?;
    }
    bed.fleet.wait_ready(READY_LIMIT_MS).await?;
    bed.enter_everywhere();
    Ok(unclean)
}
