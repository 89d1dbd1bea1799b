//! Trial: checks that an accepted configuration is soon in force at every agent and that no agent goes
//! back to an older one.

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
use crate::trial::READY_TIMEOUT_MS;
use crate::trial::TrialEnvironment;

/// Bound on the time until an accepted configuration is in force at every agent.
const MAX_ROLLOUT_MS: f64 = 6_000.0;
/// Longer than the bound, so that a slow rollout is reported with its time.
const ROLLOUT_TIMEOUT_MS: u64 = 15_000;
/// Delay of every call to the slow store.
const STORE_DELAY_MS: u64 = 300;
/// Time that an agent stays isolated after the configuration has changed.
const PARTITION_MS: u64 = 4_000;

/// Newest revision seen at each agent, and how often an agent reported an older one.
#[derive(Debug, Default)]
struct RevisionTracker {
    newest: BTreeMap<AgentId, u64>,
    reversions: u64,
    /// Added to a timeout, so that every accepted configuration is a change.
    timeout_increment_ms: u64,
}

/// Runs the trial.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut env = TrialEnvironment::start(args, true, trial::keyed_kinds(0)).await?;
    let mut tracker = RevisionTracker::default();
    let mut longest_ms = 0;
    for _ in 0..args.rounds {
        longest_ms = longest_ms.max(accept(&env, &mut tracker, &[]).await?);
    }
    add_rollout_time(table, "plain: in force everywhere after", longest_ms);
    race_operators(&env, &mut tracker, table).await?;
    set_store_delay(&env, STORE_DELAY_MS).await?;
    let slow_store_ms = accept(&env, &mut tracker, &[]).await?;
    set_store_delay(&env, 0).await?;
    add_rollout_time(
        table,
        "slow store: in force everywhere after",
        slow_store_ms,
    );
    let rejoin_ms = isolate_agent(&env, &mut tracker).await?;
    add_rollout_time(table, "agent cut off: has it after its return", rejoin_ms);
    let restart_ms = restart(&mut env, &mut tracker).await?;
    add_rollout_time(table, "restarted agent: has it after its start", restart_ms);
    let row = FigureRow::of_count(
        "agents that went back to an older revision",
        tracker.reversions,
    );
    table.add(row.with_at_most(0.0));
    env.finish(table).await
}

/// Adds the time of a rollout with its bound.
fn add_rollout_time(table: &mut FigureTable, name: &str, millis: u64) {
    table.add(FigureRow::of_ms(name, millis).with_at_most(MAX_ROLLOUT_MS));
}

/// Accepts a change of the configuration and returns how long it took until every agent but `excluded`
/// had it, in milliseconds.
///
/// # Errors
///
/// If the change is not accepted or an agent does not get it in time.
async fn accept(
    env: &TrialEnvironment,
    tracker: &mut RevisionTracker,
    excluded: &[NodeIndex],
) -> Result<u64> {
    let mut record = plan::seal_registry_record();
    tracker.timeout_increment_ms += 1;
    record.services[0].timeout_ms += tracker.timeout_increment_ms;
    let revision = env.fleet.write_workspace(&record).await?;
    let since = clock::now();
    wait_for_rollout(env, tracker, revision, excluded, since).await
}

/// Waits until every agent but `excluded` has a revision and returns the time since `since`, in milliseconds.
///
/// # Errors
///
/// If an agent does not have the revision in time.
async fn wait_for_rollout(
    env: &TrialEnvironment,
    tracker: &mut RevisionTracker,
    revision: u64,
    excluded: &[NodeIndex],
    since: Millis,
) -> Result<u64> {
    loop {
        let mut behind = 0;
        for node in env.fleet.running() {
            if excluded.contains(&node) {
                continue;
            }
            let Ok(status) = env.fleet.status(node).await else {
                behind += 1;
                continue;
            };
            let newest = tracker.newest.entry(status.id).or_default();
            tracker.reversions += u64::from(status.revision < *newest);
            *newest = status.revision.max(*newest);
            behind += u64::from(status.revision < revision);
        }
        let elapsed_ms = clock::now().since(since);
        if behind == 0 {
            return Ok(elapsed_ms);
        }
        if elapsed_ms > ROLLOUT_TIMEOUT_MS {
            bail!("{behind} agents do not have revision {revision} after {ROLLOUT_TIMEOUT_MS} ms");
        }
        trial::pause(10).await;
    }
}

