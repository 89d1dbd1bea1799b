//! The main job in one run: both deployments, a mix of requests of every kind, an owner killed, an
//! agent that leaves, and what callers saw of it.

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
use crate::plan::CHALK;
use crate::plan::REGISTER_PATH;
use crate::plan::SEALS;
use crate::plan::STOCKDESK;
use crate::plan::VERIFIER;
use crate::probe::KeyProbe;
use crate::report::FigureRow;
use crate::report::FigureTable;
use crate::runner;
use crate::trial;

/// Longest wait for the fleet to be ready, in milliseconds.
const READY_LIMIT_MS: u64 = 15_000;
/// Longest wait for a key to be served, in milliseconds.
const KEY_LIMIT_MS: u64 = 5_000;
/// Longest time that a graceful leave takes, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 15_000;
/// Length of the quiet part of the load, in milliseconds.
const STEADY_MS: u64 = 5_000;
/// Requests a second of the whole load.
const RATE: f64 = 400.0;
/// Workers of the load.
const WORKERS: u32 = 32;
/// Keys of each keyed service.
const KEYS: u32 = 1_000;
/// Keys that are watched while an owner goes.
const PROBED_KEYS: usize = 8;

/// Runs the demo.
///
/// # Errors
///
/// If a program can't be started or a step can't be taken.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, 1)?;
    runner::run(demo(args))
}

