//! Trial: an accepted configuration is in force everywhere soon and never reverts.

use std::collections::BTreeMap;

use anyhow::Result;
use anyhow::bail;
use jy_kernel::clock;
use jy_standins::store_fault::StoreFault;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use jy_types::member::AgentId;
use jy_types::record::workspace_key;
use jy_types::time::Millis;

use crate::args::BenchArgs;
use crate::plan;
use crate::relay::NodeIndex;
use crate::relay::STORE_NODE;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::READY_LIMIT_MS;
use crate::trial::TrialEnvironment;

/// An accepted configuration is in force everywhere within this time, in milliseconds.
const IN_FORCE_MS: f64 = 6_000.0;
/// Longest wait for it, in milliseconds.
const WAIT_MS: u64 = 15_000;
/// Delay of every call of the slow store, in milliseconds.
const SLOW_MS: u64 = 300;
/// A cut lasts this long, in milliseconds.
const CUT_MS: u64 = 4_000;

/// What a trial of configuration counts.
#[derive(Debug, Default)]
struct SpreadWatch {
    seen: BTreeMap<AgentId, u64>,
    reversions: u64,
    next_timeout: u64,
}

/// Runs the trial.
///
/// # Errors
///
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut bed = TrialEnvironment::start(args, true, trial::keyed_kinds(0)).await?;
    let mut watch = SpreadWatch::default();
    let mut longest = 0;
    for _ in 0..args.rounds {
        longest = longest.max(accept(&bed, &mut watch, &[]).await?);
    }
    add_time(table, "plain: in force everywhere after", longest);
    race(&bed, &mut watch, table).await?;
    set_slow(&bed, SLOW_MS).await?;
    let slow = accept(&bed, &mut watch, &[]).await?;
    set_slow(&bed, 0).await?;
    add_time(table, "slow store: in force everywhere after", slow);
    let back = cut_off(&bed, &mut watch).await?;
    add_time(table, "agent cut off: has it after its return", back);
    let restarted = restart(&mut bed, &mut watch).await?;
    add_time(table, "restarted agent: has it after its start", restarted);
    let row = FigureRow::of_count(
        "agents that went back to an older revision",
        watch.reversions,
    );
    table.add(row.with_at_most(0.0));
    bed.finish(table).await
}

/// Adds a time until a configuration is in force.
fn add_time(table: &mut FigureTable, name: &str, millis: u64) {
    table.add(FigureRow::of_ms(name, millis).with_at_most(IN_FORCE_MS));
}

/// Accepts a change and returns how long until every agent but `without` has it.
///
/// # Errors
///
/// What could not be done.
async fn accept(
    bed: &TrialEnvironment,
    watch: &mut SpreadWatch,
    without: &[NodeIndex],
) -> Result<u64> {
    let mut record = plan::seal_record();
    watch.next_timeout += 1;
    record.services[0].timeout_ms += watch.next_timeout;
    let revision = bed.fleet.accept(&record).await?;
    let since = clock::now();
    wait_for(bed, watch, revision, without, since).await
}

/// Waits until every agent but `without` has a revision; returns the time since `since`.
///
/// # Errors
///
/// What could not be done.
async fn wait_for(
    bed: &TrialEnvironment,
    watch: &mut SpreadWatch,
    revision: u64,
    without: &[NodeIndex],
    since: Millis,
) -> Result<u64> {
    loop {
        let mut behind = 0;
        for node in bed.fleet.running() {
            if without.contains(&node) {
                continue;
            }
            let Ok(status) = bed.fleet.status(node).await else {
                behind += 1;
                continue;
            };
            let seen = watch.seen.entry(status.id).or_default();
            watch.reversions += u64::from(status.revision < *seen);
            *seen = status.revision.max(*seen);
            behind += u64::from(status.revision < revision);
        }
        let elapsed = clock::now().since(since);
        if behind == 0 {
            return Ok(elapsed);
        }
        if elapsed > WAIT_MS {
            bail!("{behind} agents lack revision {revision} after {WAIT_MS} ms");
        }
        trial::pause(10).await;
    }
}

