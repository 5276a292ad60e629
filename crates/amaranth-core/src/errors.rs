//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Everything that can go wrong, as callers and logs name it.
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
    /// The request body is larger than the settings allow.
    BodyTooLarge,
    /// No adapter, model, service or request of that name exists.
    NotFound,
    /// The caller may not do this.
    Forbidden,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than the window in which outcomes are known.
    KeyExpired,
    /// A call with this key is running and did not end in time.
    KeyBusy,
    /// The configuration change was made against a revision that is no longer current.
    RevisionConflict,
    /// The configuration is refused.
    InvalidConfig,
    /// The expected wait does not fit the deadline.
    Overloaded,
    /// The deadline passed before the work was dispatched.
    DeadlineBeforeStart,
    /// The deadline passed after the work was dispatched.
    DeadlineAfterStart,
    /// The process is stopping and takes no new work.
    Draining,
    /// No endpoint that could serve the request is reachable.
    NoEndpoint,
    /// The platform's log can't be reached, so a non-idempotent call was not dispatched.
    LogUnavailable,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The endpoint failed while it served the request.
    EndpointFailed,
    /// The endpoint answered for another adapter or version than was asked for.
    WrongAdapter,
    /// The endpoint can't be reached or does not answer.
    EndpointUnreachable,
    /// The call was dispatched and its outcome can't be learned now.
    OutcomeUnknown,
    /// A newer holder gives the orders.
    Fenced,
    /// The caller left or cancelled.
    Cancelled,
    /// The process is starting and has not caught up.
    NotReady,
    /// A fault of this program.
    Internal,
}

/// Whether the work behind a refused request ran.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run and never will.
    NotRun,
    /// It ran.
    Run,
    /// It may or may not have run.
    Unknown,
}

/// What a caller should do about a refusal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// The same request fails again.
    Never,
    /// The same request may succeed after the stated time.
    Later,
    /// The outcome can be asked for under the same key or request id.
    Ask,
}

/// One row of the table from error kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `type` member of the error object that callers parse.
    pub error_type: &'static str,
    /// What the caller should do.
    pub retry: RetryAdvice,
    /// Whether the work ran.
    pub run: RunState,
}

impl ErrorKind {
    /// Returns the answer that callers get for this kind.
    pub const fn answer(self) -> KindAnswer {
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
        KindAnswer {
            status,
            error_type,
            retry,
            run,
        }
    }
}

/// An error with its kind, a message that says what and where, and advice on when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct Error {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// What happened and where.
    pub message: String,
    /// When the caller should come back, if that can be said.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Adds when the caller should come back.
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
