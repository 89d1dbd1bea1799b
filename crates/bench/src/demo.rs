//! `jybench demo`: runs both deployments under a mix of requests of every kind, kills an owner, lets an
//! agent leave, and reports the outcomes of the callers' requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use jy_kernel::clock;
use jy_types::request::RefusalKind;
use tokio::time::sleep;

use crate::args;
use crate::args::BenchArgs;
use crate::call;
use crate::call::CallOutcome;
use crate::call::CallPlan;
use crate::call::RefusedRun;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::load::EntryList;
use crate::load::LoadKind;
use crate::load::LoadRun;
use crate::plan;
use crate::plan::CHALKLINE_WORKSPACE;
use crate::plan::REGISTER_PATH;
use crate::plan::SEAL_REGISTRY_WORKSPACE;
use crate::plan::STOCKDESK_SERVICE;
use crate::plan::VERIFIER_SERVICE;
use crate::probe::KeyProbe;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::runner;
use crate::trial;

const READY_TIMEOUT_MS: u64 = 15_000;
/// Longest wait until the probed keys are served; twice as long after the loss of their owner.
const KEY_TIMEOUT_MS: u64 = 5_000;
const LEAVE_TIMEOUT_MS: u64 = 15_000;
/// Time under load before the first fault.
const STEADY_LOAD_MS: u64 = 5_000;
const REQUESTS_PER_S: f64 = 400.0;
const WORKER_COUNT: u32 = 32;
/// Keys of each keyed service.
const KEY_COUNT: u32 = 1_000;
/// Keys of an owner that are probed while it is lost or leaves.
const PROBED_KEYS: usize = 8;

/// Runs the demo.
///
/// # Errors
///
/// If the arguments cannot be parsed or a step of the demo fails.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, 1)?;
    runner::run(run_demo(args))
}