/// Lets two operators change the same workspace, and an operator with an old revision.
///
/// # Errors
///
/// What could not be done.
async fn race(
    bed: &TrialEnvironment,
    watch: &mut SpreadWatch,
    table: &mut FigureTable,
) -> Result<()> {
    let store = &bed.store.0;
    let key = workspace_key(plan::SEALS);
    let base = store.list(&key).await?.records[0].revision;
    let call = |token: u64| -> Result<SwapCall> {
        let mut record = plan::seal_record();
        record.token = token;
        Ok(SwapCall {
            key: key.clone(),
            expect: base,
            value: Some(serde_json::to_string(&record)?.into()),
            lease: None,
        })
    };
    let (one, other) = (call(101)?, call(102)?);
    let ends = [
        store.swap(&one).await?,
        store.swap(&other).await?,
        store.swap(&one).await?,
    ];
    let told = |end: &&SwapOutcome| {
        matches!(
            end,
            SwapOutcome::Conflict {
                current: Some(_),
                ..
            }
        )
    };
    let won = |end: &&SwapOutcome| matches!(end, SwapOutcome::Applied { .. });
    let winners = ends.iter().filter(won).count() as u64;
    let losers = ends.iter().filter(told).count() as u64;
    let row = FigureRow::of_count("race of three writes: winners", winners);
    table.add(row.with_at_least(1.0).with_at_most(1.0));
    let row = FigureRow::of_count("race of three writes: losers told what stands", losers);
    table.add(row.with_at_least(2.0));
    let revision = store.list(&key).await?.records[0].revision;
    wait_for(bed, watch, revision, &[], clock::now()).await?;
    Ok(())
}

/// Cuts an agent off, changes the configuration, and returns how long the agent lacks it after the
/// cut ends. An agent cut off past its lease is declared dead and comes back as a new one.
///
/// # Errors
///
/// What could not be done.
async fn cut_off(bed: &TrialEnvironment, watch: &mut SpreadWatch) -> Result<u64> {
    let victim = 1;
    let others = (0..bed.fleet.nodes.len()).filter(|other| *other != victim);
    for other in others.chain([STORE_NODE]) {
        bed.fleet.cut_both(victim, other);
    }
    accept(bed, watch, &[victim]).await?;
    trial::pause(CUT_MS).await;
    let revision = bed.store.0.list(&workspace_key(plan::SEALS)).await?.records[0].revision;
    bed.fleet.net.heal();
    wait_for(bed, watch, revision, &[], clock::now()).await
}

/// Restarts an agent after a change and returns how long it lacks it.
///
/// # Errors
///
/// What could not be done.
async fn restart(bed: &mut TrialEnvironment, watch: &mut SpreadWatch) -> Result<u64> {
    bed.fleet.restart_ended()?;
    bed.fleet.wait_ready(READY_LIMIT_MS).await?;
    let victim = 2;
    bed.leave_out(victim);
    bed.fleet.nodes[victim].kill_agent();
    accept(bed, watch, &[]).await?;
    let revision = bed.store.0.list(&workspace_key(plan::SEALS)).await?.records[0].revision;
    let since = clock::now();
    bed.fleet.start_agent(victim)?;
    let took = wait_for(bed, watch, revision, &[], since).await?;
    bed.fleet.wait_ready(READY_LIMIT_MS).await?;
    Ok(took)
}

/// Makes the store slow.
///
/// # Errors
///
/// What could not be done.
async fn set_slow(bed: &TrialEnvironment, slow_ms: u64) -> Result<()> {
    let fault = StoreFault {
        slow_ms: Some(slow_ms),
        ..StoreFault::default()
    };
    bed.fleet.fault_store(&fault).await
}
