//! Faults that tests can inject.

use std::str::FromStr;
use std::time::Duration;

/// A fault to inject. All modes except `Up` and `Down` can be in effect at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMode {
    /// `up`: ends all faults.
    Up,
    /// `down`: closes the connection of each request without a response, including those of
    /// pending watches.
    Down,
    /// `slow_ms:N`: delays each request by N milliseconds.
    SlowMs(u64),
    /// `lose_put_answers:N`: performs the next N writes, but closes the connection instead of
    /// sending the response.
    LosePutAnswers(u64),
    /// `stale_list_ms:N`: lists the VMs as they were N milliseconds ago.
    StaleListMs(u64),
}

/// The text does not name a fault mode, or its number is missing or malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fault mode is not up, down, slow_ms:N, lose_put_answers:N or stale_list_ms:N")]
pub struct ParseFaultModeError;

impl FromStr for FaultMode {
    type Err = ParseFaultModeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "up" => return Ok(Self::Up),
            "down" => return Ok(Self::Down),
            _ => {}
        }
        let (name, number) = text.split_once(':').ok_or(ParseFaultModeError)?;
        let number = number.parse().map_err(|_| ParseFaultModeError)?;
        match name {
            "slow_ms" => Ok(Self::SlowMs(number)),
            "lose_put_answers" => Ok(Self::LosePutAnswers(number)),
            "stale_list_ms" => Ok(Self::StaleListMs(number)),
            _ => Err(ParseFaultModeError),
        }
    }
}

/// The faults in effect.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    pub(super) down: bool,
    pub(super) added_delay: Duration,
    pub(super) lose_put_answers: u64,
    pub(super) list_lag: Duration,
}

impl Faults {
    pub(super) fn apply(&mut self, mode: FaultMode) {
        match mode {
            FaultMode::Up => *self = Self::default(),
            FaultMode::Down => self.down = true,
            FaultMode::SlowMs(ms) => self.added_delay = Duration::from_millis(ms),
            FaultMode::LosePutAnswers(count) => self.lose_put_answers = count,
            FaultMode::StaleListMs(ms) => self.list_lag = Duration::from_millis(ms),
        }
    }
}
