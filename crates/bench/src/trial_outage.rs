//! Trial: keys of live owners are served through an outage of the store, and those of an agent lost
//! within it soon after the store's return.

use anyhow::Result;
use jy_kernel::clock;
use jy_standins::store_fault::Outage;
use jy_standins::store_fault::StoreFault;

use crate::args::BenchArgs;
use crate::plan::SEALS;
use crate::plan::VERIFIER;
use crate::probe::KeyProbe;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::SERVED_AGAIN_MS;
use crate::trial::TrialEnvironment;

/// Length of the outage, in milliseconds.
const OUTAGE_MS: u64 = 60_000;
/// The agent is lost this long after the outage began, in milliseconds.
const LOSS_AT_MS: u64 = 40_000;
/// Longest wait for a lost agent's keys, in milliseconds.
const WAIT_MS: u64 = 15_000;
/// Keys that are probed of each owner.
const PROBED_KEYS: usize = 4;

/// Runs the trial: the store refuses, and in a second round it hangs.
///
/// # Errors
///
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let mut bed = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    let outages = [Outage::Refuse, Outage::Hang];
    for round in 0..args.rounds as usize {
        one_outage(&mut bed, outages[round % outages.len()], args.seed, table).await?;
        crate::trial_owner::recover(&mut bed).await?;
    }
    bed.finish(table).await
}

/// Goes through one outage.
///
/// # Errors
///
/// What could not be done.
async fn one_outage(
    bed: &mut TrialEnvironment,
    outage: Outage,
    seed: u64,
    table: &mut FigureTable,
) -> Result<()> {
    let owners = trial::nodes_of(&bed.fleet, VERIFIER);
    let (victim, live) = (owners[0], &owners[1..]);
    let mut live_keys = Vec::new();
    for owner in live {
        let keys = trial::keys_of(&bed.fleet, SEALS, VERIFIER, *owner, PROBED_KEYS).await?;
        live_keys.extend(keys);
    }
    let lost_keys = trial::keys_of(&bed.fleet, SEALS, VERIFIER, victim, PROBED_KEYS).await?;
    bed.leave_out(victim);
    let live_probe = KeyProbe::start(SEALS, VERIFIER, &live_keys, &bed.entries, seed);
    let lost_probe = KeyProbe::start(SEALS, VERIFIER, &lost_keys, &bed.entries, seed + 1);
    live_probe.wait_served(clock::now(), WAIT_MS).await;

    let begun = clock::now();
    set_outage(bed, outage).await?;
    trial::pause(LOSS_AT_MS).await;
    bed.fleet.nodes[victim].kill_agent();
    trial::pause(OUTAGE_MS - LOSS_AT_MS).await;
    set_outage(bed, Outage::None).await?;
    let back = clock::now();
    lost_probe.wait_served(back, WAIT_MS).await;
    let live_times = live_probe.stop().await;
    let lost_times = lost_probe.stop().await;

    let missed = live_times.missed.iter().filter(|(at, _)| *at >= begun);
    let name = |text: &str| format!("{outage:?}: {text}");
    let unserved = missed.count() as u64;
    table
        .add(FigureRow::of_count(name("live keys: probes not served"), unserved).with_at_most(0.0));
    let gap = live_times.longest_since(begun);
    table.add(FigureRow::of_ms(
        name("live keys: longest time between two served probes"),
        gap,
    ));
    let again = lost_times.longest_since(back);
    let row = FigureRow::of_ms(name("lost agent's keys served after the return"), again);
    table.add(row.with_at_most(SERVED_AGAIN_MS));
    Ok(())
}

/// Begins or ends an outage.
///
/// # Errors
///
/// What could not be done.
async fn set_outage(bed: &TrialEnvironment, outage: Outage) -> Result<()> {
    let fault = StoreFault {
        outage: Some(outage),
        ..StoreFault::default()
    };
    bed.fleet.fault_store(&fault).await
}
