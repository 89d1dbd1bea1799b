//! `jybench lease-faults`: effects of single faults on leases, by the number of monitors and the rule
//! for monitors whose own lease has ended.

use anyhow::Result;
use hdrhistogram::Histogram;
use jy_lease::timing::LeaseTiming;
use jy_testutils::lease_check::cases::FaultCase;
use jy_testutils::lease_check::cases::KILL;
use jy_testutils::lease_check::cases::SINGLE_FAULTS;
use jy_testutils::lease_check::cases::ZONE_AND_RACK;
use jy_testutils::lease_check::outcome::CheckOutcome;
use jy_testutils::lease_check::settings::CheckSettings;
use jy_testutils::lease_check::settings::EndedMonitorRule;
use jy_testutils::lease_check::world::run_random;

use crate::lease::LeaseOptions;
use crate::lease::run_seeds;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Schedules of each case if the arguments give no number.
const DEFAULT_SCHEDULES: u64 = 200;
/// Three availability zones of two racks with two agents each.
const AGENTS: usize = 12;
/// Bound on the time from the loss of an agent to its verdict, so that its keys are served again within
/// 3 s.
const MAX_DETECTION_MS: f64 = 2_500.0;

/// A variant of the lease protocol.
struct LeaseVariant {
    name: &'static str,
    monitors: usize,
    ended_monitor_rule: EndedMonitorRule,
    grace_ms: u64,
    reads_own_record: bool,
}

/// Compared variants; the first one is in use.
const VARIANTS: [LeaseVariant; 7] = [
    variant("3 monitors, grace 4 s", 3, EndedMonitorRule::Counted, 4_000),
    variant("3 monitors, grace 1 s", 3, EndedMonitorRule::Counted, 1_000),
    variant("3 monitors, coupled", 3, EndedMonitorRule::Counted, 0),
    variant("3 monitors, plain", 3, EndedMonitorRule::NotCounted, 0),
    variant("5 monitors, grace 4 s", 5, EndedMonitorRule::Counted, 4_000),
    variant(
        "3 monitors, grace 4 s, no reads",
        3,
        EndedMonitorRule::Counted,
        4_000,
    )
    .without_reads(),
    variant(
        "3 monitors, grace 1 s, no reads",
        3,
        EndedMonitorRule::Counted,
        1_000,
    )
    .without_reads(),
];

const fn variant(
    name: &'static str,
    monitors: usize,
    ended_monitor_rule: EndedMonitorRule,
    grace_ms: u64,
) -> LeaseVariant {
    LeaseVariant {
        name,
        monitors,
        ended_monitor_rule,
        grace_ms,
        reads_own_record: true,
    }
}

impl LeaseVariant {
    /// Makes agents without a lease not read their own record.
    const fn without_reads(mut self) -> Self {
        self.reads_own_record = false;
        self
    }

    /// Returns the settings of a case with this variant.
    fn settings(&self, case: FaultCase) -> CheckSettings {
        let timing = LeaseTiming {
            monitor_grace_ms: self.grace_ms,
            ..LeaseTiming::default()
        };
        CheckSettings {
            monitors: self.monitors,
            ended_monitor_rule: self.ended_monitor_rule,
            reads_own_record: self.reads_own_record,
            timing,
            ..CheckSettings::reliable(AGENTS, case.draw_faults)
        }
    }

    /// Runs all schedules of a case with this variant.
    fn run(&self, case: FaultCase, options: &LeaseOptions) -> CheckOutcome {
        let settings = self.settings(case);
        run_seeds(options.seed, options.schedules, |seed| {
            run_random(&settings, seed)
        })
    }
}

/// Runs `lease-faults`: single faults in a reliable network, with each variant of the protocol.
///
/// # Errors
///
/// If an option is unknown, or its value is missing or not a number, or if a detection time can't be
/// recorded.
pub fn faults(arguments: &[String]) -> Result<FigureTable> {
    let options = LeaseOptions::parse(arguments, DEFAULT_SCHEDULES)?;
    let title = format!(
        "lease-faults: {} schedules of each case from seed {}, {AGENTS} agents",
        options.schedules, options.seed
    );
    let mut table = FigureTable::new(title, options.out.clone());
    for (index, variant) in VARIANTS.iter().enumerate() {
        let is_in_use = index == 0;
        table
            .rows
            .extend(single_fault_rows(variant, is_in_use, &options));
        table.rows.extend(loss_rows(variant, is_in_use, &options)?);
    }
    Ok(table)
}

