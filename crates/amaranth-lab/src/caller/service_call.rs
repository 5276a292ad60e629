//! Non-idempotent calls of plain services.

use std::net::SocketAddr;

use amaranth_core::ids::{ConfigRevision, IdempotencyKey};
use bytes::Bytes;
use http_body_util::BodyExt;

use crate::caller::client::{CallResponse, CallerClient, refusal};
use crate::checker::evidence::CallResult;

/// A booking as a caller sends it.
#[derive(Debug, Clone)]
pub struct BookingCall {
    /// The path, with the service's own.
    pub path: String,
    /// The key.
    pub key: IdempotencyKey,
    /// The body.
    pub body: Bytes,
}

/// What a booking looked like from the caller's side.
#[derive(Debug, Clone)]
pub struct BookingOutcome {
    /// The result.
    pub result: CallResult,
    /// The revision that the answer was routed by.
    pub revision: Option<ConfigRevision>,
}

impl CallerClient {
    /// Sends a booking to the entry at `address` once and returns what came back.
    pub async fn book(&self, address: SocketAddr, call: &BookingCall) -> BookingOutcome {
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
        refusal(status, run, &body)
    };
    BookingOutcome { result, revision }
}
