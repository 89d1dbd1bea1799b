//! `jyctl drain`: drains one agent, which hands over its keys and leaves the fleet.

use std::time::Duration;
use std::time::Instant;

use getopts::Matches;
use getopts::Options;
use jy_types::member::MemberState;
use jy_types::status::AgentStatus;
use jy_types::status::DRAIN_PATH;
use jy_types::status::MEMBERS_PATH;
use jy_types::status::MemberStatus;
use jy_types::status::STATUS_PATH;
use serde_json::json;

use crate::args;
use crate::command::CommandOutcome;
use crate::command::CommandSpec;
use crate::error::EXIT_TIMED_OUT;
use crate::error::Result;
use crate::fleet::CallMethod;
use crate::fleet::FleetClient;
use crate::watch::ProgressLine;

/// Time between two polls of the agent and the member list.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time to wait for the agent to leave.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// `jyctl drain`.
pub const DRAIN: CommandSpec = CommandSpec {
    name: "drain",
    arguments: "AGENT --agent IP:PORT",
    about: "Drains one agent: it hands over its keys, finishes its requests and leaves.",
    example: "jyctl drain verifier-2 --agent 127.0.0.1:7104",
    options,
    run: |matches| Box::pin(drain(matches)),
};

/// Adds the options of `jyctl drain`.
fn options(options: &mut Options) {
    args::add_agent(options);
    options.optopt(
        "",
        "within",
        "how long to wait for the agent to leave, 30s by default",
        "TIME",
    );
}

/// Runs `jyctl drain`.
///
/// # Errors
///
/// [`CtlError`](crate::error::CtlError) if the command line is invalid, no agent has the name, or the agent
/// does not accept the drain.
async fn drain(matches: Matches) -> Result<CommandOutcome> {
    let name = args::single_argument(&matches, "agent's name")?;
    let fleet = FleetClient::new(args::agent_addresses(&matches)?);
    let timeout = Duration::from_millis(args::duration_ms(&matches, "within", DEFAULT_TIMEOUT_MS)?);
    let member = fleet.find_member(&name).await?;
    let address = member.operator_addr;
    fleet.call(address, CallMethod::Post, DRAIN_PATH).await?;
    let start = Instant::now();
    let mut progress_line = ProgressLine::new();
    loop {
        let (state, text) = progress(&fleet, &member).await;
        progress_line.show(&format!("{name}: {text}"));
        let ended = state.is_none_or(MemberState::has_ended);
        if ended || start.elapsed() >= timeout {
            progress_line.end();
            return Ok(drain_outcome(&name, ended, state, &text, start.elapsed()));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the state of the drained agent as the other agents record it, and a description of its progress.
///
/// If the member list does not contain the agent, the state is `None`, unless the agent still answers or no
/// member list can be read: then it is taken to be [`MemberState::Leaving`].
async fn progress(fleet: &FleetClient, member: &MemberStatus) -> (Option<MemberState>, String) {
    let answer: Result<AgentStatus> = fleet.get_from(member.operator_addr, STATUS_PATH).await;
    let status = answer.ok().filter(|status| status.id == member.id);
    let members: Result<Vec<MemberStatus>> = fleet.get(MEMBERS_PATH).await;
    let members = members.unwrap_or_default();
    let recorded = members.iter().find(|other| other.id == member.id);
    let state = recorded.map(|recorded| recorded.state);
    let text = match (&status, state) {
        (_, Some(MemberState::Left)) => "it has left".to_owned(),
        (_, Some(MemberState::Dead)) => "it was declared dead".to_owned(),
        (Some(status), _) => format!(
            "{} units, {} requests in flight",
            status.units, status.in_flight
        ),
        (None, None) if !members.is_empty() => "it is no longer in the member list".to_owned(),
        (None, _) => "it does not answer".to_owned(),
    };
    let may_be_leaving = status.is_some() || members.is_empty();
    (
        state.or(may_be_leaving.then_some(MemberState::Leaving)),
        text,
    )
}

/// Reports whether the agent left in time.
fn drain_outcome(
    name: &str,
    ended: bool,
    state: Option<MemberState>,
    text: &str,
    elapsed: Duration,
) -> CommandOutcome {
    let millis = elapsed.as_millis();
    let json = json!({"agent": name, "left": ended, "state": state, "elapsed_ms": millis});
    if ended {
        return CommandOutcome::new(format!("{name}: {text}, after {millis} ms\n"), json);
    }
    let text = format!(
        "{name}: has not left after {millis} ms: {text}\n  hint: the drain continues; \
         check `jyctl status`, and the store if its units do not move\n"
    );
    CommandOutcome::new(text, json).with_exit(EXIT_TIMED_OUT)
}
