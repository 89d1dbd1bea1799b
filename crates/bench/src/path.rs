//! What the path costs: a direct call to the backend server, through its own agent, and across two
//! agents, side by side in one run, and processor time by itself.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use awc::Client;
use jy_types::name::Name;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::args;
use crate::args::BenchArgs;
use crate::call;
use crate::call::CallPlan;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::load_counts::LoadCounts;
use crate::plan;
use crate::plan::FleetPlan;
use crate::plan::SEALS;
use crate::plan::VERIFIER;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::runner;
use crate::trial;
use crate::usage::ProcessUsage;

/// Ways to the backend server.
const WAYS: [&str; 3] = ["direct", "same agent", "across agents"];
/// Requests a second of each way: half of what six slots of about 3 ms bear.
const RATE: f64 = 900.0;
/// Workers of each way: as many as a backend server has slots, so that no call waits for one.
const WORKERS: u32 = 6;
/// Length of a phase, in milliseconds.
const PHASE_MS: u64 = 6_000;

/// A fleet and, for each way, where its requests enter and the key that they carry. Each way has a
/// backend server of its own, since a direct call takes a slot that no gate knows of.
struct PathBed {
    fleet: Fleet,
    entries: [SocketAddr; 3],
    keys: [Name; 3],
    agents: [Vec<NodeIndex>; 3],
}

/// Runs the measurement.
///
/// # Errors
///
/// If the fleet does not get ready.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, 1)?;
    runner::run(measure(args))
}

