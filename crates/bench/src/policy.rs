//! `jybench policy`: simulates tail latency, overload, cold starts and retries in virtual time.
//!
//! Compares the routing policy with a simple baseline (round robin, three attempts, no limits) and
//! measures the processor time of its steps and the memory of an entry in the request window.

use std::fs;

use anyhow::Context;
use anyhow::Result;
use hdrhistogram::Histogram;
use jy_types::time::Millis;
use jy_types::workspace::Urgency;
use serde_json::json;

use crate::args;
use crate::policy_backend::WarmupModel;
use crate::policy_cost;
use crate::policy_model::CallerOutcome;
use crate::policy_model::CallerRequest;
use crate::policy_model::PolicyModel;
use crate::policy_scenario::MEASURE_FROM;
use crate::policy_scenario::PolicyScenario;
use crate::policy_scenario::RestartKind;
use crate::report::FigureRow;
use crate::report::FigureTable;

const OVERLOAD_MS: u64 = 10_000;

/// A request that is not answered within this time counts as not yet recovered from the overload.
const MAX_RECOVERED_LATENCY_MS: u64 = 50;

/// Restarts of one endpoint, as milliseconds after the warm-up and number of the endpoint.
const ONE_RESTART: &[(u64, usize)] = &[(5_000, 0)];
/// Restarts of all three endpoints, 50 ms apart.
const THREE_RESTARTS: &[(u64, usize)] = &[(5_000, 0), (5_050, 1), (5_100, 2)];

/// A trial of cold starts: its name, kind of restart, restarts and warm-up.
type ColdStartCase = (
    &'static str,
    RestartKind,
    &'static [(u64, usize)],
    WarmupModel,
);

/// Runs all trials, or records a trace of a cold start if the arguments name a file.
///
/// # Errors
///
/// If an option is unknown, or its value is missing or not a number, or if the trace can't be written.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, 1)?;
    if let Some(path) = args.names.first() {
        return record_cold_start(path, args.seed);
    }
    let title = format!("policy in virtual time, seed {}", args.seed);
    let mut table = FigureTable::new(title, args.out);
    add_tail_rows(args.seed, &mut table.rows);
    add_overload_rows(args.seed, &mut table.rows);
    add_cold_start_rows(args.seed, &mut table.rows);
    policy_cost::add_rows(args.seed, &mut table.rows);
    Ok(table)
}

/// Writes the events of one gate during a cold start to a trace file.
///
/// # Errors
///
/// If the file can't be written.
fn record_cold_start(path: &str, seed: u64) -> Result<FigureTable> {
    let scenario = PolicyScenario::recorded_cold_start();
    let settings = json!({"auto_ticks": false, "cold_answers": 10, "keyed": false,
        "slots": scenario.slots, "ramp_step_ms": scenario.ramp_step_ms});
    let model = PolicyModel::run(scenario, seed);
    let header = json!({"area": "gate", "seed": seed, "settings": settings});
    let mut text = format!("{header}\n");
    for (at, event) in &model.recorded_events {
        let line = json!({"at": at, "event": event});
        text.push_str(&format!("{line}\n"));
    }
    fs::write(path, text).with_context(|| format!("could not write {path}"))?;
    let title = format!("cold start of one gate, seed {seed}");
    let mut table = FigureTable::new(title, None);
    let events = model.recorded_events.len() as f64;
    table.rows.push(FigureRow::new("events", events, "events"));
    Ok(table)
}

/// Returns the requests that arrived after the warm-up.
fn measured_requests(model: &PolicyModel) -> impl Iterator<Item = &CallerRequest> {
    model
        .requests
        .iter()
        .filter(|request| request.arrived_at >= MEASURE_FROM)
}

/// Returns the time to the answer, if the request was answered by its deadline.
fn answer_latency_ms(request: &CallerRequest) -> Option<u64> {
    let (at, outcome) = request.completion?;
    let in_time = outcome == CallerOutcome::Answered && at <= request.deadline;
    in_time.then(|| at.since(request.arrived_at))
}

/// Returns the 99th percentile of the latency; a request not answered in time counts as its whole
/// timeout.
///
/// # Panics
///
/// Never: the histogram accepts three significant digits.
fn p99_ms(model: &PolicyModel) -> f64 {
    let mut latencies =
        Histogram::<u64>::new(3).expect("the histogram accepts three significant digits");
    for request in measured_requests(model) {
        let timeout_ms = request.deadline.since(request.arrived_at);
        latencies.saturating_record(answer_latency_ms(request).unwrap_or(timeout_ms));
    }
    latencies.value_at_quantile(0.99) as f64
}

/// Returns the percentage of the measured requests selected by `is_counted` that match.
fn percent_of(
    model: &PolicyModel,
    is_counted: impl Fn(&CallerRequest) -> bool,
    matches: impl Fn(&CallerRequest) -> bool,
) -> f64 {
    let all = measured_requests(model).filter(|request| is_counted(request));
    let found = measured_requests(model).filter(|request| is_counted(request) && matches(request));
    100.0 * found.count() as f64 / all.count().max(1) as f64
}

