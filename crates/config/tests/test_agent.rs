//! Tests agent settings: defaults, and findings with their locations.

use googletest::prelude::*;
use jy_config::agent;
use jy_config::agent::LeaseSettings;

const EXAMPLE: &str = include_str!("../../../examples/agent.jsonc");

/// Parses the example with some text replaced and returns the findings.
///
/// # Panics
///
/// Panics if the example does not contain `from`, or if there are no findings.
fn findings(from: &str, to: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(from), "the example must contain {from}");
    let list =
        agent::parse("a", &EXAMPLE.replacen(from, to, 1)).expect_err("settings must have findings");
    list.0.iter().map(ToString::to_string).collect()
}

#[gtest]
fn parse_example_has_defaults() -> Result<()> {
    let settings = agent::parse("a", EXAMPLE).expect("settings must have no findings");
    verify_that!(settings.lease, eq(&LeaseSettings::default()))?;
    verify_that!(settings.trace_dir, none())
}

#[gtest]
fn parse_reports_all_findings_together() -> Result<()> {
    let list = agent::parse("a", "{\"nam\": 1, \"store\": 2, \"place\": {}}")
        .expect_err("settings must have findings");
    verify_that!(list.0.len(), eq(7))?;
    let text = list.to_string();
    verify_that!(
        text,
        contains_substring(
            "a:1:2: unknown setting \"nam\" in the agent's settings\n  hint: did you mean \"name\"?"
        )
    )?;
    verify_that!(
        text,
        contains_substring("a:1:21: expected a string, found a number")
    )
}

#[gtest]
fn parse_rejects_invalid_addresses() -> Result<()> {
    let duplicate = findings(":7104", ":7103");
    verify_that!(
        duplicate,
        elements_are![contains_substring(
            "of \"operator\" conflicts with the address of \"backend\""
        )]
    )?;
    let listener = findings("127.0.0.1:7000", "127.0.0.1:7104");
    verify_that!(
        listener,
        elements_are![contains_substring(
            "\"store\" has the address of one of the agent's listeners"
        )]
    )?;
    let unspecified = findings("127.0.0.1:7101", "0.0.0.0:7101");
    verify_that!(
        unspecified,
        elements_are![contains_substring(
            "\"peer_rpc\" has the unspecified address 0.0.0.0:7101, which other instances can't connect to"
        )]
    )?;
    let host_name = findings("127.0.0.1:7000", "store:7000");
    verify_that!(
        host_name,
        elements_are![contains_substring("\"store:7000\" is not an address")]
    )
}

#[gtest]
fn parse_accepts_advertised_address() -> Result<()> {
    let text = EXAMPLE
        .replacen("127.0.0.1:7101", "0.0.0.0:7101", 1)
        .replacen(
            "\"store\"",
            "\"advertise\": { \"peer_rpc\": \"10.0.0.7:9101\" }, \"store\"",
            1,
        );
    let settings = agent::parse("a", &text).expect("settings must have no findings");
    verify_that!(
        settings.advertise.peer_rpc,
        some(displays_as(eq("10.0.0.7:9101")))
    )?;
    verify_that!(settings.advertise.peer_forward, none())
}

#[gtest]
fn parse_rejects_short_lease_and_unknown_log_level() -> Result<()> {
    let short = findings(
        "\"log_level\"",
        "\"lease\": { \"ttl_ms\": 1499 }, \"log_level\"",
    );
    verify_that!(
        short,
        elements_are![contains_substring("set \"ttl_ms\" to 1500 or more")]
    )?;
    let level = findings("\"info\"", "\"inf\"");
    verify_that!(
        level,
        elements_are![contains_substring("did you mean \"info\"?")]
    )
}
