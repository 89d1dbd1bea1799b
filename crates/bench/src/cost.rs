//! Measures what the control plane costs an agent and the store at several fleet sizes, without requests
//! of callers, and extrapolates the figures to the target size.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use anyhow::Result;
use awc::Client;
use jy_standins::store_fault::CallCounts;
use jy_types::backend::ANNOUNCE_INTERVAL_MS;
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
use crate::plan::SEAL_REGISTRY_WORKSPACE;
use crate::plan::VERIFIER_SERVICE;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::runner;
use crate::trial;
use crate::usage::ProcessUsage;

const FLEET_SIZES: [usize; 4] = [10, 20, 40, 80];
/// Number of agents that the figures are extrapolated to.
const TARGET_FLEET_SIZE: f64 = 460.0;
/// Pause after a fleet is ready, so that start-up work is not measured.
const SETTLE_MS: u64 = 6_000;
const MEASUREMENT_S: u32 = 10;
/// Longest wait for a fleet to be ready; the largest fleet takes longest.
const READY_TIMEOUT_MS: u64 = 60_000;

/// Cost of the control plane at one fleet size. Figures other than those of the store are per agent.
#[derive(Clone, Copy, Debug, Default)]
struct CostPoint {
    size: f64,
    /// Mean of all agents, in percent of a core.
    cpu_percent: f64,
    /// Maximum of all agents, in percent of a core.
    cpu_peak_percent: f64,
    rss_mb: f64,
    /// Bytes sent and received, to and from other agents and the store.
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

/// Measures every fleet size and extrapolates to the target size.
///
/// # Errors
///
/// If a fleet can't be started, does not get ready or can't be measured.
async fn measure(args: BenchArgs) -> Result<FigureTable> {
    let mut table = FigureTable::new(format!("cost, seed {}", args.seed), args.out.clone());
    let mut points = Vec::new();
    for size in FLEET_SIZES {
        let point = measure_size(&args, size).await?;
        report_point(&point, &mut table);
        points.push(point);
    }
    let extrapolated = |value: fn(&CostPoint) -> f64| extrapolate(&points, value);
    let row = |name, value, unit| FigureRow::new(format!("at 460 agents: {name}"), value, unit);
    table.add(
        row(
            "processor time an agent",
            extrapolated(|p| p.cpu_percent),
            "% of core",
        )
        .with_at_most(4.1),
    );
    table.add(
        row(
            "processor time of the busiest",
            extrapolated(|p| p.cpu_peak_percent),
            "% of core",
        )
        .with_at_most(4.1),
    );
    table.add(row("memory an agent", extrapolated(|p| p.rss_mb), "MB").with_at_most(32.0));
    table.add(
        row(
            "bytes an agent",
            extrapolated(|p| p.bytes_per_second / 1_000.0),
            "KB/s",
        )
        .with_at_most(22.0),
    );
    table
        .add(row("store writes", extrapolated(|p| p.writes_per_second), "1/s").with_at_most(150.0));
    table
        .add(row("store reads", extrapolated(|p| p.reads_per_second), "1/s").with_at_most(1_000.0));
    Ok(table)
}

/// Starts a fleet of one size, with an announcer in place of each backend server, and measures it.
///
/// # Errors
///
/// If the fleet can't be started, does not get ready or can't be measured.
async fn measure_size(args: &BenchArgs, size: usize) -> Result<CostPoint> {
    let mut record = plan::seal_registry_record();
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
    let ready = fleet.wait_ready(READY_TIMEOUT_MS).await?;
    println!("{size} agents are ready after {ready} ms");
    trial::pause(SETTLE_MS).await;
    let point = measure_fleet(&mut fleet).await?;
    for announcer in announcers {
        announcer.abort();
    }
    Ok(point)
}

/// Measures a fleet for [`MEASUREMENT_S`] seconds.
///
/// # Errors
///
/// If an agent is not running, its usage can't be read, or the store does not answer.
async fn measure_fleet(fleet: &mut Fleet) -> Result<CostPoint> {
    let mut pids = Vec::new();
    for node in &mut fleet.nodes {
        pids.push(node.agent()?.pid());
    }
    let read_usages = |pids: &[u32]| -> Result<Vec<ProcessUsage>> {
        pids.iter().map(|pid| ProcessUsage::read(*pid)).collect()
    };
    let usage_before = read_usages(&pids)?;
    let calls_before = fleet.store_counts().await?;
    let (peer_bytes_before, store_bytes_before) = fleet.net.bytes();
    sleep(Duration::from_secs(u64::from(MEASUREMENT_S))).await;
    let usage_after = read_usages(&pids)?;
    let (peer_bytes_after, store_bytes_after) = fleet.net.bytes();
    let calls_after = fleet.store_counts().await?;

    let seconds = f64::from(MEASUREMENT_S);
    let size = f64::from(u32::try_from(pids.len()).unwrap_or_default());
    let cpu_percents = usage_before
        .iter()
        .zip(&usage_after)
        .map(|(before, after)| {
            // 1 ms of processor time per second is a thousandth of a core, or 0.1 %.
            (after.cpu_ms - before.cpu_ms) / seconds / 10.0
        });
    let cpu_percents: Vec<f64> = cpu_percents.collect();
    let total_rss_mb: f64 = usage_after.iter().map(|usage| usage.rss_mb).sum();
    // A byte between agents counts twice, since one agent sends it and another receives it.
    let bytes =
        2 * (peer_bytes_after - peer_bytes_before) + (store_bytes_after - store_bytes_before);
    Ok(CostPoint {
        size,
        cpu_percent: cpu_percents.iter().sum::<f64>() / size,
        cpu_peak_percent: cpu_percents.iter().copied().fold(0.0, f64::max),
        rss_mb: total_rss_mb / size,
        bytes_per_second: per_second(bytes) / size,
        writes_per_second: per_second(
            CallCounts::writes(&calls_after) - CallCounts::writes(&calls_before),
        ),
        reads_per_second: per_second(
            CallCounts::reads(&calls_after) - CallCounts::reads(&calls_before),
        ),
    })
}

/// Converts a count over one measurement to a rate per second.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one measurement are small"
)]
fn per_second(count: u64) -> f64 {
    count as f64 / f64::from(MEASUREMENT_S)
}

/// Reports the figures of one fleet size.
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

/// Extrapolates a figure to the target size by linear least squares.
fn extrapolate(points: &[CostPoint], value: fn(&CostPoint) -> f64) -> f64 {
    let count = f64::from(u32::try_from(points.len()).unwrap_or_default());
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(value).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (value(point) - mean_value))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    mean_value + covariance / variance * (TARGET_FLEET_SIZE - mean_size)
}

/// Announces a backend server that receives no requests, until the task is aborted.
async fn announce(addrs: NodeAddrs) {
    let client = Client::default();
    let announcement = Announcement {
        workspace: SEAL_REGISTRY_WORKSPACE.into(),
        service: VERIFIER_SERVICE.into(),
        address: addrs.server,
        slots: 6,
        checks_fence: false,
        start_stamp: 1,
        cold: false,
        draining: false,
    };
    loop {
        let url = format!("http://{}{ANNOUNCE_PATH}", addrs.backend);
        // A failure is ignored: if the agent has not started yet, a later announcement reaches it.
        if let Ok(mut answer) = client.post(url).send_json(&announcement).await {
            drop(answer.body().await);
        }
        sleep(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
    }
}
