//! `jybench placement`: measures the controller's placement in a simulated fleet.
//!
//! Reports imbalance, churn, time to settle and the controller's own cost at several fleet sizes, and
//! compares with modulo placement.

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
use crate::placement_figures::LoadBalance;
use crate::placement_figures::load_balance;
use crate::placement_figures::modulo_balance;
use crate::placement_figures::modulo_moves;
use crate::placement_figures::resident_bytes;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Fleet sizes when the arguments name none.
const DEFAULT_SIZES: [usize; 4] = [3, 10, 100, 460];

/// Requests per second of an average owner: 1.8 million over 460 owners.
const REQUESTS_PER_S_PER_OWNER: f64 = 3_913.0;

const KEYS_IN_USE: u64 = 410_000_000;

/// Bound on the moves, as a multiple of the minimum number of moves.
const MAX_CHURN: f64 = 1.2;

/// Bound on the peak load over the mean load of owners.
const MAX_IMBALANCE: f64 = 1.10;

/// Bound on the imbalance, as a multiple of the one that the hottest key alone causes. It applies where
/// it exceeds `MAX_IMBALANCE`.
const MAX_IMBALANCE_OVER_FLOOR: f64 = 1.05;

/// Bound on the time until the load is balanced after the start and after the hottest keys change.
const MAX_SETTLE_S: f64 = 120.0;

/// Bound on the time until the units of a lost owner have a new owner.
const MAX_TAKEOVER_MS: f64 = 5_000.0;

/// Bound on the time until an availability zone that is taken out of service owns no units.
const MAX_ZONE_OUT_MS: f64 = 3_000.0;

/// Half of the writes per second that the store can take.
const MAX_STORE_WRITES_PER_S: f64 = 150.0;

/// Time that a fleet gets to settle after an event.
const SETTLE_WAIT_MS: u64 = 30_000;

/// Number of controllers built to measure the memory of one.
const CONTROLLER_COPIES: usize = 16;

/// Number of hottest keys that are replaced by others.
const HOTTEST_KEYS: usize = 25;

/// Runs the trials at every fleet size and keeps the worst figures of all seeds.
///
/// # Errors
///
/// If an option is unknown, or its value is missing or not a number, or if a fleet size is not a number.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, 1)?;
    let sizes: Vec<usize> = args
        .names
        .iter()
        .map(|name| {
            name.parse()
                .context("fleet sizes must be numbers of owners")
        })
        .collect::<Result<_>>()?;
    let sizes = if sizes.is_empty() {
        DEFAULT_SIZES.to_vec()
    } else {
        sizes
    };
    let title = format!("placement, seed {}, {} seed(s)", args.seed, args.rounds);
    let mut table = FigureTable::new(title, args.out);
    for size in sizes {
        let mut trial = SizeTrial::default();
        for round in 0..u64::from(args.rounds) {
            let seed = args.seed + round;
            trial = trial.with_worst(uniform_load_trial(size, seed));
            trial = trial.with_worst(skewed_load_trial(size, seed));
            trial = trial.with_worst(loss_trial(size, seed));
        }
        table.rows.extend(trial.rows);
    }
    Ok(table)
}

/// Worst figures over all seeds for one fleet size.
#[derive(Default)]
struct SizeTrial {
    rows: Vec<FigureRow>,
}

