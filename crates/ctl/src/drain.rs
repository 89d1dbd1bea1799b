//! `jyctl drain`: asks one agent to hand over its keys and leave.

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
use crate::error::EXIT_LATE;
use crate::error::Result;
use crate::fleet::CallMethod;
use crate::fleet::FleetClient;
use crate::watch::ProgressLine;

/// Time between two questions.
const POLL_EVERY: Duration = Duration::from_millis(200);

/// How long to wait for the agent to leave, in milliseconds.
const WITHIN_MS: u64 = 30_000;

/// `jyctl drain`.
pub const DRAIN: CommandSpec = CommandSpec {
    name: "drain",
    arguments: "AGENT --agent IP:PORT",
    about: "Makes one agent hand over its keys, end its requests and leave.",
    example: "jyctl drain verifier-2 --agent 127.0.0.1:7104",
    options,
    run: |matches| Box::pin(drain(matches)),
};

/// Options of `jyctl drain`.
fn options(options: &mut Options) {
    args::add_agent(options);
    options.optopt(
        "",
        "within",
        "how long to wait for it to leave, by default 30s",
        "TIME",
    );
}

/// Runs `jyctl drain`.
///
/// # Errors
///
/// [`CtlError`](crate::error::CtlError).
async fn drain(matches: Matches) -> Result<CommandOutcome> {
    let name = args::only(&matches, "agent's name")?;
    let fleet = FleetClient::new(args::agents(&matches)?);
    let within = Duration::from_millis(args::millis(&matches, "within", WITHIN_MS)?);
    let member = fleet.find(&name).await?;
    let address = member.operator_addr;
    fleet.body(address, CallMethod::Post, DRAIN_PATH).await?;
    let start = Instant::now();
    let mut line = ProgressLine::new();
    loop {
        let (state, text) = progress(&fleet, &member).await;
        line.show(&format!("{name}: {text}"));
        let over = state.is_none_or(MemberState::has_ended);
        if over || start.elapsed() >= within {
            line.end();
            return Ok(finish(&name, over, state, &text, start.elapsed()));
        }
        actix_rt::time::sleep(POLL_EVERY).await;
    }
}

/// Asks how far the agent has come: its state as the others have it, and a text.
async fn progress(fleet: &FleetClient, member: &MemberStatus) -> (Option<MemberState>, String) {
    let answer: Result<AgentStatus> = fleet.get_from(member.operator_addr, STATUS_PATH).await;
    let own = answer.ok().filter(|status| status.id == member.id);
    let members: Result<Vec<MemberStatus>> = fleet.get(MEMBERS_PATH).await;
    let members = members.unwrap_or_default();
    let seen = members.iter().find(|other| other.id == member.id);
    let state = seen.map(|seen| seen.state);
    let text = match (&own, state) {
        (_, Some(MemberState::Left)) => "it has left".to_owned(),
        (_, Some(MemberState::Dead)) => "a verdict ended it".to_owned(),
        (Some(own), _) => format!("{} units, {} requests in flight", own.units, own.in_flight),
        (None, None) if !members.is_empty() => "it is gone from the records".to_owned(),
        (None, _) => "it does not answer".to_owned(),
    };
    let waiting = own.is_some() || members.is_empty();
    (state.or(waiting.then_some(MemberState::Leaving)), text)
}

/// Says how it ended.
fn finish(
    name: &str,
    over: bool,
    state: Option<MemberState>,
    text: &str,
    elapsed: Duration,
) -> CommandOutcome {
    let millis = elapsed.as_millis();
    let json = json!({"agent": name, "left": over, "state": state, "elapsed_ms": millis});
    if over {
        return CommandOutcome::new(format!("{name}: {text}, after {millis} ms\n"), json);
    }
    let text = format!(
        "{name}: not gone after {millis} ms: {text}\n  hint: it goes on leaving; \
         see `jyctl status`, and the store if its units do not move\n"
    );
    CommandOutcome::new(text, json).with_exit(EXIT_LATE)
}
