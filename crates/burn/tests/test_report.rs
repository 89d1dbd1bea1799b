//! Figures worked out by hand.

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

/// One workspace with a service of 99 % available, 90 % within 18 ms, keys back within 5 s.
///
/// # Panics
///
/// Never: the text is well formed.
fn workspace() -> WorkspaceRecord {
    let text = r#"{"name": "seals", "zones": ["a"], "services": [{"name": "verifier", "keyed": true,
        "slots": 6, "connections": 110, "timeout_ms": 1000, "target": {"availability_percent": 99,
        "latency_percent": 90, "latency_ms": 18, "key_unavailable_ms": 5000}}]}"#;
    serde_json::from_str(text).expect("a workspace")
}

/// Metrics of an agent that started at `start` seconds: served and refused requests, of which
/// `fast` took at most 16 ms, and unavailable seconds.
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

/// A look at an agent at `at` seconds.
///
/// # Panics
///
/// If the metrics are not understood.
fn look(agent: &str, at: u64, metrics: &str) -> AgentSample {
    AgentSample {
        at: WallMillis(at * 1_000),
        agent: agent.into(),
        scrape: Some(scrape::read(metrics).expect("well formed")),
    }
}

fn make(samples: &[AgentSample]) -> BurnReport {
    let settings = BurnSettings {
        short_ms: 10_000,
        long_ms: 100_000,
        ..BurnSettings::default()
    };
    report::make(samples, &[workspace()], &settings)
}

#[gtest]
fn make_counts_between_looks() -> Result<()> {
    // 980 served and 20 overloaded of 1,000: 2 % bad over 1 % allowed burns at 2.
    // 800 of 1,000 within 16 ms: 20 % slow over 10 % allowed burns at 2 as well.
    let samples = [
        look("one", 1_000, &metrics(500, 100, 0, 50, 0.0)),
        look("one", 1_010, &metrics(500, 1_080, 20, 850, 2.5)),
    ];
    let report = make(&samples);
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
    // 100 before, 40 of the new process: 100 + 40, never 40 - 1,100.
    let samples = [
        look("one", 1_000, &metrics(500, 1_000, 0, 1_000, 0.0)),
        look("one", 1_010, &metrics(500, 1_100, 0, 1_100, 0.0)),
        look("one", 1_020, &metrics(1_012, 40, 0, 40, 0.0)),
    ];
    let report = make(&samples);
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
fn make_counts_all_of_agent_that_started_since() -> Result<()> {
    let samples = [
        look("one", 1_000, &metrics(500, 7, 0, 7, 0.0)),
        look("two", 1_010, &metrics(1_005, 30, 0, 30, 0.0)),
    ];
    verify_that!(
        make(&samples).services[0].availability.long.total,
        near(30.0, 1e-9)
    )
}

#[gtest]
fn make_says_who_did_not_answer() -> Result<()> {
    let mut silent = look("two", 1_000, &metrics(500, 0, 0, 0, 0.0));
    silent.scrape = None;
    let mut gap = look("one", 1_005, &metrics(500, 0, 0, 0, 0.0));
    gap.scrape = None;
    let samples = [
        look("one", 1_000, &metrics(500, 0, 0, 0, 0.0)),
        silent,
        gap,
        look("one", 1_010, &metrics(500, 50, 0, 50, 0.0)),
    ];
    let report = make(&samples);
    verify_that!(report.services[0].availability.long.total, near(50.0, 1e-9))?;
    let text = text::write(&report);
    verify_that!(text, contains_substring("one did not answer 1 time(s)\n"))?;
    verify_that!(
        text,
        contains_substring("two did not answer 1 time(s); nothing of it is counted")
    )
}

#[gtest]
fn make_says_who_left() -> Result<()> {
    let idle = metrics(500, 0, 0, 0, 0.0);
    let samples = [
        look("one", 1_000, &idle),
        look("two", 1_000, &idle),
        look("one", 1_011, &idle),
    ];
    verify_that!(
        text::write(&make(&samples)),
        contains_substring("left meanwhile: two;")
    )
}

#[gtest]
fn make_pages_only_if_both_windows_burn() -> Result<()> {
    // 50 % bad in the first 10 s and none in the last 10 s: 50 over 1 allowed is 25 over both.
    let start = look("one", 1_000, &metrics(500, 0, 0, 0, 0.0));
    let burnt = look("one", 1_010, &metrics(500, 50, 50, 100, 0.0));
    let healed = look("one", 1_020, &metrics(500, 150, 50, 200, 0.0));
    let during = make(&[start.clone(), burnt.clone()]);
    verify_that!(during.services[0].availability.pages, eq(true))?;
    let after = make(&[start, burnt, healed]);
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
fn make_adds_up_unavailable_stretch() -> Result<()> {
    // 3 s and 3 s in a row are one stretch of 6 s, past the target of 5 s; the 2 s later are not.
    let at = |at: u64, unavailable: f64| look("one", at, &metrics(500, 0, 0, 0, unavailable));
    let samples = [
        at(1_000, 0.0),
        at(1_010, 3.0),
        at(1_020, 6.0),
        at(1_030, 6.0),
        at(1_040, 8.0),
    ];
    let keys = make(&samples).services[0].unavailable.clone();
    verify_that!(keys.total_s, near(8.0, 1e-9))?;
    verify_that!(keys.longest_s, near(6.0, 1e-9))?;
    verify_that!(keys.pages, eq(true))
}

#[gtest]
fn make_shares_delta_that_spans_window() -> Result<()> {
    // 200 s apart, 400 requests: the window of the last 100 s holds half.
    let samples = [
        look("one", 1_000, &metrics(500, 0, 0, 0, 0.0)),
        look("one", 1_200, &metrics(500, 400, 0, 400, 0.0)),
    ];
    verify_that!(
        make(&samples).services[0].availability.long.total,
        near(200.0, 1e-9)
    )
}

#[gtest]
fn write_page_is_self_contained() -> Result<()> {
    let mut record = workspace();
    record.name = "<seals>".into();
    let samples = [
        look("one", 1_000, &metrics(500, 0, 0, 0, 0.0)),
        look("one", 1_100, &metrics(500, 9, 9, 9, 0.0)),
    ];
    let page = html::write(&report::make(
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
fn read_says_which_line_is_wrong() -> Result<()> {
    let text = metrics(500, 1, 0, 1, 0.0).replace("\"served\"} 1", "\"served\"} one");
    verify_that!(
        scrape::read(&text),
        err(matches_pattern!(ScrapeError::Line { line: eq(&2), .. }))
    )?;
    verify_that!(scrape::read("# EOF\n"), err(eq(&ScrapeError::NoStart)))?;
    let quoted = "jy_process_start_time_seconds 1\njy_requests_total{workspace=\"a\\\"},\",service=\"b\",outcome=\"served\"} 2\n";
    let scrape = scrape::read(quoted).expect("well formed");
    verify_that!(scrape.services[0].name.workspace, displays_as(eq("a\"},")))
}

#[gtest]
fn make_without_samples_has_no_negative_zero() {
    let report = make(&[]);
    expect_true!(report.services[0].unavailable.total_s.is_sign_positive());
}
