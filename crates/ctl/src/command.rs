//! What a subcommand is: its options, its help and what it returns.

use futures_util::future::LocalBoxFuture;
use getopts::Matches;
use getopts::Options;
use serde_json::Value;

use crate::error::CtlError;
use crate::error::EXIT_OK;
use crate::error::Result;

/// What a command has to say.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutcome {
    /// For a person.
    pub text: String,
    /// For a program.
    pub json: Value,
    /// Exit code.
    pub exit: u8,
}

impl CommandOutcome {
    /// Makes the outcome of a command that did everything.
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

/// Future of a command.
pub type CommandFuture = LocalBoxFuture<'static, Result<CommandOutcome>>;

/// One subcommand.
pub struct CommandSpec {
    /// Its name.
    pub name: &'static str,
    /// Its arguments besides options.
    pub arguments: &'static str,
    /// One line on what it does.
    pub about: &'static str,
    /// A command line that works.
    pub example: &'static str,
    /// Adds its own options.
    pub options: fn(&mut Options),
    /// Runs it.
    pub run: fn(Matches) -> CommandFuture,
}

impl CommandSpec {
    /// Returns all its options, the common ones included.
    #[must_use]
    pub fn all_options(&self) -> Options {
        let mut options = Options::new();
        options.optflag("", "json", "print JSON for programs");
        options.optflag("h", "help", "print this help");
        (self.options)(&mut options);
        options
    }

    /// Writes its help.
    #[must_use]
    pub fn help(&self) -> String {
        let brief = format!(
            "{}\n\nusage: jyctl {} {}",
            self.about, self.name, self.arguments
        );
        let usage = self.all_options().usage(&brief);
        format!("{usage}\nexample:\n    {}\n", self.example)
    }

    /// Parses its arguments.
    ///
    /// # Errors
    ///
    /// [`CtlError::Usage`].
    pub fn parse(&self, arguments: &[String]) -> Result<Matches> {
        self.all_options()
            .parse(arguments)
            .map_err(|cause| self.usage_error(cause.to_string()))
    }

    /// Makes an error that points at the command's help.
    fn usage_error(&self, message: String) -> CtlError {
        CtlError::usage(message, format!("see `jyctl {} --help`", self.name))
    }
}
