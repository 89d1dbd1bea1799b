//! `jyctl watch`: waits until a revision is in force at every agent.

use std::io::IsTerminal;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use getopts::Matches;
use getopts::Options;
use jy_store::client::StoreClient;
use serde_json::json;

use crate::accept;
use crate::args;
use crate::command::CommandOutcome;
use crate::command::CommandSpec;
use crate::error::CtlError;
use crate::error::EXIT_LATE;
use crate::error::Result;
use crate::fleet::AgentObservation;
use crate::fleet::FleetClient;

/// Time between two rounds of questions.
const POLL_EVERY: Duration = Duration::from_millis(200);

/// A configuration is to be in force everywhere within this time, in milliseconds.
const WITHIN_MS: u64 = 6_000;

/// Agents that are named when they lack a revision.
const MISSING_SHOWN: usize = 8;

/// `jyctl watch`.
pub const WATCH: CommandSpec = CommandSpec {
    name: "watch",
    arguments: "--agent IP:PORT (--revision N | --workspace NAME --store IP:PORT)",
    about: "Waits until a configuration is in force at every agent.",
    example: "jyctl watch --revision 12 --agent 127.0.0.1:7104",
    options,
    run: |matches| Box::pin(watch(matches)),
};

/// Options of `jyctl watch`.
fn options(options: &mut Options) {
    args::add_agent(options);
    args::add_store(options);
    options.optopt("", "revision", "revision that `jyctl accept` printed", "N");
    options.optopt(
        "",
        "workspace",
        "instead: its newest accepted revision",
        "NAME",
    );
    options.optopt("", "within", "how long to wait, by default 6s", "TIME");
}

/// How far a revision has spread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Agents that have it.
    pub have: usize,
    /// Agents asked.
    pub asked: usize,
    /// Names of those that lack it, with the reason.
    pub missing: Vec<String>,
}

impl RolloutProgress {
    /// Counts the agents that have a revision.
    #[must_use]
    pub fn new(revision: u64, observations: &[AgentObservation]) -> Self {
        let lack = |observation: &AgentObservation| {
            let name = &observation.member.id.name;
            match &observation.status {
                None => Some(format!("{name} (no answer)")),
                Some(status) if status.revision < revision => {
                    Some(format!("{name} (at revision {})", status.revision))
                }
                Some(_) => None,
            }
        };
        let missing: Vec<_> = observations.iter().filter_map(lack).collect();
        Self {
            have: observations.len() - missing.len(),
            asked: observations.len(),
            missing,
        }
    }

    /// Whether every agent has it.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.asked > 0 && self.missing.is_empty()
    }
}

/// Runs `jyctl watch`.
///
/// # Errors
///
/// [`CtlError`] if no agent answers at all.
async fn watch(matches: Matches) -> Result<CommandOutcome> {
    let fleet = FleetClient::new(args::agents(&matches)?);
    let within = Duration::from_millis(args::millis(&matches, "within", WITHIN_MS)?);
    let revision = revision(&matches).await?;
    let start = Instant::now();
    let mut line = ProgressLine::new();
    loop {
        let tally = RolloutProgress::new(revision, &fleet.observations().await?);
        line.show(&format!(
            "revision {revision}: {} of {} agents have it",
            tally.have, tally.asked
        ));
        if tally.is_complete() || start.elapsed() >= within {
            line.end();
            return Ok(finish(revision, &tally, start.elapsed()));
        }
        actix_rt::time::sleep(POLL_EVERY).await;
    }
}

/// Finds out which revision to wait for.
///
/// # Errors
///
/// [`CtlError`].
async fn revision(matches: &Matches) -> Result<u64> {
    if let Some(revision) = args::integer(matches, "revision")? {
        return Ok(revision);
    }
    let hint = "add --revision N, or --workspace NAME and --store IP:PORT";
    let name = matches
        .opt_str("workspace")
        .ok_or_else(|| CtlError::usage("nothing to wait for is given", hint))?;
    let store = StoreClient::new(&args::store(matches)?.to_string());
    let state = accept::read(&store, &name).await?;
    if state.record.is_none() {
        let message = format!("workspace {name:?} is not accepted");
        return Err(CtlError::refused(
            message,
            "accept it first: `jyctl accept --help`",
        ));
    }
    Ok(state.revision)
}

/// Says whether the revision is in force everywhere.
fn finish(revision: u64, tally: &RolloutProgress, elapsed: Duration) -> CommandOutcome {
    let millis = elapsed.as_millis();
    let json = json!({
        "revision": revision, "in_force": tally.is_complete(), "have": tally.have,
        "agents": tally.asked, "missing": tally.missing, "elapsed_ms": millis,
    });
    if tally.is_complete() {
        let text = format!(
            "revision {revision} is in force at all {} agents after {millis} ms\n",
            tally.asked
        );
        return CommandOutcome::new(text, json);
    }
    let text = format!(
        "revision {revision} is not in force everywhere after {millis} ms: {} of {} agents have it\n\
         missing: {}\n  hint: `jyctl status` shows agents that are cut off; they take it up when \
         they are back, or leave by a verdict\n",
        tally.have,
        tally.asked,
        missing_text(&tally.missing)
    );
    CommandOutcome::new(text, json).with_exit(EXIT_LATE)
}

/// Names the first of the agents that lack a revision.
fn missing_text(missing: &[String]) -> String {
    let shown = missing
        .iter()
        .take(MISSING_SHOWN)
        .cloned()
        .collect::<Vec<_>>();
    let more = missing.len().saturating_sub(MISSING_SHOWN);
    match more {
        0 => shown.join(", "),
        more => format!("{} and {more} more (`--json` lists all)", shown.join(", ")),
    }
}

/// A line on standard error that is written over while it changes.
pub struct ProgressLine {
    last: String,
    terminal: bool,
}

impl ProgressLine {
    /// Starts with no line.
    #[must_use]
    pub fn new() -> Self {
        Self {
            last: String::new(),
            terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Shows a text if it differs from the last.
    pub fn show(&mut self, text: &str) {
        if text == self.last {
            return;
        }
        let mut output = std::io::stderr().lock();
        let written = match self.terminal {
            true => write!(output, "\r\x1b[K{text}").and_then(|()| output.flush()),
            false => writeln!(output, "{text}"),
        };
        drop(written);
        text.clone_into(&mut self.last);
    }

    /// Ends the line.
    pub fn end(&self) {
        if self.terminal && !self.last.is_empty() {
            eprintln!();
        }
    }
}

impl Default for ProgressLine {
    fn default() -> Self {
        Self::new()
    }
}
