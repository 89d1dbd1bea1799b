//! `jyctl`, the operators' command: configuration, state of the fleet and service-level burn.

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

/// All commands.
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

/// Runs one command line and returns what to print.
///
/// # Errors
///
/// [`CtlError`] with its own exit code.
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

/// Writes the list of commands and exit codes.
fn help() -> String {
    let lines: String = COMMANDS
        .iter()
        .map(|command| format!("  {:<8} {}\n", command.name, command.about))
        .collect();
    format!(
        "jyctl: operate a fleet of agents\n\nusage: jyctl COMMAND [options]\n\ncommands:\n{lines}\n\
         `jyctl COMMAND --help` shows its options and an example.\n\n\
         exit codes: 0 ok, 1 findings or a lost race, 2 usage, 3 unreachable, \
         4 not in force in time\n"
    )
}