/// Returns the sends beyond the first of each request, in percent of the requests.
fn extra_sends_percent(model: &PolicyModel) -> f64 {
    let sends: u32 = measured_requests(model).map(|request| request.sends).sum();
    let requests = measured_requests(model).count().max(1) as f64;
    100.0 * (f64::from(sends) / requests - 1.0)
}

/// Counts the non-idempotent requests that ran more than once.
fn count_double_runs(model: &PolicyModel) -> f64 {
    let doubled = |request: &&CallerRequest| !request.idempotent && request.runs > 1;
    model.requests.iter().filter(doubled).count() as f64
}

/// Counts the requests whose refusal said that they had not run although they had.
fn count_false_not_run(model: &PolicyModel) -> f64 {
    let is_false = |request: &&CallerRequest| {
        let not_run = matches!(
            request.completion,
            Some((
                _,
                CallerOutcome::Refused(_, jy_types::request::RunState::No)
            ))
        );
        not_run && request.runs > 0
    };
    model.requests.iter().filter(is_false).count() as f64
}

/// Measures tail latency while one of three endpoints is ten times slower for half a second out of
/// every two.
fn add_tail_rows(seed: u64, rows: &mut Vec<FigureRow>) {
    let steady = PolicyScenario::new(1_500.0);
    let bursts = |now: Millis, endpoint| {
        if endpoint == 0 && now.0 % 2_000 < 500 {
            10.0
        } else {
            1.0
        }
    };
    let slow = steady.clone().with_slowdown(bursts);
    for (name, is_policy) in [("policy", true), ("baseline", false)] {
        let pick = |scenario: &PolicyScenario| {
            if is_policy {
                scenario.clone()
            } else {
                scenario.clone().with_baseline()
            }
        };
        let without = PolicyModel::run(pick(&steady), seed);
        let with = PolicyModel::run(pick(&slow), seed);
        let (p99_without, p99_with) = (p99_ms(&without), p99_ms(&with));
        let ratio = p99_with / p99_without;
        let ratio_row = FigureRow::new(format!("tail: {name}: p99 with over without"), ratio, "x");
        let extra = extra_sends_percent(&with).max(extra_sends_percent(&without));
        let extra_row = FigureRow::new(format!("tail: {name}: extra sends"), extra, "%");
        let runs_row = FigureRow::new(
            format!("tail: {name}: double runs"),
            count_double_runs(&with),
            "runs",
        );
        rows.push(FigureRow::new(
            format!("tail: {name}: p99 without straggler"),
            p99_without,
            "ms",
        ));
        rows.push(FigureRow::new(
            format!("tail: {name}: p99 with straggler"),
            p99_with,
            "ms",
        ));
        if is_policy {
            rows.push(ratio_row.with_at_most(1.5));
            rows.push(extra_row.with_at_most(5.0));
            rows.push(runs_row.with_at_most(0.0));
        } else {
            rows.extend([ratio_row, extra_row, runs_row]);
        }
    }
}

/// Offers three times the capacity for ten seconds, then 0.3 times the capacity.
fn add_overload_rows(seed: u64, rows: &mut Vec<FigureRow>) {
    let scenario = PolicyScenario::new(0.0);
    let capacity = scenario.capacity();
    let drop_at = MEASURE_FROM.plus(OVERLOAD_MS);
    let scenario = scenario
        .with_rate(move |now| {
            if now < drop_at {
                3.0 * capacity
            } else {
                0.3 * capacity
            }
        })
        .with_length(OVERLOAD_MS + 20_000);
    for (name, is_policy) in [("policy", true), ("baseline", false)] {
        let picked = if is_policy {
            scenario.clone()
        } else {
            scenario.clone().with_baseline()
        };
        let model = PolicyModel::run(picked, seed);
        add_overload_figures(name, is_policy, capacity, drop_at, &model, rows);
    }
}

