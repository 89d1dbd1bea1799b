//! Trial: checks that an availability zone that is taken out gets no new requests after 3 s, that no
//! request is cut, and that the zone gets requests again once it is put back.

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

/// Bound on the time that a zone still gets new requests after it was taken out.
const MAX_DRAIN_MS: u64 = 3_000;
const ZONE_OUT_MS: u64 = 6_000;
/// Bound on the time until a zone that was put back gets requests again.
const MAX_RETURN_MS: u64 = 8_000;
/// Delay of every call to the slow store.
const STORE_DELAY_MS: u64 = 300;

/// Runs the trial: takes out one zone, then a second one, and a third one while the store is slow.
///
/// # Errors
///
/// If a step of the trial fails.
pub async fn run(args: &BenchArgs, table: &mut FigureTable) -> Result<()> {
    let env = TrialEnvironment::start(args, false, trial::mixed_kinds()).await?;
    trial::pause(MAX_DRAIN_MS).await;
    drop(env.load.take_counts());
    let zones = plan::seal_registry_record().zones;
    take_out(&env, &zones[0], "plain", table).await?;
    take_out(&env, &zones[1], "a second zone", table).await?;
    set_store_delay(&env, STORE_DELAY_MS).await?;
    take_out(&env, &zones[2], "slow store", table).await?;
    set_store_delay(&env, 0).await?;
    env.finish(table).await
}

/// Takes a zone out, puts it back and reports the requests that it got.
///
/// # Errors
///
/// If the configuration is not accepted or a backend server does not answer.
async fn take_out(
    env: &TrialEnvironment,
    zone: &Name,
    name: &str,
    table: &mut FigureTable,
) -> Result<()> {
    let mut record = plan::seal_registry_record();
    record.zones_out = vec![Name::clone(zone)];
    let out_at = clock::now();
    env.fleet.write_workspace(&record).await?;
    trial::pause(ZONE_OUT_MS).await;
    let returned_at = clock::now();
    record.zones_out.clear();
    env.fleet.write_workspace(&record).await?;
    trial::pause(MAX_RETURN_MS).await;

    let run_starts = run_starts_in(env, zone).await?;
    let starts_while_out: Vec<Millis> = run_starts
        .iter()
        .copied()
        .filter(|at| *at > out_at && *at < returned_at)
        .collect();
    let late_starts = starts_while_out
        .iter()
        .filter(|at| at.since(out_at) > MAX_DRAIN_MS);
    let last_start_ms = starts_while_out
        .iter()
        .max()
        .map_or(0, |at| at.since(out_at));
    let first_return = run_starts.iter().filter(|at| **at >= returned_at).min();
    let return_ms = first_return.map_or(MAX_RETURN_MS, |at| at.since(returned_at));
    let counts = env.load.take_counts();
    counts.print(&format!("load while {zone} was out ({name})"));

    let row_name = |text: &str| format!("{name}: {text}");
    table.add(
        FigureRow::of_count(row_name("new work past 3 s"), late_starts.count() as u64)
            .with_at_most(0.0),
    );
    table.add(
        FigureRow::of_ms(row_name("last new work after"), last_start_ms).with_at_most(3_000.0),
    );
    table.add(FigureRow::of_count(row_name("requests cut"), counts.unanswered()).with_at_most(0.0));
    table.add(FigureRow::of_count(
        row_name("requests not served"),
        counts.total() - counts.served(),
    ));
    table.add(FigureRow::new(
        row_name("p99"),
        counts.quantile_ms(0.99),
        "ms",
    ));
    table.add(FigureRow::of_ms(row_name("work again after"), return_ms).with_at_most(8_000.0));
    Ok(())
}

/// Returns the start times of all runs at a zone's backend servers.
///
/// # Errors
///
/// If a backend server does not answer.
async fn run_starts_in(env: &TrialEnvironment, zone: &str) -> Result<Vec<Millis>> {
    let mut run_starts = Vec::new();
    for node in trial::nodes_in(&env.fleet, zone) {
        let runs = env.fleet.journal(node).await?;
        run_starts.extend(runs.iter().map(|run| run.start));
    }
    Ok(run_starts)
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
