//! Command line of `jyagent`, which runs one agent until it is asked to leave.

use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use jy_agent::app;
use jy_agent::app::RunOutcome;
use jy_config::agent::AgentSettings;
use jy_config::agent::parse;

/// Action that the command line selects.
enum Command {
    Help,
    Check(AgentSettings),
    Run(AgentSettings),
}

fn main() -> ExitCode {
    let options = options();
    let command = match parse_command(&options) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("jyagent: {error:#}");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => {
            print!("{}", options.usage(USAGE));
            ExitCode::SUCCESS
        }
        Command::Check(settings) => {
            println!("settings of agent {} are in order", settings.name);
            ExitCode::SUCCESS
        }
        Command::Run(settings) => run(settings),
    }
}

/// Usage text, printed above the list of options.
const USAGE: &str = "usage: jyagent --config FILE [--check]

Runs the agent beside a backend server. SIGTERM or SIGINT makes it leave gracefully.

example: jyagent --config /etc/jasmineyoke/agent.jsonc";

/// Returns the command line options.
fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "c",
        "config",
        "settings file, in JSON with comments",
        "FILE",
    );
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options
}

/// Parses the command line and reads the settings.
///
/// # Errors
///
/// Returns an error if the command line is invalid, or if the settings file can't be read or is invalid.
fn parse_command(options: &Options) -> Result<Command> {
    let matches = options
        .parse(std::env::args().skip(1))
        .context("see jyagent --help")?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    let path = matches
        .opt_str("config")
        .context("--config FILE is missing; see jyagent --help")?;
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("could not read {path}; check the path after --config"))?;
    let settings = parse(&path, &text)?;
    if matches.opt_present("check") {
        return Ok(Command::Check(settings));
    }
    Ok(Command::Run(settings))
}

/// Runs the agent until it has left, with a new incarnation whenever the current one is declared dead.
fn run(settings: AgentSettings) -> ExitCode {
    let logs = match jy_kernel::logs::start(&settings.log_level) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("jyagent: {error}");
            return ExitCode::from(2);
        }
    };
    // Each incarnation has its own system, so that no task of a dead incarnation keeps running.
    let result = loop {
        match actix_rt::System::new().block_on(app::run(settings.clone())) {
            Ok(RunOutcome::DeclaredDead) => {}
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
