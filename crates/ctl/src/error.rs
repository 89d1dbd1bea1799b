//! Errors of the control command and the exit codes they end with.

use jy_store::client::StoreError;
use jy_types::finding::FindingList;
use jy_types::name::Name;
use thiserror::Error;

/// Everything was done.
pub const EXIT_OK: u8 = 0;
/// The check found something, or another operator's change came first.
pub const EXIT_FINDINGS: u8 = 1;
/// The command line is not understood.
pub const EXIT_USAGE: u8 = 2;
/// The store or every given agent did not answer.
pub const EXIT_UNREACHABLE: u8 = 3;
/// The configuration was not in force everywhere in time.
pub const EXIT_LATE: u8 = 4;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The command line is not understood.
    #[error("{message}\n  hint: {hint}")]
    Usage {
        /// What is wrong.
        message: String,
        /// What to do next.
        hint: String,
    },
    /// The files have findings.
    #[error(transparent)]
    Findings(#[from] FindingList),
    /// What was asked for does not fit what is there.
    #[error("{message}\n  hint: {hint}")]
    Refused {
        /// What is wrong.
        message: String,
        /// What to do next.
        hint: String,
    },
    /// A write was sent and nobody can tell whether it takes effect.
    #[error(
        "{cause}\n  hint: the change may still take effect; look at it again once the store answers"
    )]
    Undecided {
        /// What the store's client said.
        cause: StoreError,
    },
    /// The store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// An agent did not answer.
    #[error("the agent at {address} did not answer: {cause}\n  hint: {hint}")]
    Agent {
        /// Its operators' listener.
        address: Name,
        /// What the connection said.
        cause: String,
        /// What to do next.
        hint: &'static str,
    },
    /// A file could not be read or written.
    #[error("{path}: {cause}\n  hint: check that the path is right and may be used")]
    File {
        /// Its path.
        path: Name,
        /// What the system said.
        cause: std::io::Error,
    },
}

impl CtlError {
    /// Makes an error of the command line.
    #[must_use]
    pub fn usage(message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
            hint: hint.into(),
        }
    }

    /// Makes an error about something that does not fit what is there.
    #[must_use]
    pub fn refused(message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::Refused {
            message: message.into(),
            hint: hint.into(),
        }
    }

    /// Returns the exit code.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::File { .. } => EXIT_USAGE,
            Self::Findings(_) | Self::Refused { .. } => EXIT_FINDINGS,
            Self::Store(_) | Self::Undecided { .. } | Self::Agent { .. } => EXIT_UNREACHABLE,
        }
    }
}
