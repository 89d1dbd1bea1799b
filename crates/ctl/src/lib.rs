//! `jyctl`, the operators' command-line tool: manages configuration and reports the state of the fleet and
//! its error budgets.

pub mod accept;
pub mod args;
pub mod burn;
pub mod clock;
pub mod command;
pub mod configure;
pub mod diff;
pub mod drain;
pub mod error;
pub mod files;
pub mod fleet;
pub mod replay;
pub mod status;
pub mod watch;
pub mod zone;

use command::CommandOutcome;
use command::CommandSpec;
use error::CtlError;
use error::Result;

/// All commands, in the order in which the help lists them.
pub const COMMANDS: &[CommandSpec] = &[
    configure::CHECK,
    configure::RENDER,
    configure::DIFF,
    configure::ACCEPT,
    watch::WATCH,
    status::STATUS,
    status::OWNER,
    zone::ZONE,
    drain::DRAIN,
    burn::BURN,
];

/// Runs a command line, without the program name, and returns what to print.
///
/// # Errors
///
/// [`CtlError::Usage`] if the command line is invalid, or the error of the command.
/// [`CtlError::exit_code`] is the exit code.
pub async fn run(arguments: &[String]) -> Result<CommandOutcome> {
    let name = arguments.first().map_or("--help", String::as_str);
    if ["--help", "-h", "help"].contains(&name) {
        return Ok(CommandOutcome::new(help(), serde_json::Value::Null));
    }
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        let names: Vec<_> = COMMANDS.iter().map(|command| command.name).collect();
        let hint = jy_config::reader::name_hint(name, &names);
        return Err(CtlError::usage(format!("unknown command {name:?}"), hint));
    };
    let matches = command.parse(&arguments[1..])?;
    if matches.opt_present("help") {
        return Ok(CommandOutcome::new(command.help(), serde_json::Value::Null));
    }
    (command.run)(matches).await
}

/// Returns the help text with all commands and exit codes.
fn help() -> String {
    let lines: String = COMMANDS
        .iter()
        .map(|command| format!("  {:<8} {}\n", command.name, command.about))
        .collect();
    format!(
        "jyctl: operate a fleet of agents\n\nusage: jyctl COMMAND [options]\n\ncommands:\n{lines}\n\
         `jyctl COMMAND --help` shows its options and an example.\n\n\
         exit codes: 0 success, 1 findings, a refused request or a conflicting change, \
         2 usage or file error, 3 unreachable, 4 timed out\n"
    )
}
