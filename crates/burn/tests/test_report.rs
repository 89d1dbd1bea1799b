//! Compares reports with values computed by hand.

use googletest::prelude::*;
use jy_burn::html;
use jy_burn::report;
use jy_burn::report::BurnReport;
use jy_burn::report::BurnSettings;
use jy_burn::scrape;
use jy_burn::scrape::AgentSample;
use jy_burn::scrape::ScrapeError;
use jy_burn::text;
use jy_types::time::WallMillis;
use jy_types::workspace::WorkspaceRecord;

/// Returns a workspace with one service, whose target is 99 % availability, 90 % of answers within 18 ms, and
/// keys unavailable for at most 5 s.
///
/// # Panics
///
/// Does not panic, because the JSON is valid.
fn workspace() -> WorkspaceRecord {
    let text = r#"{"name": "seals", "zones": ["a"], "services": [{"name": "verifier", "keyed": true,
        "slots": 6, "connections": 110, "timeout_ms": 1000, "target": {"availability_percent": 99,
        "latency_percent": 90, "latency_ms": 18, "key_unavailable_ms": 5000}}]}"#;
    serde_json::from_str(text).expect("the JSON must be a valid workspace")
}

/// Returns the metrics of an agent that started at `start` seconds: served and refused requests, of which
/// `fast` took at most 16 ms, and the seconds during which keys were unavailable.
fn metrics(start: u32, served: u32, refused: u32, fast: u32, unavailable: f64) -> String {
    let all = served + refused;
    let labels = r#"workspace="seals",service="verifier""#;
    format!(
        "# TYPE jy_requests counter\n\
         jy_requests_total{{{labels},outcome=\"served\"}} {served}\n\
         jy_requests_total{{{labels},outcome=\"overloaded\"}} {refused}\n\
         jy_requests_total{{{labels},outcome=\"bad_request\"}} 1000\n\
         jy_request_duration_seconds_sum{{{labels}}} 1.5\n\
         jy_request_duration_seconds_bucket{{le=\"0.016\",{labels}}} {fast}\n\
         jy_request_duration_seconds_bucket{{le=\"0.032\",{labels}}} {all}\n\
         jy_request_duration_seconds_bucket{{le=\"+Inf\",{labels}}} {all}\n\
         jy_key_unavailable_seconds_total{{{labels}}} {unavailable}\n\
         jy_process_start_time_seconds {start}\n# EOF\n"
    )
}

/// Returns a sample of an agent at `at` seconds.
///
/// # Panics
///
/// Panics if the metrics can't be parsed.
fn sample(agent: &str, at: u64, metrics: &str) -> AgentSample {
    AgentSample {
        at: WallMillis(at * 1_000),
        agent: agent.into(),
        scrape: Some(scrape::parse(metrics).expect("the metrics must be valid")),
    }
}

fn build_report(samples: &[AgentSample]) -> BurnReport {
    let settings = BurnSettings {
        short_ms: 10_000,
        long_ms: 100_000,
        ..BurnSettings::default()
    };
    report::build_report(samples, &[workspace()], &settings)
}

#[gtest]
fn make_counts_between_samples() -> Result<()> {
    // 980 of 1,000 requests are served and 20 are refused: 2 % bad of 1 % allowed is a burn rate of 2.
    // 800 of 1,000 answers take at most 16 ms: 20 % slow of 10 % allowed is a burn rate of 2, too.
    let samples = [
        sample("one", 1_000, &metrics(500, 100, 0, 50, 0.0)),
        sample("one", 1_010, &metrics(500, 1_080, 20, 850, 2.5)),
    ];
    let report = build_report(&samples);
    let service = &report.services[0];
    verify_that!(service.availability.short.total, near(1_000.0, 1e-9))?;
    verify_that!(service.availability.short.burn_rate, some(near(2.0, 1e-9)))?;
    verify_that!(
        service.availability.budget_left_percent,
        some(near(-100.0, 1e-9))
    )?;
    verify_that!(service.latency.long.burn_rate, some(near(2.0, 1e-9)))?;
    verify_that!(service.latency_bound_ms, some(near(16.0, 1e-9)))?;
    verify_that!(service.unavailable.total_s, near(2.5, 1e-9))?;
    verify_that!(
        service
            .causes
            .iter()
            .map(|cause| &*cause.cause)
            .collect::<Vec<_>>(),
        elements_are![eq(&"slow"), eq(&"overloaded")]
    )
}

#[gtest]
fn make_counts_from_zero_after_restart() -> Result<()> {
    // The old process counts 100 more requests, then the new one counts 40: the total is 100 + 40. The increase
    // at the restart must not be computed as 40 - 1,100.
    let samples = [
        sample("one", 1_000, &metrics(500, 1_000, 0, 1_000, 0.0)),
        sample("one", 1_010, &metrics(500, 1_100, 0, 1_100, 0.0)),
        sample("one", 1_020, &metrics(1_012, 40, 0, 40, 0.0)),
    ];
    let report = build_report(&samples);
    verify_that!(
        report.services[0].availability.long.total,
        near(140.0, 1e-9)
    )?;
    verify_that!(report.restarts.get("one").copied(), some(eq(1)))?;
    verify_that!(
        text::write(&report),
        contains_substring("one restarted 1 time(s)")
    )
}

#[gtest]
fn make_counts_from_zero_for_agent_started_after_first_sample() -> Result<()> {
    let samples = [
        sample("one", 1_000, &metrics(500, 7, 0, 7, 0.0)),
        sample("two", 1_010, &metrics(1_005, 30, 0, 30, 0.0)),
    ];
    verify_that!(
        build_report(&samples).services[0].availability.long.total,
        near(30.0, 1e-9)
    )
}

