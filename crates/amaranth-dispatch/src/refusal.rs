//! How calls end that no endpoint answers.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Why the layer answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// The head of the call can't be read or is ambiguous.
    BadRequest,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// No route of the configuration leads anywhere.
    NoRoute,
    /// No configuration is known yet.
    NoConfig,
    /// The process is stopping, and the call would not end before it does.
    Stopping,
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// The adapter could not be made ready in time.
    AdapterWait,
    /// Endpoints would not answer before the caller leaves.
    Overloaded,
    /// Every endpoint that was asked refused without running the call.
    EndpointsRefused,
    /// The call was sent and its outcome is not known.
    OutcomeUnknown,
    /// The call was sent and the time for it ran out.
    TimedOut,
}

impl RefusalCause {
    /// Returns the HTTP status that callers get.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::BodyTooLarge => 413,
            Self::NoRoute => 404,
            Self::NoConfig
            | Self::Stopping
            | Self::NoEndpoint
            | Self::AdapterWait
            | Self::Overloaded
            | Self::EndpointsRefused => 503,
            Self::OutcomeUnknown => 502,
            Self::TimedOut => 504,
        }
    }

    /// Returns whether the answer promises that the call has not run and never will.
    pub const fn promises_not_run(self) -> bool {
        self.status() == 503
    }
}

/// An answer of the layer's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a time to come back.
    pub const fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Creates a refusal that says when to come back.
    pub const fn after(cause: RefusalCause, delay: Duration) -> Self {
        Self {
            cause,
            retry_after: Some(delay),
        }
    }
}
