//! Answers to calls that no endpoint serves.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Returns whether an HTTP status promises callers that the call has not run and never will.
pub const fn is_not_run_status(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The reason why an entry refuses a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// The head of the call can't be parsed or is ambiguous.
    BadRequest,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// The body did not arrive before the caller's deadline.
    BodyTimeout,
    /// The memory for bodies of calls is spent.
    MemorySpent,
    /// No route of the configuration matches the call.
    NoRoute,
    /// No configuration is known yet.
    NoConfig,
    /// The call carries no API key that the configuration knows.
    UnknownKey,
    /// The call's API key is not known, and the configuration may be older than the key.
    StaleConfig,
    /// The process is stopping, and the call would not end before it does.
    Stopping,
    /// The service has no usable endpoint.
    NoEndpoint,
    /// The adapter could not be loaded in time.
    AdapterWait,
    /// Every endpoint of the service asked for a pause.
    EndpointsPaused,
    /// The call crashes endpoints.
    Quarantined,
    /// The endpoints would not answer before the caller's deadline.
    Overloaded,
    /// The call would exceed the quota of its team.
    QuotaExceeded,
    /// The agents that grant the quota of the call's team don't answer.
    QuotaUnavailable,
    /// The call takes up a stream, and it is not known which software version began it.
    UnknownOrigin,
    /// Every endpoint that was tried refused without running the call.
    EndpointsRefused,
    /// The call was sent, and its outcome is not known.
    OutcomeUnknown,
    /// The call was sent, and its deadline passed.
    TimedOut,
}

impl RefusalCause {
    /// Returns the HTTP status that callers get.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::BodyTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::NoRoute => 404,
            Self::QuotaExceeded => 429,
            Self::NoConfig
            | Self::StaleConfig
            | Self::MemorySpent
            | Self::Stopping
            | Self::NoEndpoint
            | Self::AdapterWait
            | Self::EndpointsPaused
            | Self::Quarantined
            | Self::Overloaded
            | Self::QuotaUnavailable
            | Self::UnknownOrigin
            | Self::EndpointsRefused => 503,
            Self::OutcomeUnknown => 502,
            Self::TimedOut => 504,
        }
    }

    /// Returns whether the answer guarantees that the call has not run and never will.
    pub const fn promises_not_run(self) -> bool {
        is_not_run_status(self.status()) || matches!(self, Self::UnknownKey)
    }
}

/// An answer of the entry itself to a call that no endpoint serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason for the refusal.
    pub cause: RefusalCause,
    /// The delay after which the caller may retry, if one is stated.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub const fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Creates a refusal that states after which delay to retry.
    pub const fn with_retry_after(cause: RefusalCause, delay: Duration) -> Self {
        Self {
            cause,
            retry_after: Some(delay),
        }
    }
}