/// Adds the figures of one simulated overload.
fn add_overload_figures(
    name: &str,
    is_policy: bool,
    capacity: f64,
    drop_at: Millis,
    model: &PolicyModel,
    rows: &mut Vec<FigureRow>,
) {
    let during = |request: &CallerRequest| request.arrived_at < drop_at;
    let served = |request: &CallerRequest| answer_latency_ms(request).is_some();
    let served_during =
        measured_requests(model).filter(|request| during(request) && served(request));
    let goodput = 100.0 * served_during.count() as f64 / (capacity * OVERLOAD_MS as f64 / 1_000.0);
    let served_percent = |urgency| {
        percent_of(
            model,
            |request| during(request) && request.urgency == urgency,
            served,
        )
    };
    let late_refusal = |request: &CallerRequest| {
        let refused = request
            .completion
            .filter(|(_, outcome)| *outcome != CallerOutcome::Answered);
        refused.is_some_and(|(at, _)| at >= request.deadline)
    };
    let not_recovered = |request: &&CallerRequest| {
        request.arrived_at >= drop_at
            && answer_latency_ms(request).is_none_or(|took| took > MAX_RECOVERED_LATENCY_MS)
    };
    let last_slow = measured_requests(model)
        .filter(not_recovered)
        .map(|request| request.arrived_at)
        .max();
    let recovery = last_slow.map_or(0, |last| last.since(drop_at)) as f64 / 1_000.0;
    let row =
        |what: &str, value, unit| FigureRow::new(format!("overload: {name}: {what}"), value, unit);
    let useful_row = row("useful work of capacity", goodput, "%");
    let urgent_row = row(
        "urgent requests served",
        served_percent(Urgency::Urgent),
        "%",
    );
    let normal_row = row(
        "normal requests served",
        served_percent(Urgency::Normal),
        "%",
    );
    let deferrable_row = row(
        "deferrable requests served",
        served_percent(Urgency::Deferrable),
        "%",
    );
    let late_row = row(
        "refused at the deadline or later",
        percent_of(model, during, late_refusal),
        "%",
    );
    let extra_row = row("extra sends", extra_sends_percent(model), "%");
    let recovery_row = row("recovery after the drop", recovery, "s");
    let false_row = row(
        "not run with a run behind it",
        count_false_not_run(model),
        "requests",
    );
    if is_policy {
        rows.push(useful_row.with_at_least(90.0));
        rows.push(urgent_row.with_at_least(99.0));
        rows.extend([normal_row, deferrable_row, late_row]);
        rows.push(extra_row.with_at_most(20.0));
        rows.push(recovery_row.with_at_most(5.0));
        rows.push(false_row.with_at_most(0.0));
    } else {
        rows.extend([useful_row, urgent_row, normal_row, deferrable_row, late_row]);
        rows.extend([extra_row, recovery_row, false_row]);
    }
}

/// Restarts endpoints at 0.6 times the capacity.
fn add_cold_start_rows(seed: u64, rows: &mut Vec<FigureRow>) {
    let by_answers = WarmupModel::ByAnswers(10);
    let by_time = WarmupModel::ByTime(2_000);
    let cases: [ColdStartCase; 5] = [
        ("announced", RestartKind::Announced, ONE_RESTART, by_answers),
        (
            "unannounced",
            RestartKind::Unannounced,
            ONE_RESTART,
            by_answers,
        ),
        (
            "unannounced, by time",
            RestartKind::Unannounced,
            ONE_RESTART,
            by_time,
        ),
        (
            "three at once",
            RestartKind::Unannounced,
            THREE_RESTARTS,
            by_answers,
        ),
        ("silent", RestartKind::Silent, ONE_RESTART, by_answers),
    ];
    for (name, kind, restarts, warmup) in cases {
        let scenario = PolicyScenario::new(1_800.0)
            .with_restarts(kind, restarts)
            .with_warmup(warmup)
            .with_length(20_000);
        let policy = PolicyModel::run(scenario.clone(), seed);
        let baseline = PolicyModel::run(scenario.with_baseline(), seed);
        add_cold_start_figures(name, kind, &policy, &baseline, rows);
    }
}

/// Adds the figures of one cold start with the policy and with the baseline.
fn add_cold_start_figures(
    name: &str,
    kind: RestartKind,
    policy: &PolicyModel,
    baseline: &PolicyModel,
    rows: &mut Vec<FigureRow>,
) {
    let overruns = |model: &PolicyModel| {
        let each = model.backends.iter().map(|backend| backend.overruns);
        each.sum::<u64>() as f64
    };
    let row = |what: &str, value, unit| {
        FigureRow::new(format!("cold start: {name}: {what}"), value, unit)
    };
    let served = |model: &PolicyModel| {
        percent_of(
            model,
            |_| true,
            |request| answer_latency_ms(request).is_some(),
        )
    };
    let first = MEASURE_FROM.plus(ONE_RESTART[0].0);
    let warm = policy.warm_since.iter().flatten().max();
    let warm_s = warm.map_or(f64::NAN, |at| at.since(first) as f64 / 1_000.0);
    let overrun_row = row(
        "policy: requests past what is borne",
        overruns(policy),
        "requests",
    );
    let warm_row = row("policy: all slots used again after", warm_s, "s");
    rows.push(overrun_row.with_at_most(0.0));
    if kind != RestartKind::Silent {
        rows.push(warm_row.with_at_most(8.0));
    }
    rows.push(row(
        "baseline: requests past what is borne",
        overruns(baseline),
        "requests",
    ));
    rows.push(row("policy: served in time", served(policy), "%"));
    rows.push(row("baseline: served in time", served(baseline), "%"));
    rows.push(row("policy: double runs", count_double_runs(policy), "runs").with_at_most(0.0));
    rows.push(
        row(
            "policy: not run with a run behind it",
            count_false_not_run(policy),
            "requests",
        )
        .with_at_most(0.0),
    );
}
