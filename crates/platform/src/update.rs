//! Read-modify-write of the configuration object.

use std::error::Error;

use lycheedoor_core::types::Nonce;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;

use crate::CONFIG_OBJECT;
use crate::error::PlatformError;
use crate::published::PublishedConfig;

/// How many times an update is attempted despite other operators' updates and failed requests.
const MAX_ATTEMPTS: u32 = 24;

/// How many failed requests end an update.
const MAX_FAILED_CALLS: u32 = 5;

/// Exit code of operator tools: the change was refused; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;

/// Exit code of operator tools: the platform or a VM is unavailable; nothing was changed.
pub const EXIT_UNAVAILABLE: u8 = 4;

/// Exit code of operator tools: the change may or may not be in force.
pub const EXIT_OUTCOME_UNKNOWN: u8 = 5;

/// Reads and writes objects of the platform, or of a substitute in tests.
pub trait ObjectStore {
    /// Sends one request, without retries.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrives or the value of a write is too large.
    fn call(&self, request: &PlatformRequest) -> Result<PlatformAnswer, PlatformError>;

    /// Waits before attempt number `attempt`; later attempts wait longer.
    fn pause(&self, attempt: u32);
}

/// The result of a successful update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateResult {
    /// The version of the configuration after the update.
    pub version: u64,
    /// Whether the update changed the configuration; `false` if the change was already in force.
    pub changed: bool,
}

/// An update of the configuration has failed.
#[derive(Debug, thiserror::Error)]
pub enum UpdateError<E: Error> {
    /// The change cannot be made to the current configuration; nothing was changed.
    #[error("{0}")]
    Refused(E),
    /// Other operators changed the configuration in every attempt; nothing was changed.
    #[error("other operators changed the configuration in each of {MAX_ATTEMPTS} attempts")]
    TooManyConflicts,
    /// The platform is unavailable, and nothing was changed.
    #[error("platform does not serve; nothing was changed")]
    Unavailable(#[source] Option<PlatformError>),
    /// The response to a write is missing, and it is not known whether the write took effect.
    #[error("platform did not answer; the change may or may not be in force")]
    OutcomeUnknown,
    /// A response does not follow the object API, or the value is too large; nothing was changed.
    #[error(transparent)]
    Platform(PlatformError),
}

impl<E: Error> UpdateError<E> {
    /// Returns the exit code with which operator tools report this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::TooManyConflicts | Self::Platform(PlatformError::TooLarge) => {
                EXIT_REFUSED
            }
            Self::Unavailable(_) | Self::Platform(_) => EXIT_UNAVAILABLE,
            Self::OutcomeUnknown => EXIT_OUTCOME_UNKNOWN,
        }
    }
}

/// Reads the configuration object.
///
/// # Errors
///
/// Returns an error if the platform is unavailable or the object is not a valid configuration.
pub fn read_config(store: &dyn ObjectStore) -> Result<PublishedConfig, PlatformError> {
    read(store).map(|(_, published)| published)
}

/// Updates the configuration with a read-modify-write of the whole object.
///
/// `nonce` must differ from that of every other update. If the response to a write is lost, the
/// next attempt reads the object again: it either finds the nonce there, or concludes from a newer
/// version without the nonce that the write had no effect. `change` is called again for every
/// newer configuration; a result equal to its argument means that the change is already in force.
///
/// # Errors
///
/// Returns an error if the change was refused, the platform is unavailable, too many attempts
/// conflicted, or it is not known whether the update is in force.
pub fn update_config<E: Error>(
    store: &dyn ObjectStore,
    nonce: Nonce,
    mut change: impl FnMut(&PublishedConfig) -> Result<PublishedConfig, E>,
) -> Result<UpdateResult, UpdateError<E>> {
    let mut update = Update {
        store,
        nonce,
        unanswered_version: None,
        failed_calls: 0,
    };
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            store.pause(attempt);
        }
        if let Some(updated) = update.attempt(&mut change)? {
            return Ok(updated);
        }
    }
    Err(update.final_error(UpdateError::TooManyConflicts))
}

