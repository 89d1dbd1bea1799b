//! Tests of the error answers that the agent itself gives to callers.

use googletest::prelude::*;
use jy_edge::refusal;
use jy_types::time::Millis;

/// Guards against retry delays of requests beyond a quota that end before there is credit and are all the same.
#[gtest]
fn over_quota_retry_after_is_not_cut() {
    for (retry_ms, seconds) in [(10, "0.040"), (700, "0.700"), (2_900, "2.900")] {
        let response = refusal::over_quota("used up", retry_ms);
        expect_that!(response.status.as_u16(), eq(429));
        let header = response.headers.get("retry-after");
        expect_that!(
            header.and_then(|value| value.to_str().ok()),
            some(eq(seconds))
        );
    }
}

/// Guards against retry delays of other refusals that callers ignore, as they exceed a third of the time left.
#[gtest]
fn not_run_retry_after_is_cut() {
    let response = refusal::not_run("busy", 700, Millis(1_000), Millis(1_300));
    let header = response.headers.get("retry-after");
    expect_that!(
        header.and_then(|value| value.to_str().ok()),
        some(eq("0.100"))
    );
}
