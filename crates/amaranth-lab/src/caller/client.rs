//! The HTTP connection of a caller.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::errors::RunState;
use amaranth_core::ids::ConfigRevision;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::checker::evidence::CallResult;

/// Time that a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The header with which an entry says whether refused work ran.
pub const RUN_HEADER: &str = "x-amaranth-run";

/// The header that names the configuration revision of an answer.
pub const REVISION_HEADER: &str = "x-amaranth-revision";

/// The header with the caller's key for a non-idempotent call.
pub const KEY_HEADER: &str = "idempotency-key";

/// Sends requests to entries over kept-alive connections.
#[derive(Debug, Clone)]
pub struct CallerClient {
    http: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Incoming,
}

impl CallerClient {
    /// Opens a client that gives a call up after `timeout`.
    pub fn open(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            timeout,
        }
    }

    /// Returns the time after which a call is given up.
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Posts a JSON body to `path` of the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns what a caller sees when no response head arrives.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        key: Option<&str>,
    ) -> Result<CallResponse, String> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            request = request.header(KEY_HEADER, key);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        self.send(request).await
    }

    /// Reads `path` of the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns what a caller sees when no response head arrives.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<CallResponse, String> {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::new()))
            .map_err(|error| error.to_string())?;
        self.send(request).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<CallResponse, String> {
        let response: Response<Incoming> = self
            .http
            .request(request)
            .await
            .map_err(|error| format!("{error:?}"))?;
        let (parts, body) = response.into_parts();
        Ok(CallResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }
}

impl CallResponse {
    /// Returns the revision that the answer was routed by.
    pub fn revision(&self) -> Option<ConfigRevision> {
        let text = self.headers.get(REVISION_HEADER)?.to_str().ok()?;
        text.parse().ok()
    }

    /// Returns what the response says about refused work.
    pub fn run_state(&self) -> RunState {
        let header = self.headers.get(RUN_HEADER);
        parse_run(header.and_then(|value| value.to_str().ok()))
    }
}

/// Reads a run state as callers see it. Silence means that the work may have run.
pub fn parse_run(text: Option<&str>) -> RunState {
    match text {
        Some("not_run") => RunState::NotRun,
        Some("run") => RunState::Run,
        _ => RunState::Unknown,
    }
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorObject,
}

/// The error object of the interface that callers use.
#[derive(Debug, Deserialize)]
pub struct ErrorObject {
    /// What happened.
    pub message: String,
    /// The error code.
    pub code: Option<String>,
}

/// Returns the result of a response with an error status, or of an error event in a stream.
pub fn refusal(status: u16, run: RunState, body: &[u8]) -> CallResult {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(parsed) => CallResult::Refused {
            status,
            code: parsed.error.code.unwrap_or(parsed.error.message),
            run,
        },
        Err(error) => CallResult::Broken {
            reason: format!("status {status} without an error object: {error}"),
            entry_killed: false,
        },
    }
}
