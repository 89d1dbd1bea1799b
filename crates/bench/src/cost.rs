//! What control costs an agent and the store, by fleet size, without callers' load.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use anyhow::Result;
use awc::Client;
use jy_standins::store_fault::CallCounts;
use jy_types::backend::ANNOUNCE_EVERY_MS;
use jy_types::backend::ANNOUNCE_PATH;
use jy_types::backend::Announcement;
use tokio::time::sleep;

use crate::args;
use crate::args::BenchArgs;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::node::NodeAddrs;
use crate::plan;
use crate::plan::FleetPlan;
use crate::plan::SEALS;
use crate::plan::VERIFIER;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::runner;
use crate::trial;
use crate::usage::ProcessUsage;

/// Fleet sizes.
const SIZES: [usize; 4] = [10, 20, 40, 80];
/// The size that is extrapolated to.
const TARGET_SIZE: f64 = 460.0;
/// Time for a fleet to settle, in milliseconds.
const SETTLE_MS: u64 = 6_000;
/// Length of a measurement, in seconds.
const SPAN_S: u32 = 10;
/// Longest wait for a large fleet to be ready, in milliseconds.
const READY_LIMIT_MS: u64 = 60_000;

/// Control's cost at one fleet size.
#[derive(Clone, Copy, Debug, Default)]
struct CostPoint {
    size: f64,
    cpu_percent: f64,
    cpu_peak_percent: f64,
    rss_mb: f64,
    bytes_per_second: f64,
    writes_per_second: f64,
    reads_per_second: f64,
}

/// Runs the measurement.
///
/// # Errors
///
/// If a fleet does not get ready.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, 1)?;
    runner::run(measure(args))
}

/// Measures every size and extrapolates.
///
/// # Errors
///
/// What could not be done.
async fn measure(args: BenchArgs) -> Result<FigureTable> {
    let mut table = FigureTable::new(format!("cost, seed {}", args.seed), args.out.clone());
    let mut points = Vec::new();
    for size in SIZES {
        let point = measure_size(&args, size).await?;
        report_point(&point, &mut table);
        points.push(point);
    }
    let at = |value: fn(&CostPoint) -> f64| extrapolate(&points, value);
    let row = |name, value, unit| FigureRow::new(format!("at 460 agents: {name}"), value, unit);
    table.add(
        row(
            "processor time an agent",
            at(|p| p.cpu_percent),
            "% of core",
        )
        .with_at_most(4.1),
    );
    table.add(
        row(
            "processor time of the busiest",
            at(|p| p.cpu_peak_percent),
            "% of core",
        )
        .with_at_most(4.1),
    );
    table.add(row("memory an agent", at(|p| p.rss_mb), "MB").with_at_most(32.0));
    table.add(
        row(
            "bytes an agent",
            at(|p| p.bytes_per_second / 1_000.0),
            "KB/s",
        )
        .with_at_most(22.0),
    );
    table.add(row("store writes", at(|p| p.writes_per_second), "1/s").with_at_most(150.0));
    table.add(row("store reads", at(|p| p.reads_per_second), "1/s").with_at_most(1_000.0));
    Ok(table)
}

