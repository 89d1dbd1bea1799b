//! Tests that the deployed template renders as valid settings, with and without the fields that a platform may lack.

use googletest::prelude::*;
use jy_config::edge;

const TEMPLATE: &str = include_str!("../../../deploy/edge-full.jsonc");

/// Fields that every platform has.
const FIELDS: [(&str, &str); 18] = [
    ("node", "n-1"),
    ("zone", "z-1"),
    ("service", "s"),
    ("app", "127.0.0.1:8301"),
    ("ip", "127.0.0.1"),
    ("listen.inbound", "127.0.0.1:8300"),
    ("listen.ready", "127.0.0.1:8302"),
    ("listen.outbound", "127.0.0.1:8304"),
    ("listen.control", "127.0.0.1:8306"),
    ("platform.address", "127.0.0.1:8309"),
    ("limits.link_mbps", "200.0"),
    ("heartbeat_ms", "870"),
    ("bounds.max_hold_ms", "10000"),
    ("bounds.drain_ms", "2000"),
    ("bounds.grace_s", "6"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.budget_slack", "56"),
    ("bounds.budget_window_s", "10"),
];

/// Fills in the template. The sections of absent fields are left out.
///
/// # Panics
///
/// Panics if a placeholder outside of a left-out section is no field, or if a tag is not closed.
fn render(extra: &[(&str, &str)]) -> String {
    let find = |name: &str| {
        let mut fields = FIELDS.iter().chain(extra);
        fields
            .find(|(field, _)| *field == name)
            .map(|(_, value)| *value)
    };
    let (mut text, mut rest) = (String::new(), TEMPLATE);
    while let Some((before, after)) = rest.split_once("{{") {
        let (tag, after) = after.split_once("}}").expect("a tag is closed");
        text.push_str(before);
        rest = after;
        if let Some(section) = tag.strip_prefix('#') {
            let end = format!("{{{{/{section}}}}}");
            if find(section).is_none() {
                (_, rest) = after.split_once(&end).expect("a section ends");
            }
        } else if !tag.starts_with('/') {
            text.push_str(find(tag).expect("a placeholder is a field"));
        }
    }
    text + rest
}

/// Guards against agents that use the default on instances with more memory or less.
#[gtest]
fn parse_template_has_memory_of_instance() {
    let fields = [("limits.memory_mb", "260")];
    let settings = edge::parse("e", &render(&fields)).expect("the settings have no findings");
    expect_that!(settings.memory_mb, eq(260.0));
}

/// Guards against a template that is invalid where the platform lacks the field.
#[gtest]
fn parse_template_without_memory_has_default() {
    let settings = edge::parse("e", &render(&[])).expect("the settings have no findings");
    expect_that!(settings.memory_mb, eq(160.0));
}

/// Guards against sections whose commas do not fit together.
#[gtest]
fn parse_template_with_all_sections_is_valid() {
    let fields = [
        ("limits.memory_mb", "512"),
        ("bounds.revoke_strict", "true"),
        ("bounds.revoke_ms", "5000"),
        ("bounds.quota_window_s", "5"),
        ("bounds.quota_excess", "0.1"),
        ("bounds.quota_slack", "20"),
    ];
    let settings = edge::parse("e", &render(&fields)).expect("the settings have no findings");
    expect_that!(settings.memory_mb, eq(512.0));
    expect_that!(settings.bounds.revoke_ms, some(eq(5_000)));
    expect_that!(settings.bounds.quota.is_some(), eq(true));
}

/// Guards against a time to refuse withdrawn keys that agents can't keep without refusing valid keys.
#[gtest]
fn parse_revoke_ms_that_is_too_short_is_rejected() {
    for (revoke_ms, is_accepted) in [("1", false), ("1999", false), ("2000", true)] {
        let fields = [
            ("bounds.revoke_strict", "true"),
            ("bounds.revoke_ms", revoke_ms),
        ];
        let result = edge::parse("e", &render(&fields));
        expect_that!(result.is_ok(), eq(is_accepted), "{revoke_ms}");
        if let Err(error) = result {
            let text = error.to_string();
            expect_that!(text, contains_substring("revoke_ms"));
            expect_that!(text, contains_substring("use a number from 2000 to 600000"));
        }
    }
}