#[gtest]
fn make_reports_agents_that_did_not_answer() -> Result<()> {
    let mut unanswered_two = sample("two", 1_000, &metrics(500, 0, 0, 0, 0.0));
    unanswered_two.scrape = None;
    let mut unanswered_one = sample("one", 1_005, &metrics(500, 0, 0, 0, 0.0));
    unanswered_one.scrape = None;
    let samples = [
        sample("one", 1_000, &metrics(500, 0, 0, 0, 0.0)),
        unanswered_two,
        unanswered_one,
        sample("one", 1_010, &metrics(500, 50, 0, 50, 0.0)),
    ];
    let report = build_report(&samples);
    verify_that!(report.services[0].availability.long.total, near(50.0, 1e-9))?;
    let text = text::write(&report);
    verify_that!(text, contains_substring("one did not answer 1 time(s)\n"))?;
    verify_that!(
        text,
        contains_substring("two did not answer 1 time(s); nothing of it is counted")
    )
}

#[gtest]
fn make_reports_agents_that_left() -> Result<()> {
    let idle = metrics(500, 0, 0, 0, 0.0);
    let samples = [
        sample("one", 1_000, &idle),
        sample("two", 1_000, &idle),
        sample("one", 1_011, &idle),
    ];
    verify_that!(
        text::write(&build_report(&samples)),
        contains_substring("left meanwhile: two;")
    )
}

#[gtest]
fn make_pages_only_if_both_windows_exceed_rate() -> Result<()> {
    // With 1 % allowed, 50 % bad in the first 10 s is a burn rate of 50, and none bad in the last 10 s is one of
    // 0. The burn rate over both is 25.
    let start = sample("one", 1_000, &metrics(500, 0, 0, 0, 0.0));
    let failing = sample("one", 1_010, &metrics(500, 50, 50, 100, 0.0));
    let recovered = sample("one", 1_020, &metrics(500, 150, 50, 200, 0.0));
    let during = build_report(&[start.clone(), failing.clone()]);
    verify_that!(during.services[0].availability.pages, eq(true))?;
    let after = build_report(&[start, failing, recovered]);
    verify_that!(
        after.services[0].availability.long.burn_rate,
        some(near(25.0, 1e-9))
    )?;
    verify_that!(
        after.services[0].availability.short.burn_rate,
        some(near(0.0, 1e-9))
    )?;
    verify_that!(after.services[0].availability.pages, eq(false))
}

#[gtest]
fn make_sums_consecutive_unavailable_intervals() -> Result<()> {
    // The counter increases by 3 s in two consecutive intervals, which is one unavailable period of 6 s and
    // exceeds the target of 5 s. The increase by 2 s after an interval without any is a separate period.
    let at = |at: u64, unavailable: f64| sample("one", at, &metrics(500, 0, 0, 0, unavailable));
    let samples = [
        at(1_000, 0.0),
        at(1_010, 3.0),
        at(1_020, 6.0),
        at(1_030, 6.0),
        at(1_040, 8.0),
    ];
    let keys = build_report(&samples).services[0].unavailable.clone();
    verify_that!(keys.total_s, near(8.0, 1e-9))?;
    verify_that!(keys.longest_s, near(6.0, 1e-9))?;
    verify_that!(keys.pages, eq(true))
}

#[gtest]
fn make_counts_share_of_delta_within_window() -> Result<()> {
    // 400 requests are counted between two samples 200 s apart: half of them are in the last 100 s.
    let samples = [
        sample("one", 1_000, &metrics(500, 0, 0, 0, 0.0)),
        sample("one", 1_200, &metrics(500, 400, 0, 400, 0.0)),
    ];
    verify_that!(
        build_report(&samples).services[0].availability.long.total,
        near(200.0, 1e-9)
    )
}

#[gtest]
fn write_page_is_self_contained() -> Result<()> {
    let mut record = workspace();
    record.name = "<seals>".into();
    let samples = [
        sample("one", 1_000, &metrics(500, 0, 0, 0, 0.0)),
        sample("one", 1_100, &metrics(500, 9, 9, 9, 0.0)),
    ];
    let page = html::write(&report::build_report(
        &samples,
        &[record, workspace()],
        &BurnSettings::default(),
    ));
    verify_that!(page, contains_substring("<svg"))?;
    verify_that!(page, contains_substring("&lt;seals&gt;"))?;
    verify_that!(
        ["http:", "https:", "<script", "src="]
            .iter()
            .any(|part| page.contains(part)),
        eq(false)
    )
}

#[gtest]
fn read_reports_invalid_line_and_missing_start() -> Result<()> {
    let text = metrics(500, 1, 0, 1, 0.0).replace("\"served\"} 1", "\"served\"} one");
    verify_that!(
        scrape::parse(&text),
        err(matches_pattern!(ScrapeError::InvalidLine {
            line: eq(&2),
            ..
        }))
    )?;
    verify_that!(
        scrape::parse("# EOF\n"),
        err(eq(&ScrapeError::MissingStart))
    )?;
    let quoted = "jy_process_start_time_seconds 1\njy_requests_total{workspace=\"a\\\"},\",service=\"b\",outcome=\"served\"} 2\n";
    let scrape = scrape::parse(quoted).expect("the metrics must be valid");
    verify_that!(scrape.services[0].name.workspace, displays_as(eq("a\"},")))
}

#[gtest]
fn make_without_samples_has_no_negative_zero() {
    let report = build_report(&[]);
    expect_true!(report.services[0].unavailable.total_s.is_sign_positive());
}
