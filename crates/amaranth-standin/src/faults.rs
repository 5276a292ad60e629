//! Faults that every HTTP stand-in can inject, and the answers that result from them.

use std::time::Duration;

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The behaviour of a stand-in during an outage.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// No outage.
    #[default]
    None,
    /// Calls are answered with status 503 and not carried out.
    Refusing,
    /// Calls are accepted, but neither carried out nor answered.
    Silent,
}

/// Faults that every HTTP stand-in supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CommonFaults {
    /// Kind of outage, if any.
    pub outage: OutageKind,
    /// Delay before a call is carried out.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Delay between the execution of a call and its answer.
    #[serde(with = "humantime_serde")]
    pub answer_delay: Duration,
}

impl CommonFaults {
    /// Waits for the delay before a call, then applies the outage, if there is one.
    ///
    /// Never returns during a silent outage; the connection stays open until its client closes it.
    ///
    /// # Errors
    ///
    /// Returns the answer to the call during an outage that refuses calls.
    pub async fn inject_before_call(self) -> Result<(), Response> {
        if !self.delay.is_zero() {
            tokio::time::sleep(self.delay).await;
        }
        match self.outage {
            OutageKind::None => Ok(()),
            OutageKind::Refusing => Err((
                StatusCode::SERVICE_UNAVAILABLE,
                "the stand-in simulates an outage",
            )
                .into_response()),
            OutageKind::Silent => std::future::pending().await,
        }
    }

    /// Waits for the delay before an answer.
    pub async fn inject_before_answer(self) {
        if !self.answer_delay.is_zero() {
            tokio::time::sleep(self.answer_delay).await;
        }
    }
}

/// Returns an answer whose connection is aborted, so that its client can't tell whether the call
/// was carried out.
pub fn aborted_answer() -> Response {
    let aborted = std::io::Error::from(std::io::ErrorKind::ConnectionAborted);
    let body = Body::from_stream(stream::iter([Err::<Bytes, _>(aborted)]));
    Response::new(body)
}

/// Decrements the count of faults still to inject and returns whether it was above zero.
pub fn consume_fault(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}