struct Update<'a> {
    store: &'a dyn ObjectStore,
    nonce: Nonce,
    /// The expected version of a write that got no response and may still have taken effect.
    unanswered_version: Option<u64>,
    failed_calls: u32,
}

impl Update<'_> {
    /// Makes one attempt; returns `None` if another one is needed.
    fn attempt<E: Error>(
        &mut self,
        change: &mut impl FnMut(&PublishedConfig) -> Result<PublishedConfig, E>,
    ) -> Result<Option<UpdateResult>, UpdateError<E>> {
        let (object_version, current) = match read(self.store) {
            Ok(read) => read,
            Err(error) => return self.retry_or_fail(error),
        };
        if current.operator.recent_updates.contains(&self.nonce) {
            return Ok(Some(UpdateResult {
                version: current.config.version,
                changed: true,
            }));
        }
        if self.unanswered_version != Some(object_version) {
            self.unanswered_version = None;
        }
        let mut next = change(&current).map_err(UpdateError::Refused)?;
        if next == current {
            return Ok(Some(UpdateResult {
                version: current.config.version,
                changed: false,
            }));
        }
        next.become_successor_of(&current, self.nonce);
        self.write(object_version, &next)
    }

    fn write<E: Error>(
        &mut self,
        expected_version: u64,
        next: &PublishedConfig,
    ) -> Result<Option<UpdateResult>, UpdateError<E>> {
        let request = PlatformRequest::Put {
            object: CONFIG_OBJECT.into(),
            expected_version,
            value: next.to_value(),
        };
        match self.store.call(&request) {
            Ok(PlatformAnswer::Updated { .. }) => Ok(Some(UpdateResult {
                version: next.config.version,
                changed: true,
            })),
            Ok(PlatformAnswer::Conflict { .. }) => Ok(None),
            Ok(_) => {
                self.unanswered_version = Some(expected_version);
                self.retry_or_fail(PlatformError::Status(503))
            }
            Err(error) => {
                if may_have_taken_effect(&error) {
                    self.unanswered_version = Some(expected_version);
                }
                self.retry_or_fail(error)
            }
        }
    }

    /// Counts a failed request; returns an error if a retry cannot succeed or too many have failed.
    fn retry_or_fail<E: Error>(
        &mut self,
        error: PlatformError,
    ) -> Result<Option<UpdateResult>, UpdateError<E>> {
        match error {
            PlatformError::Unreachable(_) | PlatformError::Http(_) | PlatformError::Status(503) => {
                self.failed_calls += 1;
                if self.failed_calls < MAX_FAILED_CALLS {
                    return Ok(None);
                }
                Err(self.final_error(UpdateError::Unavailable(Some(error))))
            }
            error => Err(self.final_error(UpdateError::Platform(error))),
        }
    }

    /// Returns `error`, or that the outcome is unknown if a write may still have taken effect.
    fn final_error<E: Error>(&self, error: UpdateError<E>) -> UpdateError<E> {
        if self.unanswered_version.is_some() {
            UpdateError::OutcomeUnknown
        } else {
            error
        }
    }
}

fn may_have_taken_effect(error: &PlatformError) -> bool {
    !matches!(
        error,
        PlatformError::TooLarge | PlatformError::Status(400..=499)
    )
}

/// Returns the version of the configuration object and its decoded value.
fn read(store: &dyn ObjectStore) -> Result<(u64, PublishedConfig), PlatformError> {
    let request = PlatformRequest::Get {
        object: CONFIG_OBJECT.into(),
        known_version: 0,
    };
    match store.call(&request)? {
        PlatformAnswer::Object { version, value } => {
            Ok((version, PublishedConfig::from_value(&value)?))
        }
        _ => Err(PlatformError::Status(503)),
    }
}
