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
use crate::error::EXIT_TIMED_OUT;
use crate::error::Result;
use crate::fleet::AgentObservation;
use crate::fleet::FleetClient;

/// Time between two polls of all agents.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which a configuration is expected to be in force everywhere.
const DEFAULT_TIMEOUT_MS: u64 = 6_000;

/// Number of agents listed by name when they lack a revision.
const MAX_MISSING_SHOWN: usize = 8;

/// `jyctl watch`.
pub const WATCH: CommandSpec = CommandSpec {
    name: "watch",
    arguments: "--agent IP:PORT (--revision N | --workspace NAME --store IP:PORT)",
    about: "Waits until a configuration is in force at every agent.",
    example: "jyctl watch --revision 12 --agent 127.0.0.1:7104",
    options,
    run: |matches| Box::pin(watch(matches)),
};

/// Adds the options of `jyctl watch`.
fn options(options: &mut Options) {
    args::add_agent(options);
    args::add_store(options);
    options.optopt("", "revision", "revision printed by `jyctl accept`", "N");
    options.optopt(
        "",
        "workspace",
        "wait for the newest accepted revision of this workspace",
        "NAME",
    );
    options.optopt("", "within", "how long to wait, 6s by default", "TIME");
}

/// Number of agents at which a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Number of agents that have the revision or a later one.
    pub up_to_date: usize,
    /// Number of agents asked.
    pub total: usize,
    /// Names of the agents not known to have the revision, each with the reason.
    pub missing: Vec<String>,
}

impl RolloutProgress {
    /// Counts the agents that have a revision.
    #[must_use]
    pub fn new(revision: u64, observations: &[AgentObservation]) -> Self {
        let missing_reason = |observation: &AgentObservation| {
            let name = &observation.member.id.name;
            match &observation.status {
                None => Some(format!("{name} (no answer)")),
                Some(status) if status.revision < revision => {
                    Some(format!("{name} (at revision {})", status.revision))
                }
                Some(_) => None,
            }
        };
        let missing: Vec<_> = observations.iter().filter_map(missing_reason).collect();
        Self {
            up_to_date: observations.len() - missing.len(),
            total: observations.len(),
            missing,
        }
    }

    /// Whether every agent has the revision. False without agents.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.total > 0 && self.missing.is_empty()
    }
}

/// Runs `jyctl watch`.
///
/// # Errors
///
/// [`CtlError`] if the command line is invalid, the revision cannot be determined, or no given agent answers.
async fn watch(matches: Matches) -> Result<CommandOutcome> {
    let fleet = FleetClient::new(args::agent_addresses(&matches)?);
    let timeout = Duration::from_millis(args::duration_ms(&matches, "within", DEFAULT_TIMEOUT_MS)?);
    let revision = revision(&matches).await?;
    let start = Instant::now();
    let mut progress_line = ProgressLine::new();
    loop {
        let progress = RolloutProgress::new(revision, &fleet.observations().await?);
        progress_line.show(&format!(
            "revision {revision}: {} of {} agents have it",
            progress.up_to_date, progress.total
        ));
        if progress.is_complete() || start.elapsed() >= timeout {
            progress_line.end();
            return Ok(watch_outcome(revision, &progress, start.elapsed()));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the revision to wait for.
///
/// # Errors
///
/// [`CtlError::Usage`] if none is given, [`CtlError::Refused`] if the workspace is not accepted, or the
/// errors of reading it from the store.
async fn revision(matches: &Matches) -> Result<u64> {
    if let Some(revision) = args::integer(matches, "revision")? {
        return Ok(revision);
    }
    let hint = "add --revision N, or --workspace NAME and --store IP:PORT";
    let name = matches
        .opt_str("workspace")
        .ok_or_else(|| CtlError::usage("no revision or workspace to wait for is given", hint))?;
    let store = StoreClient::new(&args::store_address(matches)?.to_string());
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

/// Reports whether the revision is in force everywhere.
fn watch_outcome(revision: u64, progress: &RolloutProgress, elapsed: Duration) -> CommandOutcome {
    let millis = elapsed.as_millis();
    let json = json!({
        "revision": revision, "in_force": progress.is_complete(), "have": progress.up_to_date,
        "agents": progress.total, "missing": progress.missing, "elapsed_ms": millis,
    });
    if progress.is_complete() {
        let text = format!(
            "revision {revision} is in force at all {} agents after {millis} ms\n",
            progress.total
        );
        return CommandOutcome::new(text, json);
    }
    let text = format!(
        "revision {revision} is not in force everywhere after {millis} ms: {} of {} agents have it\n\
         missing: {}\n  hint: `jyctl status` shows agents that cannot be reached; they apply it when \
         they are reachable again, or are declared dead\n",
        progress.up_to_date,
        progress.total,
        missing_text(&progress.missing)
    );
    CommandOutcome::new(text, json).with_exit(EXIT_TIMED_OUT)
}

/// Lists the first [`MAX_MISSING_SHOWN`] agents that lack a revision.
fn missing_text(missing: &[String]) -> String {
    let shown = missing
        .iter()
        .take(MAX_MISSING_SHOWN)
        .cloned()
        .collect::<Vec<_>>();
    let more = missing.len().saturating_sub(MAX_MISSING_SHOWN);
    match more {
        0 => shown.join(", "),
        more => format!("{} and {more} more (`--json` lists all)", shown.join(", ")),
    }
}

/// A progress line on standard error. A terminal shows one line that is overwritten; other outputs get a
/// new line for each change.
pub struct ProgressLine {
    last_text: String,
    to_terminal: bool,
}

impl ProgressLine {
    /// Creates a progress line that shows nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            last_text: String::new(),
            to_terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Shows a text if it differs from the one shown last.
    pub fn show(&mut self, text: &str) {
        if text == self.last_text {
            return;
        }
        let mut output = std::io::stderr().lock();
        let written = match self.to_terminal {
            true => write!(output, "\r\x1b[K{text}").and_then(|()| output.flush()),
            false => writeln!(output, "{text}"),
        };
        drop(written);
        text.clone_into(&mut self.last_text);
    }

    /// Ends the line on a terminal.
    pub fn end(&self) {
        if self.to_terminal && !self.last_text.is_empty() {
            eprintln!();
        }
    }
}

impl Default for ProgressLine {
    fn default() -> Self {
        Self::new()
    }
}
