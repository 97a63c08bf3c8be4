//! Errors of commands, and their exit codes.

use std::io;
use std::path::PathBuf;

use lycheedoor_platform::ChangeError;
use lycheedoor_platform::EXIT_REFUSED;
use lycheedoor_platform::EXIT_UNAVAILABLE;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::UpdateError;

/// The exit code when the record that a command asks for does not exist.
const EXIT_NOT_FOUND: u8 = 1;

/// The exit code for an invalid command line, the same as that of `clap`.
const EXIT_USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The arguments, or a key on standard input, are invalid.
    #[error("{0}")]
    Usage(String),
    /// No record of the timeline, or no log line, matches.
    #[error("{0}")]
    NotFound(String),
    /// A log file cannot be read.
    #[error("cannot read the log {}: {error}", path.display())]
    Log {
        /// The log file.
        path: PathBuf,
        /// Why it cannot be read.
        error: io::Error,
    },
    /// The platform cannot be queried.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The change was refused, or it is unknown whether it is in force.
    #[error(transparent)]
    Update(#[from] UpdateError<ChangeError>),
}

impl CtlError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Log { .. } => EXIT_USAGE,
            Self::NotFound(_) => EXIT_NOT_FOUND,
            Self::Platform(PlatformError::TooLarge) => EXIT_REFUSED,
            Self::Platform(_) => EXIT_UNAVAILABLE,
            Self::Update(error) => error.exit_code(),
        }
    }
}
