//! Failures of a command and the exit code of each.

use crate::settings::SettingsError;
use crate::wire::WireError;

/// Exit code of a command that was understood but failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for settings or a policy that cannot be used.
pub const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a command line that names nothing to do (`EX_USAGE` of sysexits.h).
pub const EXIT_USAGE: u8 = 64;

/// Why a command failed: one line for standard error.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line parses but makes no sense.
    #[error("{0}")]
    Usage(&'static str),
    /// Settings or policy cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The job description cannot be read.
    #[error("{file}: {source}")]
    ReadJob {
        /// The file as it was given.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The job description is not JSON.
    #[error("{file}: {source}")]
    ParseJob {
        /// The file as it was given.
        file: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The controller answered with an error status.
    #[error("status {status}: {reason}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// The controller's reason, or what the status means.
        reason: String,
    },
    /// The controller could not be asked, or did not answer in time.
    #[error(transparent)]
    Request(#[from] WireError),
    /// A controller could not start to serve.
    #[error(transparent)]
    Serve(#[from] std::io::Error),
}

impl CommandError {
    /// The exit code of the process.
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
