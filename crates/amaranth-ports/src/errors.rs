//! What a call across a port can fail with.

use std::time::Duration;

/// A result whose error is [`PortError`].
pub type PortResult<T> = std::result::Result<T, PortError>;

/// A failed call, told apart by whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PortError {
    /// The other side was not reached: the call did not take effect.
    Unreachable(String),
    /// The call was sent and its answer lost: it may have taken effect.
    Uncertain(String),
    /// The other side refused the call: it did not take effect.
    Refused(String),
    /// The other side is limiting: the call did not take effect and may be repeated later.
    Limited(Duration),
    /// The other side knows a newer fencing number.
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
            Self::Unreachable(what) => write!(formatter, "unreachable: {what}"),
            Self::Uncertain(what) => write!(formatter, "answer lost: {what}"),
            Self::Refused(what) => write!(formatter, "refused: {what}"),
            Self::Limited(delay) => write!(formatter, "limited for {} ms", delay.as_millis()),
            Self::Fenced(what) => write!(formatter, "fenced: {what}"),
        }
    }
}

impl std::error::Error for PortError {}
