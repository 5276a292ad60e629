//! The HTTP client shared by the port modules.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::RequestId;
use bytes::Bytes;
use http::request::Builder;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

use crate::errors::{PortError, PortResult};

/// Timeout of opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without an acknowledgement after which the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which the kernel sends keep-alive probes on a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Largest answer body that is read into memory, in bytes.
pub const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Delay before a rate-limited call is retried when the answer names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The header with the delay in milliseconds after which a rate-limited call may be retried.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// The header that carries the request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Timeout of reading the unused rest of a body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a body to its end in the background and discards it.
///
/// A connection whose body was dropped midway is closed; one whose body was read to the end is
/// reused by the next call.
pub fn drain_body(mut body: Incoming) {
    let read = async move { while let Some(Ok(_)) = body.frame().await {} };
    tokio::spawn(tokio::time::timeout(DRAIN_TIMEOUT, read));
}

/// An HTTP client of one address that reuses its connections between calls.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client of `address`. Connections are opened by calls only.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { address, client }
    }

    /// Returns the address of the remote side.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a builder of a request for `path_and_query`, which begins with a slash. The request
    /// has no id, so any answer on its connection is taken for its own.
    pub fn request(&self, method: Method, path_and_query: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path_and_query}", self.address))
    }

    /// Returns a builder of a request that carries an id, with which its answer is compared.
    pub fn identified_request(
        &self,
        id: RequestId,
        method: Method,
        path_and_query: &str,
    ) -> Builder {
        self.request(method, path_and_query)
            .header(REQUEST_ID, id.to_string())
    }

    /// Sends a request and returns the answer with its body unread.
    ///
    /// A peer may send an answer once more, at the point where the next one is expected. The answer
    /// to a request with an id is therefore not returned if it names another id, and the connection
    /// is used again only after a success that names the id: a request that was refused may be sent
    /// again under its id.
    ///
    /// # Errors
    ///
    /// `Unreachable` when no connection was established for the request, `Uncertain` when one was
    /// and no response head arrived within `timeout` or the head names another request, `Refused`
    /// when the request can't be built.
    pub async fn send(
        &self,
        builder: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> PortResult<Response<Incoming>> {
        let mut request = builder
            .body(Full::new(body))
            .map_err(|error| PortError::Refused(format!("request can't be built: {error}")))?;
        let id = request.headers().get(REQUEST_ID).cloned();
        let connection = capture_connection(&mut request);
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Ok(Ok(response)) => match id {
                Some(id) => self.check_identity(&connection, &id, response),
                None => Ok(response),
            },
            Ok(Err(error)) if error.is_connect() => Err(self.unreachable(&error)),
            Ok(Err(error)) => Err(self.failure(&connection, &error)),
            Err(_) => Err(self.failure(&connection, &format!("no answer in {timeout:?}"))),
        }
    }

    /// Sends a request and returns the status and the whole body of its answer.
    ///
    /// # Errors
    ///
    /// As for [`HttpClient::send`]; an incomplete answer is `Uncertain`.
    pub async fn fetch(
        &self,
        builder: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> PortResult<Response<Bytes>> {
        let deadline = tokio::time::Instant::now() + timeout;
        let response = self.send(builder, body, timeout).await?;
        let read = read_body(response);
        match tokio::time::timeout_at(deadline, read).await {
            Ok(answer) => answer.map_err(|reason| self.uncertain(&reason)),
            Err(_) => Err(self.uncertain(&format!("answer is incomplete after {timeout:?}"))),
        }
    }

    /// Sends a request and returns its answer decoded from JSON.
    ///
    /// # Errors
    ///
    /// As for [`HttpClient::fetch`], with refusals mapped by [`check_status`].
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        builder: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> PortResult<T> {
        let answer = check_status(self.fetch(builder, body, timeout).await?)?;
        serde_json::from_slice(answer.body())
            .map_err(|error| self.uncertain(&format!("answer is malformed: {error}")))
    }

    /// Returns the answer unless it names another request than `id`.
    fn check_identity(
        &self,
        connection: &CaptureConnection,
        id: &HeaderValue,
        response: Response<Incoming>,
    ) -> PortResult<Response<Incoming>> {
        let named = response.headers().get(REQUEST_ID);
        let is_named = named == Some(id);
        if (!is_named || !response.status().is_success())
            && let Some(metadata) = connection.connection_metadata().as_ref()
        {
            metadata.poison();
        }
        if named.is_some() && !is_named {
            return Err(self.uncertain(&"the answer belongs to another request"));
        }
        Ok(response)
    }

    fn unreachable(&self, reason: &dyn std::fmt::Display) -> PortError {
        PortError::Unreachable(format!("{}: {reason}", self.address))
    }

    fn uncertain(&self, reason: &dyn std::fmt::Display) -> PortError {
        PortError::Uncertain(format!("{}: {reason}", self.address))
    }

    /// Returns `Unreachable` if no connection carried the request, else `Uncertain`, since the
    /// request may have arrived.
    fn failure(&self, connection: &CaptureConnection, reason: &dyn std::fmt::Display) -> PortError {
        if connection.connection_metadata().is_some() {
            self.uncertain(reason)
        } else {
            self.unreachable(reason)
        }
    }
}

/// Reads the whole body, up to [`MAX_ANSWER_BYTES`].
async fn read_body(response: Response<Incoming>) -> Result<Response<Bytes>, String> {
    let (head, body) = response.into_parts();
    let collected = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| format!("answer ended early: {error}"))?;
    Ok(Response::from_parts(head, collected.to_bytes()))
}

/// Returns a successful answer and maps every other status to an error.
///
/// # Errors
///
/// 429 and a 503 with a delay are `Limited`, a 503 without one is `Unreachable`, 412 is `Fenced`,
/// other 4xx are `Refused`; after any other status the call may have taken effect and is
/// `Uncertain`.
pub fn check_status(answer: Response<Bytes>) -> PortResult<Response<Bytes>> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let delay = retry_after(&answer);
    let text = String::from_utf8_lossy(answer.body());
    let reason = format!("status {}: {text}", status.as_u16());
    Err(match status {
        StatusCode::TOO_MANY_REQUESTS => PortError::Limited(delay.unwrap_or(DEFAULT_RETRY_AFTER)),
        StatusCode::SERVICE_UNAVAILABLE => {
            delay.map_or(PortError::Unreachable(reason), PortError::Limited)
        }
        StatusCode::PRECONDITION_FAILED => PortError::Fenced(reason),
        status if status.is_client_error() => PortError::Refused(reason),
        _ => PortError::Uncertain(reason),
    })
}

/// Returns the retry delay that the answer names.
fn retry_after(answer: &Response<Bytes>) -> Option<Duration> {
    let text = answer.headers().get(RETRY_AFTER_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}
