//! The operators' page lists every metric that an agent serves.

use googletest::prelude::*;
use jy_edge::metrics::EdgeMetrics;

/// The operators' page.
const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[gtest]
fn to_text_names_stand_on_operators_page() {
    let metrics = EdgeMetrics::new();
    metrics.count("r", "answered");
    let text = metrics.to_text().expect("metrics are text");
    let help = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP jy_"));
    let names: Vec<&str> = help.filter_map(|line| line.split(' ').next()).collect();
    expect_that!(names.len(), eq(13));
    for name in names {
        expect_that!(PAGE, contains_substring(&*format!("| `{name}` |")));
    }
}
