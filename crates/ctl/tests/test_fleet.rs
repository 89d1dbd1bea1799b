//! Tests of commands that evaluate the agents' answers.

use std::rc::Rc;

use futures_util::FutureExt;
use googletest::prelude::*;
use jy_ctl::error::CtlError;
use jy_ctl::error::EXIT_UNREACHABLE;
use jy_ctl::error::EXIT_USAGE;
use jy_ctl::fleet::FetchFn;
use jy_ctl::fleet::FleetClient;
use jy_ctl::status;
use jy_ctl::watch::RolloutProgress;
use jy_types::status::STATUS_PATH;
use jy_types::status::ServiceStatus;

/// Returns a client of three agents that asks the agents on the ports `asked`.
///
/// Agent "a" is on port 1 at revision 7. Agent "b" is on port 2 at `revision`, or does not answer if that
/// is `None`. Agent "c" on port 3 is dead, and no agent is on any other port.
///
/// # Panics
///
/// Never, since the addresses are valid.
fn fleet(revision: Option<u64>, asked: &[u16]) -> FleetClient {
    let fetch: FetchFn = Rc::new(move |address, _, path| {
        let answer = match (address.port(), path == STATUS_PATH) {
            (1, false) => Some(format!(
                "[{},{},{}]",
                member_json("b", 2, "live"),
                member_json("c", 3, "dead"),
                member_json("a", 1, "live")
            )),
            (1, true) => Some(agent_json("a", 7)),
            (2, true) => revision.map(|revision| agent_json("b", revision)),
            _ => None,
        };
        let no_answer = move || CtlError::Agent {
            address: address.to_string().into(),
            cause: "simulated failure".into(),
            hint: "none",
        };
        Box::pin(async move { answer.map(String::into_bytes).ok_or_else(no_answer) })
    });
    let address = |port: &u16| {
        format!("127.0.0.1:{port}")
            .parse()
            .expect("the address is valid")
    };
    FleetClient::with_fetch(asked.iter().map(address).collect(), fetch)
}

/// Returns an entry of the member list as JSON.
fn member_json(name: &str, port: u16, state: &str) -> String {
    format!(
        r#"{{"id": {{"name": "{name}", "incarnation": 1}}, "state": "{state}", "operator_addr": "127.0.0.1:{port}",
        "place": {{"region": "r", "zone": "z", "rack": "k"}}, "endpoint": null}}"#
    )
}

/// Returns an agent's status as JSON.
fn agent_json(name: &str, revision: u64) -> String {
    format!(
        r#"{{"id": {{"name": "{name}", "incarnation": 1}}, "place": {{"region": "r", "zone": "z", "rack": "k"}},
        "state": "live", "revision": {revision}, "lease_left_ms": 900, "controller": {{"name": "a", "incarnation": 1}},
        "term": 3, "watches_store": true, "store_reachable": true, "in_flight": 0, "units": 5}}"#
    )
}

/// Returns the observations of all agents. The first agent asked does not exist.
///
/// # Panics
///
/// If no agent answers.
fn observations(revision: Option<u64>) -> Vec<jy_ctl::fleet::AgentObservation> {
    let fleet = fleet(revision, &[9, 1]);
    let observations = fleet
        .observations()
        .now_or_never()
        .expect("the test client answers without waiting");
    observations.expect("agent a answers")
}

#[gtest]
fn rollout_progress_lists_agents_without_revision() -> Result<()> {
    let behind = RolloutProgress::new(7, &observations(Some(6)));
    verify_that!(
        (behind.up_to_date, behind.total, behind.is_complete()),
        eq((1, 2, false))
    )?;
    verify_that!(behind.missing, elements_are![eq("b (at revision 6)")])?;
    let no_answer = RolloutProgress::new(7, &observations(None));
    verify_that!(no_answer.missing, elements_are![eq("b (no answer)")])?;
    verify_that!(
        RolloutProgress::new(7, &observations(Some(8))).is_complete(),
        eq(true)
    )?;
    verify_that!(RolloutProgress::new(7, &[]).is_complete(), eq(false))
}

#[gtest]
fn summary_lists_agents_without_answer() -> Result<()> {
    let text = status::summary(&observations(None));
    verify_that!(
        text,
        contains_substring("agents      2 live, 0 joining, 0 leaving; 1 of 2 answer")
    )?;
    verify_that!(
        text,
        contains_substring("controller  a, term 3, known to 1 of 1 agents")
    )?;
    verify_that!(text, contains_substring("no answer   b"))
}

#[gtest]
fn imbalance_uneven_owners_is_peak_over_mean() -> Result<()> {
    // The owners have 6 and 2 units, so the mean is 4 and the peak is 1.5 times the mean.
    let text = r#"{"workspace": "w", "service": "s", "unassigned": 0, "moving": 0, "owners": [
        {"owner": {"name": "a", "incarnation": 1}, "units": 6},
        {"owner": {"name": "b", "incarnation": 1}, "units": 2}]}"#;
    let service: ServiceStatus = serde_json::from_str(text).expect("the service status is valid");
    verify_that!(status::imbalance(&service), some(near(1.5, 1e-9)))
}

#[gtest]
fn find_member_dead_agent_lists_active_names() -> Result<()> {
    let fleet = fleet(None, &[1]);
    let error = fleet
        .find_member("c")
        .now_or_never()
        .expect("the test client answers without waiting")
        .expect_err("c is dead");
    verify_that!(error, displays_as(contains_substring("known here: a, b")))
}

#[gtest]
fn run_returns_documented_exit_codes() -> Result<()> {
    let run = |line: &str| {
        let arguments: Vec<_> = line.split(' ').map(str::to_owned).collect();
        actix_rt::System::new()
            .block_on(jy_ctl::run(&arguments))
            .map_err(|error| error.exit_code())
    };
    verify_that!(run("acept"), err(eq(&EXIT_USAGE)))?;
    verify_that!(run("burn --agent 127.0.0.1:1"), err(eq(&EXIT_USAGE)))?;
    verify_that!(
        run("status --agent 127.0.0.1:1"),
        err(eq(&EXIT_UNREACHABLE))
    )?;
    for command in jy_ctl::COMMANDS {
        let help = run(&format!("{} --help", command.name)).expect("the help succeeds");
        verify_that!(help.text, contains_substring("example:\n    jyctl "))?;
    }
    Ok(())
}
