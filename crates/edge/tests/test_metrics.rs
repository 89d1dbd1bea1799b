//! Tests that the operators' documentation lists every metric that an agent serves.

use googletest::prelude::*;
use jy_edge::metrics::EdgeMetrics;

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[gtest]
fn to_text_names_are_documented() {
    let metrics = EdgeMetrics::new();
    metrics.count("r", "answered");
    metrics.count_gate_refusal("at-once");
    let text = metrics.to_text().expect("metrics can be encoded");
    let help_lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP jy_"));
    let names: Vec<&str> = help_lines
        .filter_map(|line| line.split(' ').next())
        .collect();
    expect_that!(names.len(), eq(36));
    for name in names {
        expect_that!(
            OPERATIONS_PAGE,
            contains_substring(&*format!("| `{name}` |"))
        );
    }
}
