//! `jyagent`: runs one agent until it is told to stop.

use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use jy_agent::app;
use jy_agent::app::RunOutcome;
use jy_config::agent::AgentSettings;
use jy_config::agent::parse;

/// What the command line asks for.
enum Task {
    Help,
    Check(AgentSettings),
    Run(AgentSettings),
}

fn main() -> ExitCode {
    let options = options();
    let task = match read_task(&options) {
        Ok(task) => task,
        Err(error) => {
            eprintln!("jyagent: {error:#}");
            return ExitCode::from(2);
        }
    };
    match task {
        Task::Help => {
            print!("{}", options.usage(USAGE));
            ExitCode::SUCCESS
        }
        Task::Check(settings) => {
            println!("settings of agent {} are in order", settings.name);
            ExitCode::SUCCESS
        }
        Task::Run(settings) => run(settings),
    }
}

/// First lines of the help text.
const USAGE: &str = "usage: jyagent --config FILE [--check]

Runs the agent beside a backend server. SIGTERM or SIGINT makes it leave gracefully.

example: jyagent --config /etc/jasmineyoke/agent.jsonc";

/// Options of the command line.
fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings, in JSON with comments", "FILE");
    options.optflag("", "check", "check the settings and stop");
    options.optflag("h", "help", "print this help");
    options
}

/// Reads the command line and the settings.
///
/// # Errors
///
/// What is wrong, with a hint.
fn read_task(options: &Options) -> Result<Task> {
    let matches = options
        .parse(std::env::args().skip(1))
        .context("see jyagent --help")?;
    if matches.opt_present("help") {
        return Ok(Task::Help);
    }
    let path = matches
        .opt_str("config")
        .context("--config FILE is missing; see jyagent --help")?;
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("could not read {path}; check the path after --config"))?;
    let settings = parse(&path, &text)?;
    if matches.opt_present("check") {
        return Ok(Task::Check(settings));
    }
    Ok(Task::Run(settings))
}

/// Runs the agent until it stops.
fn run(settings: AgentSettings) -> ExitCode {
    let logs = match jy_kernel::logs::start(&settings.log_level) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("jyagent: {error}");
            return ExitCode::from(2);
        }
    };
    // A system of its own for each incarnation: nothing of a dead one goes on.
    let result = loop {
        match actix_rt::System::new().block_on(app::run(settings.clone())) {
            Ok(RunOutcome::Condemned) => {}
            Ok(RunOutcome::Left) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    logs.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jyagent: {error:#}");
            ExitCode::FAILURE
        }
    }
}
