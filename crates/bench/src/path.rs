//! Measures the cost of the request path. Latency is measured in one run over three paths at once: direct
//! calls to the backend server, calls through its own agent, and calls across two agents. Processor time is
//! measured for each path alone.

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
use crate::plan::SEAL_REGISTRY_WORKSPACE;
use crate::plan::VERIFIER_SERVICE;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::runner;
use crate::trial;
use crate::usage::ProcessUsage;

/// Names of the measured paths to a backend server, as printed.
const PATHS: [&str; 3] = ["direct", "same agent", "across agents"];
/// Requests per second on each path: half the capacity of six slots at about 3 ms a request.
const REQUESTS_PER_SECOND: f64 = 900.0;
/// Workers of each path: as many as a backend server has slots, so that no call waits for a slot.
const WORKERS_PER_PATH: u32 = 6;
/// Duration of the idle measurement and of each load, in milliseconds.
const PHASE_MS: u64 = 6_000;

/// A fleet with the entry, the key and the agents of each path. Each path has its own backend server, since a
/// direct call takes a slot that the gate does not count.
struct PathEnvironment {
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

/// Measures latency on all paths at once, then the processor time of each path through agents.
///
/// # Errors
///
/// If the fleet does not get ready, an agent owns no key, or the usage of an agent can't be read.
async fn measure(args: BenchArgs) -> Result<FigureTable> {
    let mut table = FigureTable::new(format!("path, seed {}", args.seed), args.out.clone());
    let options = FleetOptions {
        keep: args.keep,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(plan::with_seal_registry(FleetPlan::new()), options).await?;
    fleet.wait_ready(trial::READY_TIMEOUT_MS).await?;
    let mut environment = new_environment(fleet).await?;
    let idle_ms_per_second = measure_idle(&mut environment, &mut table).await?;
    run_load(&environment, &[0, 1, 2]).await;
    let counts = run_load(&environment, &[0, 1, 2]).await;
    report_latency(&counts, &mut table);
    for path_index in 1..PATHS.len() {
        report_cpu(&mut environment, path_index, idle_ms_per_second, &mut table).await?;
    }
    Ok(table)
}

/// Chooses a backend server and a key that its agent owns for each path.
///
/// # Errors
///
/// If the owners of keys can't be read or an agent owns no key.
async fn new_environment(fleet: Fleet) -> Result<PathEnvironment> {
    let owners = trial::nodes_of(&fleet, VERIFIER_SERVICE);
    let (direct, same, across, gateway) = (owners[0], owners[1], owners[2], owners[3]);
    let mut keys = Vec::new();
    for owner in [direct, same, across] {
        let owned =
            trial::keys_of(&fleet, SEAL_REGISTRY_WORKSPACE, VERIFIER_SERVICE, owner, 1).await?;
        keys.push(owned.into_iter().next().context("an agent owns no key")?);
    }
    let addrs = |node: NodeIndex| fleet.nodes[node].addrs;
    Ok(PathEnvironment {
        entries: [
            addrs(direct).server,
            addrs(same).caller,
            addrs(gateway).caller,
        ],
        keys: [0, 1, 2].map(|path_index| Name::clone(&keys[path_index])),
        agents: [Vec::new(), vec![same], vec![across, gateway]],
        fleet,
    })
}

/// Measures an agent without load. Returns its processor time per second, in milliseconds.
///
/// # Errors
///
/// If the agent is not running or its usage can't be read.
async fn measure_idle(environment: &mut PathEnvironment, table: &mut FigureTable) -> Result<f64> {
    let pid = environment.fleet.nodes[environment.agents[1][0]]
        .agent()?
        .pid();
    let before = ProcessUsage::read(pid)?;
    trial::pause(PHASE_MS).await;
    let after = ProcessUsage::read(pid)?;
    #[expect(clippy::cast_precision_loss, reason = "a phase is a few seconds")]
    let seconds = PHASE_MS as f64 / 1_000.0;
    let idle_ms_per_second = (after.cpu_ms - before.cpu_ms) / seconds;
    table.add(FigureRow::new("idle agent: memory", after.rss_mb, "MB").with_at_most(16.0));
    table.add(FigureRow::new(
        "idle agent: processor time",
        idle_ms_per_second / 10.0,
        "% of core",
    ));
    Ok(idle_ms_per_second)
}

/// Sends a load over the given paths at once. Returns the counts of every path; those of the others are
/// empty.
async fn run_load(environment: &PathEnvironment, path_indices: &[usize]) -> Vec<LoadCounts> {
    let counts: Rc<RefCell<Vec<LoadCounts>>> =
        Rc::new(RefCell::new(vec![LoadCounts::new(); PATHS.len()]));
    let client = call::client();
    let until = Instant::now() + Duration::from_millis(PHASE_MS);
    let interval = Duration::from_secs_f64(f64::from(WORKERS_PER_PATH) / REQUESTS_PER_SECOND);
    let workers: Vec<_> = (0..WORKERS_PER_PATH as usize * path_indices.len())
        .map(|worker| {
            let path_index = path_indices[worker % path_indices.len()];
            let counts = Rc::clone(&counts);
            let plan = request_of(&environment.keys[path_index], worker);
            let entry = environment.entries[path_index];
            let client = client.clone();
            let first_due = Instant::now()
                + interval.mul_f64(
                    f64::from(u32::try_from(worker).unwrap_or_default())
                        / f64::from(WORKERS_PER_PATH),
                );
            actix_rt::spawn(async move {
                let results = run_worker(&client, entry, &plan, first_due, interval, until).await;
                for (outcome, latency) in results {
                    counts.borrow_mut()[path_index].add(outcome, latency);
                }
            })
        })
        .collect();
    for worker in workers {
        // A panic in a worker has already been printed; none of its requests are counted.
        drop(worker.await);
    }
    counts.take()
}

/// Sends a request at each interval from `first_due` to `until`. Returns the outcome and latency of each.
async fn run_worker(
    client: &Client,
    addr: SocketAddr,
    plan: &CallPlan,
    first_due: Instant,
    interval: Duration,
    until: Instant,
) -> Vec<(call::CallOutcome, Duration)> {
    let mut due = first_due;
    let mut results = Vec::new();
    while due < until {
        sleep_until(due).await;
        due = (due + interval).max(Instant::now());
        results.push(call::call(client, addr, plan).await);
    }
    results
}

/// Returns the request that a worker repeats.
fn request_of(key: &Name, worker: usize) -> CallPlan {
    CallPlan {
        workspace: SEAL_REGISTRY_WORKSPACE.into(),
        service: VERIFIER_SERVICE.into(),
        is_post: false,
        path: format!("/query?n={worker}").into(),
        key: Some(Name::clone(key)),
        idempotency_key: None,
        timeout_ms: 2_000,
    }
}

/// Reports the latency of each path, and how much the paths through agents add to the direct one.
fn report_latency(counts: &[LoadCounts], table: &mut FigureTable) {
    for (path_name, path_counts) in PATHS.iter().zip(counts) {
        let unserved = path_counts.total() - path_counts.served();
        path_counts.print(path_name);
        table.add(
            FigureRow::of_count(format!("{path_name}: served"), path_counts.served())
                .with_at_least(1.0),
        );
        table.add(
            FigureRow::of_count(format!("{path_name}: not served"), unserved).with_at_most(0.0),
        );
        table.add(FigureRow::new(
            format!("{path_name}: p50"),
            path_counts.quantile_ms(0.5),
            "ms",
        ));
        table.add(FigureRow::new(
            format!("{path_name}: p99"),
            path_counts.quantile_ms(0.99),
            "ms",
        ));
    }
    for path_index in 1..PATHS.len() {
        let added =
            |quantile| counts[path_index].quantile_ms(quantile) - counts[0].quantile_ms(quantile);
        let name = PATHS[path_index];
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

/// Reports the processor time per request of all agents on one path, less the time that they use when idle.
///
/// # Errors
///
/// If an agent is not running or its usage can't be read.
async fn report_cpu(
    environment: &mut PathEnvironment,
    path_index: usize,
    idle_ms_per_second: f64,
    table: &mut FigureTable,
) -> Result<()> {
    let agents = environment.agents[path_index].clone();
    let mut pids = Vec::new();
    for agent in &agents {
        pids.push(environment.fleet.nodes[*agent].agent()?.pid());
    }
    let read_cpu_ms = |pids: &[u32]| -> Result<f64> {
        let usages = pids.iter().map(|pid| ProcessUsage::read(*pid));
        Ok(usages
            .collect::<Result<Vec<_>>>()?
            .iter()
            .map(|usage| usage.cpu_ms)
            .sum())
    };
    let start = Instant::now();
    let before_ms = read_cpu_ms(&pids)?;
    let counts = run_load(environment, &[path_index]).await;
    let used_ms = read_cpu_ms(&pids)? - before_ms;
    #[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
    let requests = counts[path_index].total().max(1) as f64;
    let agent_count = f64::from(u32::try_from(agents.len()).unwrap_or_default());
    let request_ms = used_ms - idle_ms_per_second * start.elapsed().as_secs_f64() * agent_count;
    let name = format!(
        "{}: processor time per request, all agents",
        PATHS[path_index]
    );
    table.add(FigureRow::new(name, request_ms / requests * 1_000.0, "us"));
    Ok(())
}