impl SizeTrial {
    /// Keeps the larger value of each figure, or the smaller one if the figure has a lower bound.
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

/// Returns the settings of a fleet of `size` agents with a Zipf `exponent` of the keys' load.
fn settings(size: usize, exponent: f64) -> FleetSettings {
    let large = size > 100;
    FleetSettings {
        zones: 3,
        regions: if large { 3 } else { 1 },
        racks: if size > 10 { 4 } else { 2 },
        agents: size,
        candidates: 1,
        rate: REQUESTS_PER_S_PER_OWNER * size as f64,
        keys: KEYS_IN_USE,
        exponent,
        noise: true,
        ..FleetSettings::default()
    }
}

/// Availability zone that is taken out of service or lost. The only controller candidate is in zone 0.
const TRIAL_ZONE: usize = 1;

/// Returns the current balance of the load over the agents that are up, not leaving and outside
/// `excluded_zone`.
fn current_balance(fleet: &FakeFleet, excluded_zone: Option<usize>) -> LoadBalance {
    let service = service_key(0);
    let owners = fleet
        .agents()
        .iter()
        .filter(|agent| {
            agent.is_up() && agent.leaving_at.is_none() && Some(agent.zone) != excluded_zone
        })
        .count();
    let load = &fleet.loads()[&service];
    fleet
        .checks
        .pages
        .get(&service)
        .map_or_else(LoadBalance::default, |pages| {
            load_balance(load, pages, owners)
        })
}

/// Applies an event and returns the number of moves while the fleet settles.
fn moves_after(fleet: &mut FakeFleet, event: &FleetEvent) -> f64 {
    let before = fleet.checks.moves;
    fleet.apply(event);
    fleet.run(SETTLE_WAIT_MS);
    (fleet.checks.moves - before) as f64
}

/// Returns the number of units that an agent owns.
fn units_of(fleet: &FakeFleet, agent: usize) -> f64 {
    let id = &fleet.agents()[agent].id;
    let units = fleet.checks.units_by_owner();
    units.get(id).copied().unwrap_or_default() as f64
}

/// Returns the number of units that all agents of an availability zone own.
fn units_in(fleet: &FakeFleet, zone: usize) -> f64 {
    let agents = fleet.agents().iter().enumerate();
    agents
        .filter(|(_, agent)| agent.zone == zone)
        .map(|(index, _)| units_of(fleet, index))
        .sum()
}

/// Measures churn under a uniform load: at a join, at a leave, and when an availability zone is taken
/// out of service and put back.
fn uniform_load_trial(size: usize, seed: u64) -> Vec<FigureRow> {
    let name = |figure: &str| format!("{size} owners, even: {figure}");
    let mut fleet = FakeFleet::new(settings(size, 0.0), seed);
    fleet.run(SETTLE_WAIT_MS);
    let initial = current_balance(&fleet, None);
    let start_moves = fleet.checks.moves as f64;
    let mut rows = vec![
        FigureRow::new(name("imbalance after start"), initial.imbalance, "ratio")
            .with_at_most(MAX_IMBALANCE),
        FigureRow::new(name("moves at start"), start_moves, "units"),
    ];
    let churn = |moves: f64, min_moves: f64| moves / min_moves.max(1.0);
    let min_moves = f64::from(SLICES) / (size as f64 + 1.0);
    let join_moves = moves_after(&mut fleet, &FleetEvent::Join { zone: 2 });
    let after_join = current_balance(&fleet, None);
    let modulo_join_moves = modulo_moves(size, size + 1);
    rows.extend([
        FigureRow::new(
            name("churn at a join"),
            churn(join_moves, min_moves.floor()),
            "x least",
        )
        .with_at_most(MAX_CHURN),
        FigureRow::new(
            name("churn at a join, modulo"),
            churn(modulo_join_moves, min_moves),
            "x least",
        ),
        FigureRow::new(
            name("imbalance after a join"),
            after_join.imbalance,
            "ratio",
        )
        .with_at_most(MAX_IMBALANCE),
    ]);
    let min_moves = units_of(&fleet, size);
    let leave_moves = moves_after(&mut fleet, &FleetEvent::Leave { agent: size });
    rows.push(
        FigureRow::new(
            name("churn at a leave"),
            churn(leave_moves, min_moves),
            "x least",
        )
        .with_at_most(MAX_CHURN),
    );
    let min_moves = units_in(&fleet, TRIAL_ZONE);
    let zone_out_moves = moves_after(&mut fleet, &FleetEvent::ZoneOut { zone: TRIAL_ZONE });
    let zone_out_imbalance = current_balance(&fleet, Some(TRIAL_ZONE)).imbalance;
    let zone_in_moves = moves_after(&mut fleet, &FleetEvent::ZoneIn { zone: TRIAL_ZONE });
    let after_zone_in = current_balance(&fleet, None);
    let zone_out_ms = fleet.times.get("zone_out_ms").copied().unwrap_or(u64::MAX) as f64;
    rows.extend([
        FigureRow::new(
            name("churn at a zone out"),
            churn(zone_out_moves, min_moves),
            "x least",
        )
        .with_at_most(MAX_CHURN),
        FigureRow::new(name("time of a zone out"), zone_out_ms, "ms").with_at_most(MAX_ZONE_OUT_MS),
        FigureRow::new(
            name("imbalance with a zone out"),
            zone_out_imbalance,
            "ratio",
        )
        .with_at_most(MAX_IMBALANCE),
        FigureRow::new(
            name("churn at a zone back"),
            churn(zone_in_moves, min_moves),
            "x least",
        )
        .with_at_most(MAX_CHURN),
        FigureRow::new(
            name("imbalance after a zone back"),
            after_zone_in.imbalance,
            "ratio",
        )
        .with_at_most(MAX_IMBALANCE),
    ]);
    rows.extend(violation_rows(&fleet, &name("records broken")));
    rows
}

/// Returns a row with the number of invariant violations in the records and of unfinished changes.
fn violation_rows(fleet: &FakeFleet, name: &str) -> Vec<FigureRow> {
    let checks = &fleet.checks;
    let violations = checks.ownership_overlaps
        + checks.units_lost
        + checks.fences_not_grown
        + checks.outdated_writes
        + checks.verdicts_changed
        + checks.granted_to_lost
        + fleet.pending_change_count() as u64;
    vec![FigureRow::new(name, violations as f64, "count").with_at_most(0.0)]
}

/// Measures imbalance, pinned keys and the time to settle under a skewed load, before and after the
/// hottest keys change.
fn skewed_load_trial(size: usize, seed: u64) -> Vec<FigureRow> {
    let name = |figure: &str| format!("{size} owners, Zipf 1.0: {figure}");
    let mut fleet = FakeFleet::new(settings(size, 1.0), seed);
    let (first_settle_s, first_balance) = measure_settling(&mut fleet);
    let modulo = modulo_balance(&fleet.loads()[&service_key(0)], size);
    let before = fleet.checks.moves;
    fleet.apply(&FleetEvent::ChangeHottest {
        count: HOTTEST_KEYS,
    });
    let (changed_settle_s, changed_balance) = measure_settling(&mut fleet);
    let moves = (fleet.checks.moves - before) as f64;
    let max_imbalance =
        |balance: LoadBalance| MAX_IMBALANCE.max(balance.floor * MAX_IMBALANCE_OVER_FLOOR);
    let mut rows = vec![
        FigureRow::new(
            name("imbalance after start"),
            first_balance.imbalance,
            "ratio",
        )
        .with_at_most(max_imbalance(first_balance)),
        FigureRow::new(name("time to settle after start"), first_settle_s, "s")
            .with_at_most(MAX_SETTLE_S),
        FigureRow::new(
            name("imbalance after hottest 25 changed"),
            changed_balance.imbalance,
            "ratio",
        )
        .with_at_most(max_imbalance(changed_balance)),
        FigureRow::new(
            name("time to settle after hottest 25 changed"),
            changed_settle_s,
            "s",
        )
        .with_at_most(MAX_SETTLE_S),
        FigureRow::new(name("moves after hottest 25 changed"), moves, "units"),
        FigureRow::new(
            name("floor by the hottest key"),
            changed_balance.floor,
            "ratio",
        ),
        FigureRow::new(name("imbalance, modulo"), modulo.imbalance, "ratio"),
        FigureRow::new(
            name("pinned keys"),
            list_pinned_keys(&fleet).len() as f64,
            "keys",
        ),
    ];
    let service = service_key(0);
    let pinned_keys = list_pinned_keys(&fleet);
    let hottest = fleet.loads()[&service].hottest_keys(HOTTEST_KEYS);
    let missing = hottest.filter(|key| !pinned_keys.contains(key)).count();
    rows.push(FigureRow::new(
        name("hottest 25 keys not pinned"),
        missing as f64,
        "keys",
    ));
    rows.extend(violation_rows(&fleet, &name("records broken")));
    rows
}

/// Returns the keys that are assigned to an owner apart from their slice.
fn list_pinned_keys(fleet: &FakeFleet) -> Vec<KeyHash> {
    let pages = fleet.checks.pages.values().flat_map(|pages| pages.values());
    pages
        .flat_map(|page| page.pins.iter().map(|pin| pin.key))
        .collect()
}

/// Runs a fleet for 180 s, longer than the 120 s that it may take to settle. Returns the seconds after
/// which the imbalance stayed within its bound, infinite if it is not within it at the end, and the
/// balance at the end.
fn measure_settling(fleet: &mut FakeFleet) -> (f64, LoadBalance) {
    let started_at = fleet.now();
    let mut settled_at = started_at;
    let mut is_settled = false;
    while fleet.now().since(started_at) < 180_000 {
        fleet.run(1_000);
        let balance = current_balance(fleet, None);
        let is_balanced =
            balance.imbalance <= MAX_IMBALANCE.max(balance.floor * MAX_IMBALANCE_OVER_FLOOR);
        if is_balanced && !is_settled {
            settled_at = fleet.now();
        }
        is_settled = is_balanced;
    }
    let seconds = if is_settled {
        settled_at.since(started_at) as f64 / 1_000.0
    } else {
        f64::INFINITY
    };
    (seconds, current_balance(fleet, None))
}

/// Returns the nanoseconds since the first call.
fn elapsed_nanos() -> u64 {
    static STARTED: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let started = STARTED.get_or_init(Instant::now);
    u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Builds a controller from the records in the store and elects it.
fn rebuild_controller(fleet: &FakeFleet) -> ControlState {
    let batch = RecordBatch {
        records: fleet.store().records().cloned().collect(),
        complete_to: fleet.store().revision(),
        era: 0,
    };
    let control = ControlState::new(ControlSettings::default(), 1);
    let now = fleet.now();
    let (control, _) = control.step(now, ControlEvent::Records(batch));
    let (control, _) = control.step(now, ControlEvent::Elected { term: 1_000 });
    control
}

/// Measures the loss of an owner and of an availability zone, and the cost of the controller.
fn loss_trial(size: usize, seed: u64) -> Vec<FigureRow> {
    let name = |figure: &str| format!("{size} owners, Zipf 1.0: {figure}");
    let mut fleet = FakeFleet::new(settings(size, 1.0), seed).with_nano_clock(elapsed_nanos);
    fleet.run(90_000);
    let spent_before = fleet.control_nanos;
    let writes_before = fleet.store().write_count();
    fleet.run(60_000);
    let core_percent = (fleet.control_nanos - spent_before) as f64 / 60e9 * 100.0;
    let writes_per_s = f64::from(fleet.store().write_count() - writes_before) / 60.0;
    let bytes_before = resident_bytes();
    let copies: Vec<ControlState> = (0..CONTROLLER_COPIES)
        .map(|_| rebuild_controller(&fleet))
        .collect();
    let controller_mb = (resident_bytes() - bytes_before) / copies.len() as f64 / 1e6;
    drop(copies);
    let mut rows = vec![
        FigureRow::new(name("controller, quiet"), core_percent, "% of a core"),
        FigureRow::new(name("store writes, quiet"), writes_per_s, "1/s"),
        FigureRow::new(name("memory of a controller"), controller_mb, "MB"),
        FigureRow::new(
            name("largest page"),
            fleet.checks.max_page_bytes as f64,
            "bytes",
        )
        .with_at_most(1_048_576.0),
    ];
    let min_moves = units_of(&fleet, size - 1);
    let loss = FleetEvent::LoseAgent { agent: size - 1 };
    let moves = moves_after(&mut fleet, &loss);
    rows.push(
        FigureRow::new(
            name("churn at a loss"),
            moves / min_moves.max(1.0),
            "x least",
        )
        .with_at_most(MAX_CHURN),
    );
    if size > 3 {
        let lost_at = fleet.now();
        let spent_before = fleet.control_nanos;
        fleet.apply(&FleetEvent::LoseZone { zone: TRIAL_ZONE });
        fleet.run(10_000);
        let core_percent = (fleet.control_nanos - spent_before) as f64 / 10e9 * 100.0;
        let peak_writes_per_s = f64::from(fleet.store().peak_writes(lost_at));
        rows.extend([
            FigureRow::new(
                name("store writes in a second, zone lost"),
                peak_writes_per_s,
                "1/s",
            )
            .with_at_most(MAX_STORE_WRITES_PER_S),
            FigureRow::new(
                name("controller, 10 s from a zone's loss"),
                core_percent,
                "% of a core",
            ),
        ]);
        fleet.run(SETTLE_WAIT_MS);
    }
    let takeover_ms = fleet.times.get("takeover_ms").copied().unwrap_or(u64::MAX);
    rows.push(
        FigureRow::new(name("time to new owners"), takeover_ms as f64, "ms")
            .with_at_most(MAX_TAKEOVER_MS),
    );
    rows.extend(violation_rows(&fleet, &name("records broken by losses")));
    rows
}