/// Returns the rows of all single faults.
fn single_fault_rows(
    variant: &LeaseVariant,
    is_in_use: bool,
    options: &LeaseOptions,
) -> Vec<FigureRow> {
    let mut rows = Vec::new();
    let mut total = CheckOutcome::default();
    for case in SINGLE_FAULTS {
        let outcome = variant.run(case, options);
        let failures =
            outcome.false_verdicts + outcome.undetected_losses + outcome.unsafe_schedules;
        if is_in_use || failures > 0 {
            let name = format!(
                "{}: {}: verdicts on unharmed agents",
                variant.name, case.name
            );
            let row = FigureRow::new(name, outcome.false_verdicts as f64, "verdicts");
            rows.push(zero_if_in_use(row, is_in_use));
        }
        if outcome.undetected_losses > 0 {
            let name = format!("{}: {}: no verdict", variant.name, case.name);
            rows.push(FigureRow::new(
                name,
                outcome.undetected_losses as f64,
                "agents",
            ));
        }
        total = total.merge(outcome);
    }
    let row = |what: &str, value: f64, unit| {
        FigureRow::new(format!("{}: {what}", variant.name), value, unit)
    };
    let running_ms = total.running_ms as f64;
    let unleased_share = total.unleased_ms as f64 / running_ms;
    let messages_per_s = total.messages as f64 * 1_000.0 / running_ms;
    rows.push(zero_if_in_use(
        row(
            "all single faults: unsafe",
            total.unsafe_schedules as f64,
            "schedules",
        ),
        is_in_use,
    ));
    rows.push(zero_if_in_use(
        row(
            "all single faults: no verdict",
            total.undetected_losses as f64,
            "agents",
        ),
        is_in_use,
    ));
    rows.push(row(
        "time after a first lease",
        running_ms / 3.6e6,
        "agent-hours",
    ));
    if total.running_ms > 0 {
        rows.push(row(
            "time unharmed without a lease",
            unleased_share * 1e6,
            "ppm",
        ));
        rows.push(row("renewals and replies sent", messages_per_s, "/s/agent"));
    }
    rows
}

/// Returns the rows on the time from the loss of an agent to its verdict.
///
/// # Errors
///
/// If a time does not fit into the histogram.
fn loss_rows(
    variant: &LeaseVariant,
    is_in_use: bool,
    options: &LeaseOptions,
) -> Result<Vec<FigureRow>> {
    let mut rows = Vec::new();
    for case in [KILL, ZONE_AND_RACK] {
        let outcome = variant.run(case, options);
        let mut detection_times = Histogram::<u64>::new(3)?;
        for detection_ms in &outcome.detection_times_ms {
            detection_times.record(*detection_ms)?;
        }
        let row = |what: &str, value: u64, unit| {
            let name = format!("{}: {}: {what}", variant.name, case.name);
            FigureRow::new(name, value as f64, unit)
        };
        rows.push(row("no verdict", outcome.undetected_losses, "agents"));
        rows.push(row(
            "verdict after, median",
            detection_times.value_at_quantile(0.5),
            "ms",
        ));
        rows.push(row(
            "verdict after, p99",
            detection_times.value_at_quantile(0.99),
            "ms",
        ));
        let last = row("verdict after, last", detection_times.max(), "ms");
        let is_bounded = is_in_use && case.name == KILL.name;
        rows.push(if is_bounded {
            last.with_at_most(MAX_DETECTION_MS)
        } else {
            last
        });
    }
    Ok(rows)
}

/// Requires a count to be zero if the variant is in use.
const fn zero_if_in_use(row: FigureRow, is_in_use: bool) -> FigureRow {
    if is_in_use {
        row.with_at_most(0.0)
    } else {
        row
    }
}
