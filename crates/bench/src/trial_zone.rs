//! Trial: a zone taken out gets no new work after a few seconds, cuts nothing, and comes back.

use anyhow::Result;
use jy_kernel::clock;
use jy_standins::store_fault::StoreFault;
use jy_types::name::Name;
use jy_types::time::Millis;

use crate::args::BenchArgs;
use crate::plan;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::trial;
use crate::trial::TrialEnvironment;

/// No new work goes to a zone this long after it was taken out, in milliseconds.
const QUIET_AFTER_MS: u64 = 3_000;
/// A zone stays out for this long, in milliseconds.
const OUT_MS: u64 = 6_000;
/// Work is back within this time, in milliseconds.
const BACK_MS: u64 = 8_000;
/// Delay of every call of the slow store, in milliseconds.
const SLOW_MS: u64 = 300;

/// Runs the trial: a zone, two in a row, and one with a slow store.
///
/// # Errors
///
/// If a step can't be taken.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let bed = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    trial::pause(QUIET_AFTER_MS).await;
    drop(bed.load.take_counts());
    let zones = plan::seal_record().zones;
    take_out(&bed, &zones[0], "plain", table).await?;
    take_out(&bed, &zones[1], "a second zone", table).await?;
    set_slow(&bed, SLOW_MS).await?;
    take_out(&bed, &zones[2], "slow store", table).await?;
    set_slow(&bed, 0).await?;
    bed.finish(table).await
}

/// Takes a zone out and back and reports the work that it got.
///
/// # Errors
///
/// What could not be done.
async fn take_out(
    bed: &TrialEnvironment,
    zone: &Name,
    name: &str,
    table: &mut FigureTable,
) -> Result<()> {
    let mut record = plan::seal_record();
    record.zones_out = vec![Name::clone(zone)];
    let out_at = clock::now();
    bed.fleet.accept(&record).await?;
    trial::pause(OUT_MS).await;
    let back_at = clock::now();
    record.zones_out.clear();
    bed.fleet.accept(&record).await?;
    trial::pause(BACK_MS).await;

    let starts = starts_in(bed, zone).await?;
    let while_out: Vec<Millis> = starts
        .iter()
        .copied()
        .filter(|at| *at > out_at && *at < back_at)
        .collect();
    let late = while_out
        .iter()
        .filter(|at| at.since(out_at) > QUIET_AFTER_MS);
    let last = while_out.iter().max().map_or(0, |at| at.since(out_at));
    let first = starts.iter().filter(|at| **at >= back_at).min();
    let again = first.map_or(BACK_MS, |at| at.since(back_at));
    let tally = bed.load.take_counts();
    tally.print(&format!("load while {zone} was out ({name})"));

    let row = |text: &str| format!("{name}: {text}");
    table.add(FigureRow::of_count(row("new work past 3 s"), late.count() as u64).with_at_most(0.0));
    table.add(FigureRow::of_ms(row("last new work after"), last).with_at_most(3_000.0));
    table.add(FigureRow::of_count(row("requests cut"), tally.cut()).with_at_most(0.0));
    table.add(FigureRow::of_count(
        row("requests not served"),
        tally.total() - tally.served(),
    ));
    table.add(FigureRow::new(row("p99"), tally.quantile_ms(0.99), "ms"));
    table.add(FigureRow::of_ms(row("work again after"), again).with_at_most(8_000.0));
    Ok(())
}

/// Returns when runs in a zone started.
///
/// # Errors
///
/// What could not be done.
async fn starts_in(bed: &TrialEnvironment, zone: &str) -> Result<Vec<Millis>> {
    let mut starts = Vec::new();
    for node in trial::nodes_in(&bed.fleet, zone) {
        let runs = bed.fleet.journal(node).await?;
        starts.extend(runs.iter().map(|run| run.start));
    }
    Ok(starts)
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