/// Writes the same workspace three times with the same expected revision, as racing operators do: one
/// write must be applied, and the others must report the current record.
///
/// # Errors
///
/// If the store does not answer or an agent does not get the applied change in time.
async fn race_operators(
    env: &TrialEnvironment,
    tracker: &mut RevisionTracker,
    table: &mut FigureTable,
) -> Result<()> {
    let store = &env.store.0;
    let key = workspace_key(plan::SEAL_REGISTRY_WORKSPACE);
    let base = store.list(&key).await?.records[0].revision;
    let call = |token: u64| -> Result<SwapCall> {
        let mut record = plan::seal_registry_record();
        record.token = token;
        Ok(SwapCall {
            key: key.clone(),
            expect: base,
            value: Some(serde_json::to_string(&record)?.into()),
            lease: None,
        })
    };
    let (one, other) = (call(101)?, call(102)?);
    let outcomes = [
        store.swap(&one).await?,
        store.swap(&other).await?,
        store.swap(&one).await?,
    ];
    let reports_current = |outcome: &&SwapOutcome| {
        matches!(
            outcome,
            SwapOutcome::Conflict {
                current: Some(_),
                ..
            }
        )
    };
    let is_applied = |outcome: &&SwapOutcome| matches!(outcome, SwapOutcome::Applied { .. });
    let winners = outcomes.iter().filter(is_applied).count() as u64;
    let losers = outcomes.iter().filter(reports_current).count() as u64;
    let row = FigureRow::of_count("race of three writes: winners", winners);
    table.add(row.with_at_least(1.0).with_at_most(1.0));
    let row = FigureRow::of_count("race of three writes: losers told what stands", losers);
    table.add(row.with_at_least(2.0));
    let revision = store.list(&key).await?.records[0].revision;
    wait_for_rollout(env, tracker, revision, &[], clock::now()).await?;
    Ok(())
}

/// Isolates an agent, changes the configuration, and returns how long the agent takes to get the change
/// after the links are restored, in milliseconds. An agent that is isolated past its lease is declared
/// dead and rejoins as a new one.
///
/// # Errors
///
/// If the change is not accepted or an agent does not get it in time.
async fn isolate_agent(env: &TrialEnvironment, tracker: &mut RevisionTracker) -> Result<u64> {
    let victim = 1;
    let others = (0..env.fleet.nodes.len()).filter(|other| *other != victim);
    for other in others.chain([STORE_NODE]) {
        env.fleet.cut_both(victim, other);
    }
    accept(env, tracker, &[victim]).await?;
    trial::pause(PARTITION_MS).await;
    let revision = env
        .store
        .0
        .list(&workspace_key(plan::SEAL_REGISTRY_WORKSPACE))
        .await?
        .records[0]
        .revision;
    env.fleet.net.heal();
    wait_for_rollout(env, tracker, revision, &[], clock::now()).await
}

/// Changes the configuration while an agent is down, starts the agent, and returns how long it takes to
/// get the change, in milliseconds.
///
/// # Errors
///
/// If an agent cannot be started or does not get the change in time.
async fn restart(env: &mut TrialEnvironment, tracker: &mut RevisionTracker) -> Result<u64> {
    env.fleet.restart_exited_agents()?;
    env.fleet.wait_ready(READY_TIMEOUT_MS).await?;
    let victim = 2;
    env.remove_entry(victim);
    env.fleet.nodes[victim].kill_agent();
    accept(env, tracker, &[]).await?;
    let revision = env
        .store
        .0
        .list(&workspace_key(plan::SEAL_REGISTRY_WORKSPACE))
        .await?
        .records[0]
        .revision;
    let since = clock::now();
    env.fleet.start_agent(victim)?;
    let rollout_ms = wait_for_rollout(env, tracker, revision, &[], since).await?;
    env.fleet.wait_ready(READY_TIMEOUT_MS).await?;
    Ok(rollout_ms)
}

/// Sets the delay of every call to the store.
///
/// # Errors
///
/// If the store does not accept the fault.
async fn set_store_delay(env: &TrialEnvironment, delay_ms: u64) -> Result<()> {
    let fault = StoreFault {
        slow_ms: Some(delay_ms),
        ..StoreFault::default()
    };
    env.fleet.set_store_fault(&fault).await
}
