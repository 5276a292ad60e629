//! Errors of calls across a port.

use std::time::Duration;

/// A result whose error is [`PortError`].
pub type PortResult<T> = std::result::Result<T, PortError>;

/// The failure of a call, classified by whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PortError {
    /// The remote side was not reached: the call did not take effect.
    Unreachable(String),
    /// The call was sent and its answer was lost: the call may have taken effect.
    Uncertain(String),
    /// The remote side refused the call: the call did not take effect.
    Refused(String),
    /// The remote side limits the rate: the call did not take effect and may be retried after the
    /// delay.
    Limited(Duration),
    /// The remote side has seen a newer fencing token: the call did not take effect.
    Fenced(String),
}

impl PortError {
    /// Returns whether the call may have taken effect.
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Uncertain(_))
    }
}

impl std::fmt::Display for PortError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(formatter, "unreachable: {reason}"),
            Self::Uncertain(reason) => write!(formatter, "answer lost: {reason}"),
            Self::Refused(reason) => write!(formatter, "refused: {reason}"),
            Self::Limited(delay) => write!(formatter, "limited for {} ms", delay.as_millis()),
            Self::Fenced(reason) => write!(formatter, "fenced: {reason}"),
        }
    }
}

impl std::error::Error for PortError {}