/// Measures one fleet size.
///
/// # Errors
///
/// What could not be done.
async fn measure_size(args: &BenchArgs, size: usize) -> Result<CostPoint> {
    let mut record = plan::seal_record();
    record.services.retain(|service| service.keyed);
    let mut plan = FleetPlan::new().with_agents("kingston", &record.zones, size);
    plan.workspaces.push(record);
    let options = FleetOptions {
        relayed: true,
        keep: args.keep,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(plan, options).await?;
    let announcers: Vec<JoinHandle<()>> = fleet
        .nodes
        .iter()
        .map(|node| actix_rt::spawn(announce(node.addrs)))
        .collect();
    let ready = fleet.wait_ready(READY_LIMIT_MS).await?;
    println!("{size} agents are ready after {ready} ms");
    trial::pause(SETTLE_MS).await;
    let point = measure_fleet(&mut fleet).await?;
    for announcer in announcers {
        announcer.abort();
    }
    Ok(point)
}

/// Measures a fleet that has settled.
///
/// # Errors
///
/// What could not be done.
async fn measure_fleet(fleet: &mut Fleet) -> Result<CostPoint> {
    let mut pids = Vec::new();
    for node in &mut fleet.nodes {
        pids.push(node.agent()?.pid());
    }
    let read = |pids: &[u32]| -> Result<Vec<ProcessUsage>> {
        pids.iter().map(|pid| ProcessUsage::read(*pid)).collect()
    };
    let before = read(&pids)?;
    let calls = fleet.store_counts().await?;
    let (peers, store) = fleet.net.bytes();
    sleep(Duration::from_secs(u64::from(SPAN_S))).await;
    let after = read(&pids)?;
    let (peers_later, store_later) = fleet.net.bytes();
    let later = fleet.store_counts().await?;

    let span = f64::from(SPAN_S);
    let size = f64::from(u32::try_from(pids.len()).unwrap_or_default());
    let used = before.iter().zip(&after).map(|(before, after)| {
        // Milliseconds a second are a thousandth of a core; in percent, a tenth of that.
        (after.cpu_ms - before.cpu_ms) / span / 10.0
    });
    let used: Vec<f64> = used.collect();
    let rss: f64 = after.iter().map(|usage| usage.rss_mb).sum();
    // A byte between agents is sent by one and received by another.
    let bytes = 2 * (peers_later - peers) + (store_later - store);
    Ok(CostPoint {
        size,
        cpu_percent: used.iter().sum::<f64>() / size,
        cpu_peak_percent: used.iter().copied().fold(0.0, f64::max),
        rss_mb: rss / size,
        bytes_per_second: per_second(bytes) / size,
        writes_per_second: per_second(CallCounts::writes(&later) - CallCounts::writes(&calls)),
        reads_per_second: per_second(CallCounts::reads(&later) - CallCounts::reads(&calls)),
    })
}

/// Turns a count of one measurement into a rate.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one measurement are small"
)]
fn per_second(count: u64) -> f64 {
    count as f64 / f64::from(SPAN_S)
}

/// Reports one fleet size.
fn report_point(point: &CostPoint, table: &mut FigureTable) {
    let row =
        |name, value, unit| FigureRow::new(format!("{} agents: {name}", point.size), value, unit);
    table.add(row(
        "processor time an agent",
        point.cpu_percent,
        "% of core",
    ));
    table.add(row(
        "processor time of the busiest",
        point.cpu_peak_percent,
        "% of core",
    ));
    table.add(row("memory an agent", point.rss_mb, "MB"));
    table.add(row(
        "bytes an agent, sent and received",
        point.bytes_per_second / 1_000.0,
        "KB/s",
    ));
    table.add(row("store writes", point.writes_per_second, "1/s"));
    table.add(row("store reads", point.reads_per_second, "1/s"));
}

/// Extrapolates a figure to the target size by a line of least squares.
fn extrapolate(points: &[CostPoint], value: fn(&CostPoint) -> f64) -> f64 {
    let count = f64::from(u32::try_from(points.len()).unwrap_or_default());
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean = points.iter().map(value).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (value(point) - mean))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    mean + covariance / variance * (TARGET_SIZE - mean_size)
}

/// Announces a backend server that nobody calls, for ever.
async fn announce(addrs: NodeAddrs) {
    let client = Client::default();
    let announcement = Announcement {
        workspace: SEALS.into(),
        service: VERIFIER.into(),
        address: addrs.server,
        slots: 6,
        checks_fence: false,
        start_stamp: 1,
        cold: false,
        draining: false,
    };
    loop {
        let url = format!("http://{}{ANNOUNCE_PATH}", addrs.backend);
        // An agent that is not up yet hears the next one.
        if let Ok(mut answer) = client.post(url).send_json(&announcement).await {
            drop(answer.body().await);
        }
        sleep(Duration::from_millis(ANNOUNCE_EVERY_MS)).await;
    }
}