/// Measures latency side by side, then processor time of each way.
///
/// # Errors
///
/// What could not be done.
async fn measure(args: BenchArgs) -> Result<FigureTable> {
    let mut table = FigureTable::new(format!("path, seed {}", args.seed), args.out.clone());
    let options = FleetOptions {
        keep: args.keep,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(plan::seals(FleetPlan::new()), options).await?;
    fleet.wait_ready(trial::READY_LIMIT_MS).await?;
    let mut bed = make_bed(fleet).await?;
    let idle = idle(&mut bed, &mut table).await?;
    load(&bed, &[0, 1, 2]).await;
    let tallies = load(&bed, &[0, 1, 2]).await;
    report_latency(&tallies, &mut table);
    for way in 1..WAYS.len() {
        report_cpu(&mut bed, way, idle, &mut table).await?;
    }
    Ok(table)
}

/// Chooses a backend server for each way.
///
/// # Errors
///
/// What could not be done.
async fn make_bed(fleet: Fleet) -> Result<PathBed> {
    let owners = trial::nodes_of(&fleet, VERIFIER);
    let (direct, same, across, gateway) = (owners[0], owners[1], owners[2], owners[3]);
    let mut keys = Vec::new();
    for owner in [direct, same, across] {
        let owned = trial::keys_of(&fleet, SEALS, VERIFIER, owner, 1).await?;
        keys.push(owned.into_iter().next().context("an agent owns no key")?);
    }
    let addrs = |node: NodeIndex| fleet.nodes[node].addrs;
    Ok(PathBed {
        entries: [
            addrs(direct).server,
            addrs(same).caller,
            addrs(gateway).caller,
        ],
        keys: [0, 1, 2].map(|way| Name::clone(&keys[way])),
        agents: [Vec::new(), vec![same], vec![across, gateway]],
        fleet,
    })
}

/// Measures an agent that has no load; returns its processor time a second.
///
/// # Errors
///
/// What could not be done.
async fn idle(bed: &mut PathBed, table: &mut FigureTable) -> Result<f64> {
    let pid = bed.fleet.nodes[bed.agents[1][0]].agent()?.pid();
    let before = ProcessUsage::read(pid)?;
    trial::pause(PHASE_MS).await;
    let after = ProcessUsage::read(pid)?;
    #[expect(clippy::cast_precision_loss, reason = "a phase is a few seconds")]
    let seconds = PHASE_MS as f64 / 1_000.0;
    let idle = (after.cpu_ms - before.cpu_ms) / seconds;
    table.add(FigureRow::new("idle agent: memory", after.rss_mb, "MB").with_at_most(16.0));
    table.add(FigureRow::new(
        "idle agent: processor time",
        idle / 10.0,
        "% of core",
    ));
    Ok(idle)
}

/// Sends a load over some ways at once and returns a tally for each of all ways.
async fn load(bed: &PathBed, ways: &[usize]) -> Vec<LoadCounts> {
    let tallies: Rc<RefCell<Vec<LoadCounts>>> =
        Rc::new(RefCell::new(vec![LoadCounts::new(); WAYS.len()]));
    let client = call::client();
    let until = Instant::now() + Duration::from_millis(PHASE_MS);
    let pause = Duration::from_secs_f64(f64::from(WORKERS) / RATE);
    let workers: Vec<_> = (0..WORKERS as usize * ways.len())
        .map(|worker| {
            let way = ways[worker % ways.len()];
            let tallies = Rc::clone(&tallies);
            let plan = plan_of(&bed.keys[way], worker);
            let entry = bed.entries[way];
            let client = client.clone();
            let first = Instant::now()
                + pause.mul_f64(
                    f64::from(u32::try_from(worker).unwrap_or_default()) / f64::from(WORKERS),
                );
            actix_rt::spawn(async move {
                let taken = work(&client, entry, &plan, first, pause, until).await;
                for (end, took) in taken {
                    tallies.borrow_mut()[way].add(end, took);
                }
            })
        })
        .collect();
    for worker in workers {
        // A worker that panicked has printed why; its requests are missing.
        drop(worker.await);
    }
    tallies.take()
}

/// Sends requests at a pace until a point in time.
async fn work(
    client: &Client,
    addr: SocketAddr,
    plan: &CallPlan,
    first: Instant,
    pause: Duration,
    until: Instant,
) -> Vec<(call::CallOutcome, Duration)> {
    let mut due = first;
    let mut taken = Vec::new();
    while due < until {
        sleep_until(due).await;
        due = (due + pause).max(Instant::now());
        taken.push(call::call(client, addr, plan).await);
    }
    taken
}

/// The request of a worker.
fn plan_of(key: &Name, worker: usize) -> CallPlan {
    CallPlan {
        workspace: SEALS.into(),
        service: VERIFIER.into(),
        is_post: false,
        path: format!("/query?n={worker}").into(),
        key: Some(Name::clone(key)),
        idempotency_key: None,
        timeout_ms: 2_000,
    }
}

/// Reports latency of each way and what it adds to the direct one.
fn report_latency(tallies: &[LoadCounts], table: &mut FigureTable) {
    for (way, tally) in WAYS.iter().zip(tallies) {
        let lost = tally.total() - tally.served();
        tally.print(way);
        table.add(FigureRow::of_count(format!("{way}: served"), tally.served()).with_at_least(1.0));
        table.add(FigureRow::of_count(format!("{way}: not served"), lost).with_at_most(0.0));
        table.add(FigureRow::new(
            format!("{way}: p50"),
            tally.quantile_ms(0.5),
            "ms",
        ));
        table.add(FigureRow::new(
            format!("{way}: p99"),
            tally.quantile_ms(0.99),
            "ms",
        ));
    }
    for way in 1..WAYS.len() {
        let added =
            |quantile| tallies[way].quantile_ms(quantile) - tallies[0].quantile_ms(quantile);
        let name = WAYS[way];
        table.add(FigureRow::new(
            format!("{name}: added at p50"),
            added(0.5),
            "ms",
        ));
        table.add(
            FigureRow::new(format!("{name}: added at p99"), added(0.99), "ms").with_at_most(1.0),
        );
    }
}

/// Reports processor time per request of the agents on one way, without what they use when idle.
///
/// # Errors
///
/// What could not be done.
async fn report_cpu(
    bed: &mut PathBed,
    way: usize,
    idle: f64,
    table: &mut FigureTable,
) -> Result<()> {
    let agents = bed.agents[way].clone();
    let mut pids = Vec::new();
    for agent in &agents {
        pids.push(bed.fleet.nodes[*agent].agent()?.pid());
    }
    let read = |pids: &[u32]| -> Result<f64> {
        let used = pids.iter().map(|pid| ProcessUsage::read(*pid));
        Ok(used
            .collect::<Result<Vec<_>>>()?
            .iter()
            .map(|used| used.cpu_ms)
            .sum())
    };
    let start = Instant::now();
    let before = read(&pids)?;
    let tallies = load(bed, &[way]).await;
    let used = read(&pids)? - before;
    #[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
    let requests = tallies[way].total().max(1) as f64;
    let agents = f64::from(u32::try_from(agents.len()).unwrap_or_default());
    let own = used - idle * start.elapsed().as_secs_f64() * agents;
    let name = format!("{}: processor time per request, all agents", WAYS[way]);
    table.add(FigureRow::new(name, own / requests * 1_000.0, "us"));
    Ok(())
}
