//! What single faults do to leases, by the number of monitors and the rule for dead ones.

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

/// Schedules of each case unless told otherwise.
const SCHEDULES: u64 = 200;
/// Agents of the fleet: three availability zones of two racks of two.
const AGENTS: usize = 12;
/// Latest verdict after the loss of an agent, so that its keys are served again within 3 s.
const DETECTION_LIMIT_MS: f64 = 2_500.0;

/// A choice of the design.
struct LeaseVariant {
    name: &'static str,
    monitors: usize,
    ended_monitor_rule: EndedMonitorRule,
    grace_ms: u64,
    reads_own_record: bool,
}

/// The choices; the first is the one in force.
const VARIANTS: [LeaseVariant; 7] = [
    variant("3 monitors, grace 4 s", 3, EndedMonitorRule::Counted, 4_000),
    variant("3 monitors, grace 1 s", 3, EndedMonitorRule::Counted, 1_000),
    variant("3 monitors, coupled", 3, EndedMonitorRule::Counted, 0),
    variant("3 monitors, plain", 3, EndedMonitorRule::Plain, 0),
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
    /// An agent without a lease does not read its own record.
    const fn without_reads(mut self) -> Self {
        self.reads_own_record = false;
        self
    }

    /// Settings of a case under this choice.
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
            ..CheckSettings::reliable(AGENTS, case.draw)
        }
    }

    /// Runs a case.
    fn run(&self, case: FaultCase, options: &LeaseOptions) -> CheckOutcome {
        let settings = self.settings(case);
        run_seeds(options.seed, options.schedules, |seed| {
            run_random(&settings, seed)
        })
    }
}

/// `lease-faults`: single faults in a calm network, for each choice of the design.
///
/// # Errors
///
/// If the arguments are wrong.
pub fn faults(arguments: &[String]) -> Result<FigureTable> {
    let options = LeaseOptions::new(arguments, SCHEDULES)?;
    let title = format!(
        "lease-faults: {} schedules of each case from seed {}, {AGENTS} agents",
        options.schedules, options.seed
    );
    let mut table = FigureTable::new(title, options.out.clone());
    for (index, variant) in VARIANTS.iter().enumerate() {
        let is_chosen = index == 0;
        table.rows.extend(single_rows(variant, is_chosen, &options));
        table.rows.extend(loss_rows(variant, is_chosen, &options)?);
    }
    Ok(table)
}

/// Rows of all single faults.
fn single_rows(variant: &LeaseVariant, is_chosen: bool, options: &LeaseOptions) -> Vec<FigureRow> {
    let mut rows = Vec::new();
    let mut sum = CheckOutcome::default();
    for case in SINGLE_FAULTS {
        let outcome = variant.run(case, options);
        let harmed = outcome.false_verdicts + outcome.missed + outcome.unsafe_schedules;
        if is_chosen || harmed > 0 {
            let name = format!(
                "{}: {}: verdicts on unharmed agents",
                variant.name, case.name
            );
            let row = FigureRow::new(name, outcome.false_verdicts as f64, "verdicts");
            rows.push(bounded(row, is_chosen));
        }
        if outcome.missed > 0 {
            let name = format!("{}: {}: no verdict", variant.name, case.name);
            rows.push(FigureRow::new(name, outcome.missed as f64, "agents"));
        }
        sum = sum.with(outcome);
    }
    let row = |what: &str, value: f64, unit| {
        FigureRow::new(format!("{}: {what}", variant.name), value, unit)
    };
    let running_ms = sum.running_ms as f64;
    let unleased = sum.unleased_ms as f64 / running_ms;
    let rate = sum.messages as f64 * 1_000.0 / running_ms;
    rows.push(bounded(
        row(
            "all single faults: unsafe",
            sum.unsafe_schedules as f64,
            "schedules",
        ),
        is_chosen,
    ));
    rows.push(bounded(
        row("all single faults: no verdict", sum.missed as f64, "agents"),
        is_chosen,
    ));
    rows.push(row(
        "time after a first lease",
        running_ms / 3.6e6,
        "agent-hours",
    ));
    if sum.running_ms > 0 {
        rows.push(row("time unharmed without a lease", unleased * 1e6, "ppm"));
        rows.push(row("renewals and replies sent", rate, "/s/agent"));
    }
    rows
}

/// Rows of lost agents: when their verdicts come.
///
/// # Errors
///
/// If a time does not fit the histogram.
fn loss_rows(
    variant: &LeaseVariant,
    is_chosen: bool,
    options: &LeaseOptions,
) -> Result<Vec<FigureRow>> {
    let mut rows = Vec::new();
    for case in [KILL, ZONE_AND_RACK] {
        let outcome = variant.run(case, options);
        let mut times = Histogram::<u64>::new(3)?;
        for time in &outcome.detections {
            times.record(*time)?;
        }
        let row = |what: &str, value: u64, unit| {
            let name = format!("{}: {}: {what}", variant.name, case.name);
            FigureRow::new(name, value as f64, unit)
        };
        rows.push(row("no verdict", outcome.missed, "agents"));
        rows.push(row(
            "verdict after, median",
            times.value_at_quantile(0.5),
            "ms",
        ));
        rows.push(row(
            "verdict after, p99",
            times.value_at_quantile(0.99),
            "ms",
        ));
        let last = row("verdict after, last", times.max(), "ms");
        let is_bounded = is_chosen && case.name == KILL.name;
        rows.push(if is_bounded {
            last.with_at_most(DETECTION_LIMIT_MS)
        } else {
            last
        });
    }
    Ok(rows)
}

/// Bounds a count by zero in the variant that is in force.
const fn bounded(row: FigureRow, is_chosen: bool) -> FigureRow {
    if is_chosen {
        row.with_at_most(0.0)
    } else {
        row
    }
}
