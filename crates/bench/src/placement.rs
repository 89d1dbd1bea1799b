//! `jybench placement`: imbalance, churn and settling of the controller's placement in a fake
//! fleet in memory, beside plain modulo placement, at several fleet sizes.

use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use jy_control::api::ControlEvent;
use jy_control::api::ControlSettings;
use jy_control::core::ControlState;
use jy_control::fake_agents::FleetEvent;
use jy_control::fake_agents::FleetSettings;
use jy_control::fake_agents::service_key;
use jy_control::fake_fleet::FakeFleet;
use jy_types::key::KeyHash;
use jy_types::key::SLICES;
use jy_types::record::RecordBatch;

use crate::args;
use crate::placement_figures::ShareFigures;
use crate::placement_figures::modulo_moves;
use crate::placement_figures::modulo_shares;
use crate::placement_figures::resident_bytes;
use crate::placement_figures::shares;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Fleet sizes without arguments.
const SIZES: [usize; 4] = [3, 10, 100, 460];

/// Requests a second of an average owner: 1.8 million over 460.
const RATE_PER_OWNER: f64 = 3_913.0;

/// Keys in use.
const KEYS: u64 = 410_000_000;

/// Largest churn, as a multiple of the least number of moves.
const CHURN_LIMIT: f64 = 1.2;

/// Largest imbalance, peak over mean.
const IMBALANCE_LIMIT: f64 = 1.10;

/// Largest imbalance, as a multiple of what the hottest key alone makes.
const FLOOR_LIMIT: f64 = 1.05;

/// Longest time until the load is even again after the hottest keys changed, in seconds.
const SETTLE_LIMIT_S: f64 = 120.0;

/// Longest time until the units of a lost owner have another, in milliseconds.
const TAKEOVER_LIMIT_MS: f64 = 5_000.0;

/// Longest time until a zone taken out owns nothing, in milliseconds.
const ZONE_OUT_LIMIT_MS: f64 = 3_000.0;

/// Half of the store's writes a second.
const STORE_WRITE_LIMIT: f64 = 150.0;

/// Time for a fleet to settle, in milliseconds.
const QUIET_MS: u64 = 30_000;

/// Controllers rebuilt to measure the memory of one.
const MEMORY_COPIES: usize = 16;

/// Number of hottest keys that change.
const HOTTEST: usize = 25;

/// Runs the trials.
///
/// # Errors
///
/// If an argument is not understood.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, 1)?;
    let sizes: Vec<usize> = args
        .names
        .iter()
        .map(|name| name.parse().context("sizes are numbers of owners"))
        .collect::<Result<_>>()?;
    let sizes = if sizes.is_empty() {
        SIZES.to_vec()
    } else {
        sizes
    };
    let title = format!("placement, seed {}, {} seed(s)", args.seed, args.rounds);
    let mut table = FigureTable::new(title, args.out);
    for size in sizes {
        let mut trial = SizeTrial::default();
        for round in 0..u64::from(args.rounds) {
            let seed = args.seed + round;
            trial = trial.with_worst(even_trial(size, seed));
            trial = trial.with_worst(skewed_trial(size, seed));
            trial = trial.with_worst(loss_trial(size, seed));
        }
        table.rows.extend(trial.rows);
    }
    Ok(table)
}

/// The rows of one fleet size, the worst of all seeds.
#[derive(Default)]
struct SizeTrial {
    rows: Vec<FigureRow>,
}

impl SizeTrial {
    /// Keeps the larger value of each figure; the smaller where the bound is a least one.
    fn with_worst(mut self, rows: Vec<FigureRow>) -> Self {
        for row in rows {
            match self.rows.iter_mut().find(|old| old.name == row.name) {
                Some(old) => {
                    let worse = if row.at_least.is_some() {
                        row.value < old.value
                    } else {
                        row.value > old.value
                    };
                    if worse {
                        *old = row;
                    }
                }
                None => self.rows.push(row),
            }
        }
        self
    }
}

