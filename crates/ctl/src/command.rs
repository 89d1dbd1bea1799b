//! Definition of a subcommand: its options, its help and its outcome.

use futures_util::future::LocalBoxFuture;
use getopts::Matches;
use getopts::Options;
use serde_json::Value;

use crate::error::CtlError;
use crate::error::EXIT_OK;
use crate::error::Result;

/// Result of a command: its output and exit code.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutcome {
    /// Output as text.
    pub text: String,
    /// Output as JSON, printed with `--json`. Null if there is none.
    pub json: Value,
    /// Exit code of the process.
    pub exit: u8,
}

impl CommandOutcome {
    /// Creates the outcome of a successful command.
    #[must_use]
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            exit: EXIT_OK,
        }
    }

    /// Sets the exit code.
    #[must_use]
    pub const fn with_exit(mut self, exit: u8) -> Self {
        self.exit = exit;
        self
    }
}

/// Future returned by a command.
pub type CommandFuture = LocalBoxFuture<'static, Result<CommandOutcome>>;

/// One subcommand.
pub struct CommandSpec {
    /// Name of the command.
    pub name: &'static str,
    /// Arguments and main options, for the usage line.
    pub arguments: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// Example command line.
    pub example: &'static str,
    /// Adds the command's own options.
    pub options: fn(&mut Options),
    /// Runs the command with its parsed arguments.
    pub run: fn(Matches) -> CommandFuture,
}

impl CommandSpec {
    /// Returns the command's own options and those common to all commands.
    #[must_use]
    pub fn all_options(&self) -> Options {
        let mut options = Options::new();
        options.optflag("", "json", "print JSON instead of text");
        options.optflag("h", "help", "print this help");
        (self.options)(&mut options);
        options
    }

    /// Returns the help text.
    #[must_use]
    pub fn help(&self) -> String {
        let brief = format!(
            "{}\n\nusage: jyctl {} {}",
            self.about, self.name, self.arguments
        );
        let usage = self.all_options().usage(&brief);
        format!("{usage}\nexample:\n    {}\n", self.example)
    }

    /// Parses the arguments that follow the command name.
    ///
    /// # Errors
    ///
    /// [`CtlError::Usage`] if an option is unknown, given twice, or has a missing or unexpected value.
    pub fn parse(&self, arguments: &[String]) -> Result<Matches> {
        self.all_options()
            .parse(arguments)
            .map_err(|cause| self.usage_error(cause.to_string()))
    }

    /// Returns a usage error whose hint refers to the command's help.
    fn usage_error(&self, message: String) -> CtlError {
        CtlError::usage(message, format!("see `jyctl {} --help`", self.name))
    }
}
