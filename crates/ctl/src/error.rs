//! Why a command failed, and its exit code.

use std::io;
use std::path::PathBuf;

use lycheedoor_platform::ChangeError;
use lycheedoor_platform::EXIT_NOT_SERVED;
use lycheedoor_platform::EXIT_REFUSED;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::UpdateError;

/// Exit code: something that the command names is not there.
const EXIT_NOT_FOUND: u8 = 1;

/// Exit code of wrong use, as `clap` has it.
const EXIT_USAGE: u8 = 2;

/// A command has failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The arguments do not make sense together.
    #[error("{0}")]
    Usage(String),
    /// No record of the time line matches.
    #[error("{0}")]
    NotFound(String),
    /// A log file cannot be read.
    #[error("cannot read the log {}: {error}", path.display())]
    Log {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The platform cannot be read.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The change is not known to be in force.
    #[error(transparent)]
    Update(#[from] UpdateError<ChangeError>),
}

impl CtlError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Log { .. } => EXIT_USAGE,
            Self::NotFound(_) => EXIT_NOT_FOUND,
            Self::Platform(PlatformError::TooLarge) => EXIT_REFUSED,
            Self::Platform(_) => EXIT_NOT_SERVED,
            Self::Update(error) => error.exit_code(),
        }
    }
}