/// Returns the settings of a fleet.
fn settings(size: usize, exponent: f64) -> FleetSettings {
    let large = size > 100;
    FleetSettings {
        zones: 3,
        regions: if large { 3 } else { 1 },
        racks: if size > 10 { 4 } else { 2 },
        agents: size,
        candidates: 1,
        rate: RATE_PER_OWNER * size as f64,
        keys: KEYS,
        exponent,
        noise: true,
        ..FleetSettings::default()
    }
}

/// Number of the zone that is taken out or lost; the candidate stands in zone 0.
const TRIAL_ZONE: usize = 1;

/// Returns the share figures of the fleet as it is.
fn shares_now(fleet: &FakeFleet, out: Option<usize>) -> ShareFigures {
    let service = service_key(0);
    let owners = fleet
        .agents()
        .iter()
        .filter(|agent| agent.is_up() && agent.leaving_at.is_none() && Some(agent.zone) != out)
        .count();
    let load = &fleet.loads()[&service];
    fleet
        .checks
        .pages
        .get(&service)
        .map_or_else(ShareFigures::default, |pages| shares(load, pages, owners))
}

/// Lets something happen and returns the moves until the fleet is quiet.
fn moves_of(fleet: &mut FakeFleet, event: &FleetEvent) -> f64 {
    let before = fleet.checks.moves;
    fleet.apply(event);
    fleet.run(QUIET_MS);
    (fleet.checks.moves - before) as f64
}

/// Units of an agent.
fn units_of(fleet: &FakeFleet, agent: usize) -> f64 {
    let id = &fleet.agents()[agent].id;
    let units = fleet.checks.units_by_owner();
    units.get(id).copied().unwrap_or_default() as f64
}

/// Units of all agents in a zone.
fn units_in(fleet: &FakeFleet, zone: usize) -> f64 {
    let agents = fleet.agents().iter().enumerate();
    agents
        .filter(|(_, agent)| agent.zone == zone)
        .map(|(number, _)| units_of(fleet, number))
        .sum()
}

/// An even load: churn at a join, a leave, a zone out and back.
fn even_trial(size: usize, seed: u64) -> Vec<FigureRow> {
    let name = |figure: &str| format!("{size} owners, even: {figure}");
    let mut fleet = FakeFleet::new(settings(size, 0.0), seed);
    fleet.run(QUIET_MS);
    let start = shares_now(&fleet, None);
    let start_moves = fleet.checks.moves as f64;
    let mut rows = vec![
        FigureRow::new(name("imbalance after start"), start.imbalance, "ratio")
            .with_at_most(IMBALANCE_LIMIT),
        FigureRow::new(name("moves at start"), start_moves, "units"),
    ];
    let churn = |moves: f64, least: f64| moves / least.max(1.0);
    let least = f64::from(SLICES) / (size as f64 + 1.0);
    let join = moves_of(&mut fleet, &FleetEvent::Join { zone: 2 });
    let joined = shares_now(&fleet, None);
    let modulo = modulo_moves(size, size + 1);
    rows.extend([
        FigureRow::new(
            name("churn at a join"),
            churn(join, least.floor()),
            "x least",
        )
        .with_at_most(CHURN_LIMIT),
        FigureRow::new(
            name("churn at a join, modulo"),
            churn(modulo, least),
            "x least",
        ),
        FigureRow::new(name("imbalance after a join"), joined.imbalance, "ratio")
            .with_at_most(IMBALANCE_LIMIT),
    ]);
    let least = units_of(&fleet, size);
    let leave = moves_of(&mut fleet, &FleetEvent::Leave { agent: size });
    rows.push(
        FigureRow::new(name("churn at a leave"), churn(leave, least), "x least")
            .with_at_most(CHURN_LIMIT),
    );
    let least = units_in(&fleet, TRIAL_ZONE);
    let out = moves_of(&mut fleet, &FleetEvent::ZoneOut { zone: TRIAL_ZONE });
    let imbalance = shares_now(&fleet, Some(TRIAL_ZONE)).imbalance;
    let back = moves_of(&mut fleet, &FleetEvent::ZoneIn { zone: TRIAL_ZONE });
    let after = shares_now(&fleet, None);
    let millis = fleet.times.get("zone_out_ms").copied().unwrap_or(u64::MAX) as f64;
    rows.extend([
        FigureRow::new(name("churn at a zone out"), churn(out, least), "x least")
            .with_at_most(CHURN_LIMIT),
        FigureRow::new(name("time of a zone out"), millis, "ms").with_at_most(ZONE_OUT_LIMIT_MS),
        FigureRow::new(name("imbalance with a zone out"), imbalance, "ratio")
            .with_at_most(IMBALANCE_LIMIT),
        FigureRow::new(name("churn at a zone back"), churn(back, least), "x least")
            .with_at_most(CHURN_LIMIT),
        FigureRow::new(
            name("imbalance after a zone back"),
            after.imbalance,
            "ratio",
        )
        .with_at_most(IMBALANCE_LIMIT),
    ]);
    rows.extend(faults(&fleet, &name("records broken")));
    rows
}

