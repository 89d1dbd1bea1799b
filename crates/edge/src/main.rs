//! Command line of `jyedge`, the agent for platforms whose backend servers announce themselves.

use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use getopts::Matches;
use getopts::Options;
use jy_config::edge;
use jy_config::edge::EdgeSettings;
use jy_edge::app;

/// Usage text, printed above the list of options.
const USAGE: &str = "usage: jyedge --config FILE [--check]
       jyedge --config-variable NAME

Runs the agent beside a backend server. SIGTERM or SIGINT makes it leave gracefully; SIGHUP makes it
reload its settings.

example: jyedge --config /etc/jasmineyoke/edge.jsonc";

fn main() -> ExitCode {
    let options = options();
    match run_command(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jyedge: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Returns the command line options.
fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "c",
        "config",
        "settings file, in JSON with comments",
        "FILE",
    );
    options.optopt(
        "",
        "config-variable",
        "environment variable that holds the path of the settings file",
        "NAME",
    );
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options
}

/// Parses the command line, then prints the help, checks the settings or runs the agent.
///
/// # Errors
///
/// Returns an error if the command line or the settings are invalid, or if the agent can't start.
fn run_command(options: &Options) -> Result<()> {
    let matches = options
        .parse(std::env::args().skip(1))
        .context("see jyedge --help")?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    let (path, settings) = read_settings(&matches)?;
    if matches.opt_present("check") {
        println!("settings of agent {} are in order", settings.name);
        return Ok(());
    }
    let logs = jy_kernel::logs::start_on_stdout(&settings.log_level)?;
    let result = actix_rt::System::new().block_on(app::run(&path, settings));
    logs.flush();
    result
}

/// Reads the settings file that the command line names. Returns its path and the settings.
///
/// # Errors
///
/// Returns an error if no path is given, or if the file can't be read or is invalid.
fn read_settings(matches: &Matches) -> Result<(String, EdgeSettings)> {
    let path = match (
        matches.opt_str("config"),
        matches.opt_str("config-variable"),
    ) {
        (Some(path), _) => path,
        (None, Some(name)) => std::env::var(&name).with_context(|| {
            format!(
                "could not read the settings path from environment variable {name}; set it to the \
                 path of the settings file"
            )
        })?,
        (None, None) => anyhow::bail!("--config FILE is missing; see jyedge --help"),
    };
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("could not read {path}; check the path after --config"))?;
    let settings = edge::parse(&path, &text)?;
    Ok((path, settings))
}
