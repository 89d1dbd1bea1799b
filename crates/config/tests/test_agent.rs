//! Settings of agents: defaults, and every finding with its place.

use googletest::prelude::*;
use jy_config::agent;
use jy_config::agent::LeaseSettings;

const GOOD: &str = include_str!("../../../examples/agent.jsonc");

/// Parses the example with some text replaced and returns the findings.
///
/// # Panics
///
/// If the text is not there or nothing was found.
fn findings(from: &str, to: &str) -> Vec<String> {
    assert!(GOOD.contains(from), "{from} is not in the example");
    let list = agent::parse("a", &GOOD.replacen(from, to, 1)).expect_err("must have findings");
    list.0.iter().map(ToString::to_string).collect()
}

#[gtest]
fn parse_example_has_defaults() -> Result<()> {
    let settings = agent::parse("a", GOOD).expect("no findings");
    verify_that!(settings.lease, eq(&LeaseSettings::default()))?;
    verify_that!(settings.trace_dir, none())
}

#[gtest]
fn parse_reports_all_findings_together() -> Result<()> {
    let list =
        agent::parse("a", "{\"nam\": 1, \"store\": 2, \"place\": {}}").expect_err("findings");
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
fn parse_refuses_addresses() -> Result<()> {
    let twice = findings(":7104", ":7103");
    verify_that!(
        twice,
        elements_are![contains_substring(
            "\"operator\" has the address of \"backend\""
        )]
    )?;
    let own = findings("127.0.0.1:7000", "127.0.0.1:7104");
    verify_that!(
        own,
        elements_are![contains_substring(
            "\"store\" has the address of an own listener"
        )]
    )?;
    let any = findings("127.0.0.1:7101", "0.0.0.0:7101");
    verify_that!(
        any,
        elements_are![contains_substring(
            "\"peer_rpc\" has the address 0.0.0.0:7101, which others can't call"
        )]
    )?;
    let name = findings("127.0.0.1:7000", "store:7000");
    verify_that!(
        name,
        elements_are![contains_substring("\"store:7000\" is not an address")]
    )
}

#[gtest]
fn parse_takes_advertised_address() -> Result<()> {
    let text = GOOD.replacen("127.0.0.1:7101", "0.0.0.0:7101", 1).replacen(
        "\"store\"",
        "\"advertise\": { \"peer_rpc\": \"10.0.0.7:9101\" }, \"store\"",
        1,
    );
    let settings = agent::parse("a", &text).expect("no findings");
    verify_that!(
        settings.advertise.peer_rpc,
        some(displays_as(eq("10.0.0.7:9101")))
    )?;
    verify_that!(settings.advertise.peer_forward, none())
}

#[gtest]
fn parse_refuses_short_lease() -> Result<()> {
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
