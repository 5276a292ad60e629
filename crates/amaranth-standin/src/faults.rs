//! Faults that every stand-in knows, and the answers that carry them.

use std::time::Duration;

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// How a stand-in that is out behaves.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// It is not out.
    #[default]
    None,
    /// It answers every call with 503 and does nothing.
    Refusing,
    /// It takes calls, does nothing, and never answers them.
    Silent,
}

/// Faults of any stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CommonFaults {
    /// Whether and how it is out.
    pub outage: OutageKind,
    /// Delay before a call is acted on.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Delay after a call was acted on and before it is answered.
    #[serde(with = "humantime_serde")]
    pub answer_delay: Duration,
}

impl CommonFaults {
    /// Waits out the delay, then returns the answer of an outage if there is one.
    ///
    /// A silent outage never returns; the connection stays open until its client gives up.
    pub async fn before_acting(self) -> Result<(), Response> {
        if !self.delay.is_zero() {
            tokio::time::sleep(self.delay).await;
        }
        match self.outage {
            OutageKind::None => Ok(()),
            OutageKind::Refusing => {
                Err((StatusCode::SERVICE_UNAVAILABLE, "the stand-in is out").into_response())
            }
            OutageKind::Silent => std::future::pending().await,
        }
    }

    /// Waits out the delay of the answer.
    pub async fn before_answering(self) {
        if !self.answer_delay.is_zero() {
            tokio::time::sleep(self.answer_delay).await;
        }
    }
}

/// Returns an answer that breaks off, so that its client can't tell what happened.
pub fn lost_answer() -> Response {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionAborted);
    let body = Body::from_stream(stream::iter([Err::<Bytes, _>(broken)]));
    Response::new(body)
}

/// Takes one from a count of faults still to happen and returns whether there was one.
pub fn take_one(count: &mut u32) -> bool {
    let happens = *count > 0;
    *count = count.saturating_sub(1);
    happens
}
