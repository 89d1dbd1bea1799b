//! Errors of `jyctl` and its exit codes.

use jy_store::client::StoreError;
use jy_types::finding::FindingList;
use jy_types::name::Name;
use thiserror::Error;

/// Exit code of a successful command.
pub const EXIT_OK: u8 = 0;
/// Exit code if the files have findings, the request was refused, or another operator's change came first.
pub const EXIT_FINDINGS: u8 = 1;
/// Exit code if the command line is invalid, or a file cannot be read or written.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if a call to the store or to an agent failed.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code if a configuration was not in force everywhere, or a drained agent had not left, in time.
pub const EXIT_TIMED_OUT: u8 = 4;

/// Result of an operation of `jyctl`.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The command line is invalid.
    #[error("{message}\n  hint: {hint}")]
    Usage {
        /// Describes what is wrong.
        message: String,
        /// Suggests how to resolve it.
        hint: String,
    },
    /// The checked files have findings.
    #[error(transparent)]
    Findings(#[from] FindingList),
    /// The command line is valid, but the request does not match the state of the fleet or the store.
    #[error("{message}\n  hint: {hint}")]
    Refused {
        /// Describes what is wrong.
        message: String,
        /// Suggests how to resolve it.
        hint: String,
    },
    /// A write was sent, and it is not known whether it has taken or will take effect.
    #[error(
        "{cause}\n  hint: the change may still take effect; check with `jyctl diff` once the store answers"
    )]
    OutcomeUnknown {
        /// Error of the last attempt.
        cause: StoreError,
    },
    /// A call to the store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// An agent did not answer, or not with a valid response.
    #[error("call to the agent at {address} failed: {cause}\n  hint: {hint}")]
    Agent {
        /// Address of the agent's operator listener.
        address: Name,
        /// Why the call failed.
        cause: String,
        /// Suggests how to resolve it.
        hint: &'static str,
    },
    /// A file could not be read or written.
    #[error("{path}: {cause}\n  hint: check the path and its permissions")]
    File {
        /// Path of the file.
        path: Name,
        /// I/O error.
        cause: std::io::Error,
    },
}

impl CtlError {
    /// Creates a [`CtlError::Usage`].
    #[must_use]
    pub fn usage(message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
            hint: hint.into(),
        }
    }

    /// Creates a [`CtlError::Refused`].
    #[must_use]
    pub fn refused(message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::Refused {
            message: message.into(),
            hint: hint.into(),
        }
    }

    /// Returns the exit code of the process for this error.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::File { .. } => EXIT_USAGE,
            Self::Findings(_) | Self::Refused { .. } => EXIT_FINDINGS,
            Self::Store(_) | Self::OutcomeUnknown { .. } | Self::Agent { .. } => EXIT_UNREACHABLE,
        }
    }
}
