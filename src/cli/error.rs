//! Errors of commands and their exit codes.

use crate::settings::SettingsError;
use crate::wire::WireError;

/// Exit code of a valid command that failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid settings or an invalid policy.
pub const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a command line without a valid command (`EX_USAGE` of sysexits.h).
pub const EXIT_USAGE: u8 = 64;

/// Error of a command, printed as one line on standard error.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line can be parsed but its combination of arguments is invalid.
    #[error("{0}")]
    Usage(&'static str),
    /// Settings or policy are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The job description cannot be read.
    #[error("{file}: {source}")]
    ReadJob {
        /// File argument of the command.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The job description is not JSON.
    #[error("{file}: {source}")]
    ParseJob {
        /// File argument of the command.
        file: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The controller responded with an error status.
    #[error("status {status}: {reason}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Reason in the response, or else an explanation of the status.
        reason: String,
    },
    /// The request could not be sent, or the controller did not respond in time.
    #[error(transparent)]
    Request(#[from] WireError),
    /// The controller could not start serving.
    #[error(transparent)]
    Serve(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Usage(_) => EXIT_USAGE,
            CommandError::Settings(_) => EXIT_INVALID_SETTINGS,
            CommandError::ReadJob { .. }
            | CommandError::ParseJob { .. }
            | CommandError::Rejected { .. }
            | CommandError::Request(_)
            | CommandError::Serve(_) => EXIT_FAILURE,
        }
    }
}
