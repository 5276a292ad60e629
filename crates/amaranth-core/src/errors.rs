//! Error kinds and the answer that callers get for each of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The kind of an error, as error answers and logs name it.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    InvalidRequest,
    /// The request body exceeds the configured size limit.
    BodyTooLarge,
    /// No adapter, model, service or request of that name exists.
    NotFound,
    /// The caller is not permitted to make the request.
    Forbidden,
    /// The idempotency key was already used with a different body.
    KeyReused,
    /// The idempotency key is older than the window for which outcomes are retained.
    KeyExpired,
    /// Another call with the same idempotency key is running and did not end in time.
    KeyBusy,
    /// The configuration change was made against a revision that is no longer current.
    RevisionConflict,
    /// The configuration is invalid.
    InvalidConfig,
    /// The expected wait exceeds the time to the deadline, or a limit on requests is reached.
    Overloaded,
    /// The deadline passed before the work was dispatched.
    DeadlineBeforeStart,
    /// The deadline passed after the work was dispatched.
    DeadlineAfterStart,
    /// The process is draining and accepts no new work.
    Draining,
    /// No endpoint that could serve the request is reachable.
    NoEndpoint,
    /// The platform's log is unavailable, so a non-idempotent call was not dispatched.
    LogUnavailable,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The endpoint failed while serving the request.
    EndpointFailed,
    /// The endpoint answered with a different adapter or version than the requested one.
    WrongAdapter,
    /// The endpoint is unreachable or does not respond.
    EndpointUnreachable,
    /// The call was dispatched, but its outcome is currently unknown.
    OutcomeUnknown,
    /// The order or claim belongs to an older lease holder or to another incarnation.
    Fenced,
    /// The caller disconnected or cancelled the request.
    Cancelled,
    /// The process is starting and has not caught up with the configuration.
    NotReady,
    /// An internal fault of the program.
    Internal,
}

/// Whether the work of a failed request was executed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The work was not executed and never will be.
    NotRun,
    /// The work was executed.
    Run,
    /// The work may or may not have been executed.
    Unknown,
}

/// The advice to a caller on whether and when to retry a failed request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// The same request would fail again.
    Never,
    /// The same request may succeed after the stated delay.
    Later,
    /// The outcome can be queried with the same idempotency key or request id.
    Ask,
}

/// The answer that callers get for an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `type` member of the error object in the answer body.
    pub error_type: &'static str,
    /// The retry advice to the caller.
    pub retry: RetryAdvice,
    /// Whether the work of the request was executed.
    pub run: RunState,
}

impl ErrorKind {
    /// Returns the answer that callers get for this kind.
    pub const fn answer(self) -> ErrorAnswer {
        use RetryAdvice::{Ask, Later, Never};
        use RunState::{NotRun, Run, Unknown};
        let (status, error_type, retry, run) = match self {
            Self::InvalidRequest => (400, "invalid_request_error", Never, NotRun),
            Self::BodyTooLarge => (413, "invalid_request_error", Never, NotRun),
            Self::NotFound => (404, "invalid_request_error", Never, NotRun),
            Self::Forbidden => (403, "permission_error", Never, NotRun),
            Self::KeyReused => (409, "idempotency_error", Never, NotRun),
            Self::KeyExpired => (409, "idempotency_error", Never, Unknown),
            Self::KeyBusy => (409, "idempotency_error", Ask, Unknown),
            Self::RevisionConflict => (409, "conflict_error", Never, NotRun),
            Self::InvalidConfig => (422, "invalid_request_error", Never, NotRun),
            Self::Overloaded => (429, "rate_limit_error", Later, NotRun),
            Self::DeadlineBeforeStart => (503, "overloaded_error", Later, NotRun),
            Self::DeadlineAfterStart => (504, "timeout_error", Ask, Unknown),
            Self::Draining => (503, "overloaded_error", Later, NotRun),
            Self::NoEndpoint => (503, "overloaded_error", Later, NotRun),
            Self::LogUnavailable => (503, "overloaded_error", Later, NotRun),
            Self::LoadFailed => (503, "overloaded_error", Later, NotRun),
            Self::EndpointFailed => (502, "api_error", Later, Unknown),
            Self::WrongAdapter => (502, "api_error", Later, Run),
            Self::EndpointUnreachable => (502, "api_error", Later, Unknown),
            Self::OutcomeUnknown => (504, "outcome_unknown_error", Ask, Unknown),
            Self::Fenced => (503, "overloaded_error", Later, NotRun),
            Self::Cancelled => (499, "api_error", Never, Unknown),
            Self::NotReady => (503, "overloaded_error", Later, NotRun),
            Self::Internal => (500, "api_error", Later, Unknown),
        };
        ErrorAnswer {
            status,
            error_type,
            retry,
            run,
        }
    }
}

/// An error with its kind, a message and an optional retry delay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct Error {
    /// The kind, which determines the answer to the caller.
    pub kind: ErrorKind,
    /// The message, which says what failed and where.
    pub message: String,
    /// The delay after which the caller should retry, if it can be estimated.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of `kind` without a retry delay.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Returns an error for a malformed request.
pub fn invalid_request(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidRequest, message)
}

/// Returns an error for a name that does not exist.
pub fn not_found(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::NotFound, message)
}

/// Returns an error for a fault of this program.
pub fn internal(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::Internal, message)
}