/// Returns the count of everything that the records must never show.
fn faults(fleet: &FakeFleet, name: &str) -> Vec<FigureRow> {
    let checks = &fleet.checks;
    let broken = checks.overlaps
        + checks.lost
        + checks.fences_not_grown
        + checks.terms_broken
        + checks.verdicts_changed
        + checks.granted_to_lost
        + fleet.open_changes() as u64;
    vec![FigureRow::new(name, broken as f64, "count").with_at_most(0.0)]
}

/// A skewed load: imbalance, hot keys, and settling when the hottest keys change.
fn skewed_trial(size: usize, seed: u64) -> Vec<FigureRow> {
    let name = |figure: &str| format!("{size} owners, Zipf 1.0: {figure}");
    let mut fleet = FakeFleet::new(settings(size, 1.0), seed);
    let (first_s, shares_first) = settle(&mut fleet);
    let modulo = modulo_shares(&fleet.loads()[&service_key(0)], size);
    let before = fleet.checks.moves;
    fleet.apply(&FleetEvent::ChangeHottest { count: HOTTEST });
    let (settle_s, shares_changed) = settle(&mut fleet);
    let moves = (fleet.checks.moves - before) as f64;
    let limit = |figures: ShareFigures| IMBALANCE_LIMIT.max(figures.floor * FLOOR_LIMIT);
    let mut rows = vec![
        FigureRow::new(
            name("imbalance after start"),
            shares_first.imbalance,
            "ratio",
        )
        .with_at_most(limit(shares_first)),
        FigureRow::new(name("time to settle after start"), first_s, "s")
            .with_at_most(SETTLE_LIMIT_S),
        FigureRow::new(
            name("imbalance after hottest 25 changed"),
            shares_changed.imbalance,
            "ratio",
        )
        .with_at_most(limit(shares_changed)),
        FigureRow::new(
            name("time to settle after hottest 25 changed"),
            settle_s,
            "s",
        )
        .with_at_most(SETTLE_LIMIT_S),
        FigureRow::new(name("moves after hottest 25 changed"), moves, "units"),
        FigureRow::new(
            name("floor by the hottest key"),
            shares_changed.floor,
            "ratio",
        ),
        FigureRow::new(name("imbalance, modulo"), modulo.imbalance, "ratio"),
        FigureRow::new(name("pinned keys"), pinned(&fleet).len() as f64, "keys"),
    ];
    let service = service_key(0);
    let pins = pinned(&fleet);
    let hottest = fleet.loads()[&service].hottest_keys(HOTTEST);
    let missing = hottest.filter(|key| !pins.contains(key)).count();
    rows.push(FigureRow::new(
        name("hottest 25 keys not pinned"),
        missing as f64,
        "keys",
    ));
    rows.extend(faults(&fleet, &name("records broken")));
    rows
}

/// Returns the pinned keys.
fn pinned(fleet: &FakeFleet) -> Vec<KeyHash> {
    let pages = fleet.checks.pages.values().flat_map(|pages| pages.values());
    pages
        .flat_map(|page| page.pins.iter().map(|pin| pin.key))
        .collect()
}