/// Runs every step of the demo.
///
/// # Errors
///
/// If a process cannot be started or a step fails.
async fn run_demo(args: BenchArgs) -> Result<FigureTable> {
    let mut table = FigureTable::new(format!("demo, seed {}", args.seed), args.out.clone());
    let options = FleetOptions {
        keep: args.keep,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(plan::both_deployments(), options).await?;
    let ready_ms = fleet.wait_ready(READY_TIMEOUT_MS).await?;
    println!("{} agents and backend servers are ready", fleet.nodes.len());
    table.add(FigureRow::of_ms("fleet ready", ready_ms).with_at_most(15_000.0));

    check_odd_requests(&fleet, &mut table).await?;
    let entries: EntryList = Rc::new(RefCell::new(fleet.entries()));
    let load = LoadRun::start(
        load_kinds(),
        Rc::clone(&entries),
        WORKER_COUNT,
        REQUESTS_PER_S,
        args.seed,
    );
    sleep(Duration::from_millis(STEADY_LOAD_MS)).await;
    report_steady(&load, &mut table);
    lose_owner(&mut fleet, &entries, &load, &mut table, args.seed).await?;
    leave_gracefully(&mut fleet, &entries, &load, &mut table, args.seed).await?;

    let (counts, _) = load.stop().await;
    table.add(
        FigureRow::of_count("wrong answers at the end", counts.wrong_answers()).with_at_most(0.0),
    );
    trial::report_journals(&fleet, &mut table).await?;
    Ok(table)
}

/// Returns the mix of requests.
fn load_kinds() -> Vec<LoadKind> {
    vec![
        LoadKind::new(SEAL_REGISTRY_WORKSPACE, VERIFIER_SERVICE, Some(KEY_COUNT))
            .with_register_share(0.2),
        LoadKind::new(SEAL_REGISTRY_WORKSPACE, "registry", None).with_register_share(0.2),
        LoadKind::new(SEAL_REGISTRY_WORKSPACE, "catalogue", None),
        LoadKind::new(CHALKLINE_WORKSPACE, STOCKDESK_SERVICE, Some(KEY_COUNT))
            .with_register_share(0.2),
        LoadKind::new(CHALKLINE_WORKSPACE, "orderbook", None).with_register_share(0.2),
        LoadKind::new(CHALKLINE_WORKSPACE, "cataloguer", None),
    ]
}

/// Reports the load before the first fault.
fn report_steady(load: &LoadRun, table: &mut FigureTable) {
    let counts = load.take_counts();
    counts.print("steady load");
    let not_served = counts.total() - counts.served();
    table.add(FigureRow::of_count("steady: served", counts.served()).with_at_least(1.0));
    table.add(FigureRow::of_count("steady: not served", not_served).with_at_most(0.0));
    table.add(FigureRow::new("steady: p50", counts.quantile_ms(0.5), "ms"));
    table.add(FigureRow::new("steady: p99", counts.quantile_ms(0.99), "ms").with_at_most(18.0));
}

/// Kills the owner of a key, waits until its keys are served again, and reports how long that took.
///
/// # Errors
///
/// If an agent does not answer or the first key has no owner.
async fn lose_owner(
    fleet: &mut Fleet,
    entries: &EntryList,
    load: &LoadRun,
    table: &mut FigureTable,
    seed: u64,
) -> Result<()> {
    let (victim, keys) = trial::owned_keys(
        fleet,
        SEAL_REGISTRY_WORKSPACE,
        VERIFIER_SERVICE,
        PROBED_KEYS,
    )
    .await?;
    let victim_addr = fleet.nodes[victim].addrs.caller;
    entries.borrow_mut().retain(|entry| *entry != victim_addr);
    let probe = KeyProbe::start(
        SEAL_REGISTRY_WORKSPACE,
        VERIFIER_SERVICE,
        &keys,
        entries,
        seed,
    );
    probe.wait_served(clock::now(), KEY_TIMEOUT_MS).await;

    let name = fleet.nodes[victim].name();
    let pid = fleet.nodes[victim].agent()?.pid();
    let since = clock::now();
    fleet.nodes[victim].kill_agent();
    println!("killed {name} (process {pid}), owner of {}", keys[0]);
    probe.wait_served(since.plus(500), 2 * KEY_TIMEOUT_MS).await;
    sleep(Duration::from_millis(500)).await;
    let gap_ms = probe.stop().await.longest_gap_since(since);
    let owner = fleet
        .owner(
            fleet.running()[0],
            SEAL_REGISTRY_WORKSPACE,
            VERIFIER_SERVICE,
            &keys[0],
        )
        .await?;
    let owner = owner
        .owner
        .map_or_else(|| "nobody".into(), |owner| owner.name);
    println!("{} is served again, by {owner}, after {gap_ms} ms", keys[0]);

    let counts = load.take_counts();
    counts.print("load while the owner was lost");
    table.add(
        FigureRow::of_ms("owner lost: key unavailable", gap_ms)
            .with_at_most(trial::MAX_TAKEOVER_MS),
    );
    table.add(
        FigureRow::of_count("owner lost: wrong answers", counts.wrong_answers()).with_at_most(0.0),
    );
    table.add(FigureRow::of_count(
        "owner lost: outcome unknown",
        counts.unknown(),
    ));
    Ok(())
}

/// Lets an agent leave gracefully and reports how long that took and how many requests were cut.
///
/// # Errors
///
/// If an agent does not answer or the first key has no owner.
async fn leave_gracefully(
    fleet: &mut Fleet,
    entries: &EntryList,
    load: &LoadRun,
    table: &mut FigureTable,
    seed: u64,
) -> Result<()> {
    let (leaving_node, keys) =
        trial::owned_keys(fleet, CHALKLINE_WORKSPACE, STOCKDESK_SERVICE, PROBED_KEYS).await?;
    let probe = KeyProbe::start(CHALKLINE_WORKSPACE, STOCKDESK_SERVICE, &keys, entries, seed);
    probe.wait_served(clock::now(), KEY_TIMEOUT_MS).await;
    let since = clock::now();
    // Like callers that see their connection close, the load no longer uses an agent that leaves.
    let leaving_node_addr = fleet.nodes[leaving_node].addrs.caller;
    entries
        .borrow_mut()
        .retain(|entry| *entry != leaving_node_addr);
    let is_clean = fleet.nodes[leaving_node].leave(LEAVE_TIMEOUT_MS).await?;
    let leave_ms = clock::now().since(since);
    println!("{} left in {leave_ms} ms", fleet.nodes[leaving_node].name());
    probe.wait_served(clock::now(), KEY_TIMEOUT_MS).await;
    let gap_ms = probe.stop().await.longest_gap_since(since);

    let counts = load.take_counts();
    counts.print("load while an agent left");
    table.add(FigureRow::of_ms("leave: took", leave_ms).with_at_most(15_000.0));
    table.add(
        FigureRow::of_count("leave: ended with exit code 0", u64::from(is_clean))
            .with_at_least(1.0),
    );
    table.add(FigureRow::of_count("leave: cut requests", counts.unanswered()).with_at_most(0.0));
    table.add(
        FigureRow::of_ms("leave: key unavailable", gap_ms).with_at_most(trial::MAX_LEAVE_GAP_MS),
    );
    Ok(())
}

/// Sends requests that must be refused, and repeats that must not run twice, and counts the unexpected
/// outcomes.
///
/// # Errors
///
/// None; the type is that of the other steps.
async fn check_odd_requests(fleet: &Fleet, table: &mut FigureTable) -> Result<()> {
    let client = call::client();
    let entries = fleet.entries();
    let valid = CallPlan {
        workspace: SEAL_REGISTRY_WORKSPACE.into(),
        service: VERIFIER_SERVICE.into(),
        is_post: true,
        path: format!("{REGISTER_PATH}?n=odd").into(),
        key: Some("key-odd".into()),
        idempotency_key: Some(uuid::Uuid::now_v7().to_string().into()),
        timeout_ms: 2_000,
    };
    let mut mismatches = 0;
    for entry in &entries[..3] {
        // The first request runs, and its repeats through other agents get the same answer.
        let (outcome, _) = call::call(&client, *entry, &valid).await;
        mismatches += u64::from(differs("repeat of an id", outcome, CallOutcome::Served));
    }
    let not_run = |kind| CallOutcome::Refused(kind, RefusedRun::No);
    let invalid = [
        (
            CallPlan {
                path: format!("{REGISTER_PATH}?n=other").into(),
                ..valid.clone()
            },
            not_run(RefusalKind::IdReused),
        ),
        (
            CallPlan {
                workspace: "nowhere".into(),
                ..valid.clone()
            },
            not_run(RefusalKind::UnknownService),
        ),
        (
            CallPlan {
                service: "nothing".into(),
                ..valid.clone()
            },
            not_run(RefusalKind::UnknownService),
        ),
        (
            CallPlan {
                key: None,
                ..valid.clone()
            },
            not_run(RefusalKind::BadRequest),
        ),
    ];
    for (plan, expected) in &invalid {
        let (outcome, _) = call::call(&client, entries[0], plan).await;
        mismatches += u64::from(differs(&plan.path, outcome, *expected));
    }
    table.add(
        FigureRow::of_count("odd requests answered otherwise than stated", mismatches)
            .with_at_most(0.0),
    );
    Ok(())
}

/// Returns whether an outcome differs from the expected one, and prints both if it does.
fn differs(request_label: &str, outcome: CallOutcome, expected: CallOutcome) -> bool {
    if outcome != expected {
        println!(
            "{request_label}: expected {:?}, found {:?}",
            expected.label(),
            outcome.label()
        );
    }
    outcome != expected
}
