//! The HTTP client with which callers send requests to entries.

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

/// Maximum time of one connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The response header that states whether a refused call ran.
pub const RUN_HEADER: &str = "x-amaranth-run";

/// The response header with the configuration revision that a call was routed by.
pub const REVISION_HEADER: &str = "x-amaranth-revision";

/// The request header with the idempotency key of a non-idempotent call.
pub const KEY_HEADER: &str = "idempotency-key";

/// Sends HTTP requests to entries over keep-alive connections, with one timeout for every call.
#[derive(Debug, Clone)]
pub struct CallerClient {
    http: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// An HTTP response whose head has arrived and whose body is still to be read.
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
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            timeout,
        }
    }

    /// Returns the time after which a call times out.
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Posts a JSON body to `path` of the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns the reason, as text, when no response head arrives.
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

    /// Sends a GET request for `path` to the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns the reason, as text, when no response head arrives.
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
    /// Returns the configuration revision that the call was routed by, if the response names one.
    pub fn revision(&self) -> Option<ConfigRevision> {
        let text = self.headers.get(REVISION_HEADER)?.to_str().ok()?;
        text.parse().ok()
    }

    /// Returns whether the refused call ran, as the response states it.
    pub fn run_state(&self) -> RunState {
        let header = self.headers.get(RUN_HEADER);
        parse_run_state(header.and_then(|value| value.to_str().ok()))
    }
}

/// Parses the value of [`RUN_HEADER`].
///
/// A missing or unknown value means that the call may have run.
pub fn parse_run_state(text: Option<&str>) -> RunState {
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

/// The error object in the body of an entry's error response.
#[derive(Debug, Deserialize)]
pub struct ErrorObject {
    /// The error message.
    pub message: String,
    /// The error code.
    pub code: Option<String>,
}

/// Returns the call result for an error response or for an error event in a stream.
pub fn error_result(status: u16, run: RunState, body: &[u8]) -> CallResult {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(parsed) => CallResult::Refused {
            status,
            code: parsed.error.code.unwrap_or(parsed.error.message),
            run,
        },
        Err(error) => CallResult::Broken {
            reason: format!("response with status {status} has no error object: {error}"),
            entry_killed: false,
        },
    }
}