/// Runs a fleet for the longest time allowed and some more; returns after how many seconds the
/// load was within its bound for good, and the shares at the end.
fn settle(fleet: &mut FakeFleet) -> (f64, ShareFigures) {
    let begun = fleet.now();
    let mut settled_at = begun;
    let mut within = false;
    while fleet.now().since(begun) < 180_000 {
        fleet.run(1_000);
        let figures = shares_now(fleet, None);
        let holds = figures.imbalance <= IMBALANCE_LIMIT.max(figures.floor * FLOOR_LIMIT);
        if holds && !within {
            settled_at = fleet.now();
        }
        within = holds;
    }
    let seconds = if within {
        settled_at.since(begun) as f64 / 1_000.0
    } else {
        f64::INFINITY
    };
    (seconds, shares_now(fleet, None))
}

/// Returns nanoseconds since the first call.
fn meter() -> u64 {
    static BEGUN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let begun = BEGUN.get_or_init(Instant::now);
    u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Rebuilds a controller from the records alone.
fn rebuild(fleet: &FakeFleet) -> ControlState {
    let batch = RecordBatch {
        records: fleet.store().records().cloned().collect(),
        complete_to: fleet.store().revision(),
    };
    let control = ControlState::new(ControlSettings::default(), 1);
    let now = fleet.now();
    let (control, _) = control.step(now, ControlEvent::Records(batch));
    let (control, _) = control.step(now, ControlEvent::Elected { term: 1_000 });
    control
}

/// Losses of an owner and of a zone, and what the controller costs.
fn loss_trial(size: usize, seed: u64) -> Vec<FigureRow> {
    let name = |figure: &str| format!("{size} owners, Zipf 1.0: {figure}");
    let mut fleet = FakeFleet::new(settings(size, 1.0), seed).with_meter(meter);
    fleet.run(90_000);
    let spent = fleet.spent_nanos;
    let writes = fleet.store().write_count();
    fleet.run(60_000);
    let share = (fleet.spent_nanos - spent) as f64 / 60e9 * 100.0;
    let writes = f64::from(fleet.store().write_count() - writes) / 60.0;
    let before = resident_bytes();
    let copies: Vec<ControlState> = (0..MEMORY_COPIES).map(|_| rebuild(&fleet)).collect();
    let memory = (resident_bytes() - before) / copies.len() as f64 / 1e6;
    drop(copies);
    let mut rows = vec![
        FigureRow::new(name("controller, quiet"), share, "% of a core"),
        FigureRow::new(name("store writes, quiet"), writes, "1/s"),
        FigureRow::new(name("memory of a controller"), memory, "MB"),
        FigureRow::new(
            name("largest page"),
            fleet.checks.page_bytes as f64,
            "bytes",
        )
        .with_at_most(1_048_576.0),
    ];
    let least = units_of(&fleet, size - 1);
    let lost = FleetEvent::LoseAgent { agent: size - 1 };
    let moves = moves_of(&mut fleet, &lost);
    rows.push(
        FigureRow::new(name("churn at a loss"), moves / least.max(1.0), "x least")
            .with_at_most(CHURN_LIMIT),
    );
    if size > 3 {
        let since = fleet.now();
        let spent = fleet.spent_nanos;
        fleet.apply(&FleetEvent::LoseZone { zone: TRIAL_ZONE });
        fleet.run(10_000);
        let share = (fleet.spent_nanos - spent) as f64 / 10e9 * 100.0;
        let peak = f64::from(fleet.store().peak_writes(since));
        rows.extend([
            FigureRow::new(name("store writes in a second, zone lost"), peak, "1/s")
                .with_at_most(STORE_WRITE_LIMIT),
            FigureRow::new(
                name("controller, 10 s from a zone's loss"),
                share,
                "% of a core",
            ),
        ]);
        fleet.run(QUIET_MS);
    }
    let takeover = fleet.times.get("takeover_ms").copied().unwrap_or(u64::MAX);
    rows.push(
        FigureRow::new(name("time to new owners"), takeover as f64, "ms")
            .with_at_most(TAKEOVER_LIMIT_MS),
    );
    rows.extend(faults(&fleet, &name("records broken by losses")));
    rows
}
