//! Non-idempotent calls to plain services.

use std::net::SocketAddr;

use amaranth_core::ids::{ConfigRevision, IdempotencyKey};
use bytes::Bytes;
use http_body_util::BodyExt;

use crate::caller::client::{CallResponse, CallerClient, error_result};
use crate::checker::evidence::CallResult;

/// A booking request as a caller sends it; a booking is not idempotent.
#[derive(Debug, Clone)]
pub struct BookingCall {
    /// The request path, which includes the path prefix of the service.
    pub path: String,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// The JSON body.
    pub body: Bytes,
}

/// The outcome of a booking as its caller sees it.
#[derive(Debug, Clone)]
pub struct BookingOutcome {
    /// The answer or error that the booking ended with.
    pub result: CallResult,
    /// The configuration revision that the call was routed by, if the response names one.
    pub revision: Option<ConfigRevision>,
}

impl CallerClient {
    /// Sends a booking to the entry at `address` once, without retries, and returns the outcome.
    pub async fn send_booking(&self, address: SocketAddr, call: &BookingCall) -> BookingOutcome {
        match tokio::time::timeout(self.timeout(), self.run_booking(address, call)).await {
            Ok(outcome) => outcome,
            Err(_) => broken("no answer within the caller's timeout".to_owned()),
        }
    }

    async fn run_booking(&self, address: SocketAddr, call: &BookingCall) -> BookingOutcome {
        let key = Some(call.key.as_str());
        match self.post(address, &call.path, call.body.clone(), key).await {
            Ok(response) => read_booking(response).await,
            Err(reason) => broken(reason),
        }
    }
}

fn broken(reason: String) -> BookingOutcome {
    BookingOutcome {
        result: CallResult::Broken {
            reason,
            entry_killed: false,
        },
        revision: None,
    }
}

async fn read_booking(response: CallResponse) -> BookingOutcome {
    let revision = response.revision();
    let run = response.run_state();
    let status = response.status;
    let body = match response.body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return broken(format!("{error:?}")),
    };
    let result = if (200..300).contains(&status) {
        CallResult::Answered {
            served_model: String::new(),
            text: String::from_utf8_lossy(&body).into_owned(),
        }
    } else {
        error_result(status, run, &body)
    };
    BookingOutcome { result, revision }
}
