//! Tests that the operators' page lists every metric, and that refusals have no duration.

use std::fs;
use std::path::Path;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use googletest::prelude::*;
use jy_agent::exchange::CompleteAnswer;
use jy_agent::exchange::ExchangeReply;
use jy_agent::metrics::AgentMetrics;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::time::WallMillis;

/// Returns the names of the metrics in an OpenMetrics text.
fn metric_names(text: &str) -> Vec<String> {
    text.lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next().map(str::to_owned))
        .collect()
}

#[gtest]
fn encode_every_metric_is_documented() -> Result<()> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/metrics.md");
    let page = fs::read_to_string(path).or_fail()?;
    let metrics = AgentMetrics::new(WallMillis(1_000));
    let service = ("seals".into(), "verifier".into());
    let answer = CompleteAnswer::new(StatusCode::OK, &HeaderMap::new(), Bytes::new());
    metrics.record_request(&service, &ExchangeReply::Answered(answer), 5);
    metrics.record_unavailable(&service, 5);
    let names = metric_names(&metrics.encode(0, 0, 0));
    expect_that!(names.len(), ge(7));
    for name in &names {
        expect_that!(page, contains_substring(format!("| `{name}` |")));
    }
    let documented = page
        .lines()
        .filter(|line| line.starts_with("| `jy_"))
        .count();
    expect_that!(documented, eq(names.len()));
    Ok(())
}

#[gtest]
fn record_request_refusal_has_no_duration() {
    let metrics = AgentMetrics::new(WallMillis(1_000));
    let service = ("seals".into(), "verifier".into());
    let refusal = Refusal::new(RefusalKind::Overloaded, "full");
    metrics.record_request(&service, &ExchangeReply::Refused(refusal), 5);
    let text = metrics.encode(0, 0, 0);
    expect_that!(text, contains_substring("outcome=\"overloaded\"} 1"));
    expect_that!(
        text,
        not(contains_substring("jy_request_duration_seconds_count"))
    );
}