/// Takes every step of the demo.
///
/// # Errors
///
/// What could not be done.
async fn demo(args: BenchArgs) -> Result<FigureTable> {
    let mut table = FigureTable::new(format!("demo, seed {}", args.seed), args.out.clone());
    let options = FleetOptions {
        keep: args.keep,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(plan::both(), options).await?;
    let ready_ms = fleet.wait_ready(READY_LIMIT_MS).await?;
    println!("{} agents and backend servers are ready", fleet.nodes.len());
    table.add(FigureRow::of_ms("fleet ready", ready_ms).with_at_most(15_000.0));

    try_odd_requests(&fleet, &mut table).await?;
    let entries: EntryList = Rc::new(RefCell::new(fleet.entries()));
    let load = LoadRun::start(kinds(), Rc::clone(&entries), WORKERS, RATE, args.seed);
    sleep(Duration::from_millis(STEADY_MS)).await;
    report_steady(&load, &mut table);
    lose_owner(&mut fleet, &entries, &load, &mut table, args.seed).await?;
    leave(&mut fleet, &entries, &load, &mut table, args.seed).await?;

    let (tally, _) = load.stop().await;
    table.add(FigureRow::of_count("wrong answers at the end", tally.wrong()).with_at_most(0.0));
    trial::report_journals(&fleet, &mut table).await?;
    Ok(table)
}

/// The mix of requests.
fn kinds() -> Vec<LoadKind> {
    vec![
        LoadKind::new(SEALS, VERIFIER, Some(KEYS)).with_registers(0.2),
        LoadKind::new(SEALS, "registry", None).with_registers(0.2),
        LoadKind::new(SEALS, "catalogue", None),
        LoadKind::new(CHALK, STOCKDESK, Some(KEYS)).with_registers(0.2),
        LoadKind::new(CHALK, "orderbook", None).with_registers(0.2),
        LoadKind::new(CHALK, "cataloguer", None),
    ]
}

/// Reports the load while nothing fails.
fn report_steady(load: &LoadRun, table: &mut FigureTable) {
    let tally = load.take_counts();
    tally.print("steady load");
    let lost = tally.total() - tally.served();
    table.add(FigureRow::of_count("steady: served", tally.served()).with_at_least(1.0));
    table.add(FigureRow::of_count("steady: not served", lost).with_at_most(0.0));
    table.add(FigureRow::new("steady: p50", tally.quantile_ms(0.5), "ms"));
    table.add(FigureRow::new("steady: p99", tally.quantile_ms(0.99), "ms").with_at_most(18.0));
}

/// Kills the owner of a key and waits until its keys are served again.
///
/// # Errors
///
/// What could not be done.
async fn lose_owner(
    fleet: &mut Fleet,
    entries: &EntryList,
    load: &LoadRun,
    table: &mut FigureTable,
    seed: u64,
) -> Result<()> {
    let (victim, keys) = trial::owned_keys(fleet, SEALS, VERIFIER, PROBED_KEYS).await?;
    let victim_addr = fleet.nodes[victim].addrs.caller;
    entries.borrow_mut().retain(|entry| *entry != victim_addr);
    let probe = KeyProbe::start(SEALS, VERIFIER, &keys, entries, seed);
    probe.wait_served(clock::now(), KEY_LIMIT_MS).await;

    let name = fleet.nodes[victim].name();
    let pid = fleet.nodes[victim].agent()?.pid();
    let since = clock::now();
    fleet.nodes[victim].kill_agent();
    println!("killed {name} (process {pid}), owner of {}", keys[0]);
    probe.wait_served(since.plus(500), 2 * KEY_LIMIT_MS).await;
    sleep(Duration::from_millis(500)).await;
    let gap = probe.stop().await.longest_since(since);
    let owner = fleet
        .owner(fleet.running()[0], SEALS, VERIFIER, &keys[0])
        .await?;
    let owner = owner
        .owner
        .map_or_else(|| "nobody".into(), |owner| owner.name);
    println!("{} is served again, by {owner}, after {gap} ms", keys[0]);

    let tally = load.take_counts();
    tally.print("load while the owner was lost");
    table.add(
        FigureRow::of_ms("owner lost: key unavailable", gap).with_at_most(trial::SERVED_AGAIN_MS),
    );
    table.add(FigureRow::of_count("owner lost: wrong answers", tally.wrong()).with_at_most(0.0));
    table.add(FigureRow::of_count(
        "owner lost: outcome unknown",
        tally.unknown(),
    ));
    Ok(())
}

/// Lets an agent leave and looks for cut requests.
///
/// # Errors
///
/// What could not be done.
async fn leave(
    fleet: &mut Fleet,
    entries: &EntryList,
    load: &LoadRun,
    table: &mut FigureTable,
    seed: u64,
) -> Result<()> {
    let (leaver, keys) = trial::owned_keys(fleet, CHALK, STOCKDESK, PROBED_KEYS).await?;
    let probe = KeyProbe::start(CHALK, STOCKDESK, &keys, entries, seed);
    probe.wait_served(clock::now(), KEY_LIMIT_MS).await;
    let since = clock::now();
    // Callers stop coming to an agent that leaves, as a caller does that sees its connection close.
    let leaver_addr = fleet.nodes[leaver].addrs.caller;
    entries.borrow_mut().retain(|entry| *entry != leaver_addr);
    let clean = fleet.nodes[leaver].leave(LEAVE_LIMIT_MS).await?;
    let took = clock::now().since(since);
    println!("{} left in {took} ms", fleet.nodes[leaver].name());
    probe.wait_served(clock::now(), KEY_LIMIT_MS).await;
    let gap = probe.stop().await.longest_since(since);

    let tally = load.take_counts();
    tally.print("load while an agent left");
    table.add(FigureRow::of_ms("leave: took", took).with_at_most(15_000.0));
    table.add(
        FigureRow::of_count("leave: ended with exit code 0", u64::from(clean)).with_at_least(1.0),
    );
    table.add(FigureRow::of_count("leave: cut requests", tally.cut()).with_at_most(0.0));
    table.add(FigureRow::of_ms("leave: key unavailable", gap).with_at_most(trial::LEAVE_GAP_MS));
    Ok(())
}

/// Sends requests that must be refused, and repeats that must not run twice.
///
/// # Errors
///
/// What could not be done.
async fn try_odd_requests(fleet: &Fleet, table: &mut FigureTable) -> Result<()> {
    let client = call::client();
    let entries = fleet.entries();
    let good = CallPlan {
        workspace: SEALS.into(),
        service: VERIFIER.into(),
        is_post: true,
        path: format!("{REGISTER_PATH}?n=odd").into(),
        key: Some("key-odd".into()),
        idempotency_key: Some(uuid::Uuid::now_v7().to_string().into()),
        timeout_ms: 2_000,
    };
    let mut mistakes = 0;
    for entry in &entries[..3] {
        // The first runs; the repeats through other agents get the same answer.
        let (end, _) = call::call(&client, *entry, &good).await;
        mistakes += u64::from(expect("repeat of an id", end, CallOutcome::Served));
    }
    let not_run = |kind| CallOutcome::Refused(kind, RefusedRun::No);
    let bad = [
        (
            CallPlan {
                path: format!("{REGISTER_PATH}?n=other").into(),
                ..good.clone()
            },
            not_run(RefusalKind::IdReused),
        ),
        (
            CallPlan {
                workspace: "nowhere".into(),
                ..good.clone()
            },
            not_run(RefusalKind::UnknownService),
        ),
        (
            CallPlan {
                service: "nothing".into(),
                ..good.clone()
            },
            not_run(RefusalKind::UnknownService),
        ),
        (
            CallPlan {
                key: None,
                ..good.clone()
            },
            not_run(RefusalKind::BadRequest),
        ),
    ];
    for (plan, wanted) in &bad {
        let (end, _) = call::call(&client, entries[0], plan).await;
        mistakes += u64::from(expect(&plan.path, end, *wanted));
    }
    table.add(
        FigureRow::of_count("odd requests answered otherwise than stated", mistakes)
            .with_at_most(0.0),
    );
    Ok(())
}

/// Prints and returns whether an end differs from the one that is expected.
fn expect(what: &str, end: CallOutcome, wanted: CallOutcome) -> bool {
    if end != wanted {
        println!(
            "{what}: expected {:?}, found {:?}",
            wanted.label(),
            end.label()
        );
    }
    end != wanted
}
