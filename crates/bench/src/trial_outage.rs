//! Trial: checks that keys of live owners are served throughout an outage of the store, and that keys of
//! an agent lost during the outage are served soon after the store returns.

use anyhow::Result;
use jy_kernel::clock;
use jy_standins::store_fault::Outage;
use jy_standins::store_fault::StoreFault;

use crate::args::BenchArgs;
use crate::plan::SEAL_REGISTRY_WORKSPACE;
use crate::plan::VERIFIER_SERVICE;
use crate::probe::KeyProbe;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::MAX_TAKEOVER_MS;
use crate::trial::TrialEnvironment;

const OUTAGE_DURATION_MS: u64 = 60_000;
/// Time between the start of the outage and the loss of the agent.
const LOSS_DELAY_MS: u64 = 40_000;
/// Longest wait until all probed keys are served.
const SERVED_TIMEOUT_MS: u64 = 15_000;
/// Keys of each owner that are probed.
const PROBED_KEYS: usize = 4;

/// Runs the trial. The store refuses calls in the first round and hangs in the second, and so on in turn.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut env = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    let outages = [Outage::Refuse, Outage::Hang];
    for round in 0..args.rounds as usize {
        run_outage(&mut env, outages[round % outages.len()], args.seed, table).await?;
        crate::trial_owner::recover(&mut env).await?;
    }
    env.finish(table).await
}

/// Runs one outage, kills an agent during it, and reports when the keys were served.
///
/// # Errors
///
/// If an agent or the store does not answer.
async fn run_outage(
    env: &mut TrialEnvironment,
    outage: Outage,
    seed: u64,
    table: &mut FigureTable,
) -> Result<()> {
    let owners = trial::nodes_of(&env.fleet, VERIFIER_SERVICE);
    let (victim, live) = (owners[0], &owners[1..]);
    let mut live_keys = Vec::new();
    for owner in live {
        let keys = trial::keys_of(
            &env.fleet,
            SEAL_REGISTRY_WORKSPACE,
            VERIFIER_SERVICE,
            *owner,
            PROBED_KEYS,
        )
        .await?;
        live_keys.extend(keys);
    }
    let lost_keys = trial::keys_of(
        &env.fleet,
        SEAL_REGISTRY_WORKSPACE,
        VERIFIER_SERVICE,
        victim,
        PROBED_KEYS,
    )
    .await?;
    env.remove_entry(victim);
    let live_probe = KeyProbe::start(
        SEAL_REGISTRY_WORKSPACE,
        VERIFIER_SERVICE,
        &live_keys,
        &env.entries,
        seed,
    );
    let lost_probe = KeyProbe::start(
        SEAL_REGISTRY_WORKSPACE,
        VERIFIER_SERVICE,
        &lost_keys,
        &env.entries,
        seed + 1,
    );
    live_probe
        .wait_served(clock::now(), SERVED_TIMEOUT_MS)
        .await;

    let outage_start = clock::now();
    set_outage(env, outage).await?;
    trial::pause(LOSS_DELAY_MS).await;
    env.fleet.nodes[victim].kill_agent();
    trial::pause(OUTAGE_DURATION_MS - LOSS_DELAY_MS).await;
    set_outage(env, Outage::None).await?;
    let outage_end = clock::now();
    lost_probe.wait_served(outage_end, SERVED_TIMEOUT_MS).await;
    let live_times = live_probe.stop().await;
    let lost_times = lost_probe.stop().await;

    let failed = live_times
        .failed
        .iter()
        .filter(|(at, _)| *at >= outage_start);
    let row_name = |text: &str| format!("{outage:?}: {text}");
    let failed_count = failed.count() as u64;
    table.add(
        FigureRow::of_count(row_name("live keys: probes not served"), failed_count)
            .with_at_most(0.0),
    );
    let longest_gap_ms = live_times.longest_gap_since(outage_start);
    table.add(FigureRow::of_ms(
        row_name("live keys: longest time between two served probes"),
        longest_gap_ms,
    ));
    let recovery_ms = lost_times.longest_gap_since(outage_end);
    let row = FigureRow::of_ms(
        row_name("lost agent's keys served after the return"),
        recovery_ms,
    );
    table.add(row.with_at_most(MAX_TAKEOVER_MS));
    Ok(())
}

/// Starts an outage of the store, or ends it with [`Outage::None`].
///
/// # Errors
///
/// If the store does not accept the fault.
async fn set_outage(env: &TrialEnvironment, outage: Outage) -> Result<()> {
    let fault = StoreFault {
        outage: Some(outage),
        ..StoreFault::default()
    };
    env.fleet.set_store_fault(&fault).await
}
