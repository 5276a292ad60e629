//! The HTTP client of [`crate::engine::EnginePort`].

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, FencingToken, RequestId};
use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use http::header::CONTENT_TYPE;
use http::request::Builder;
use http::{Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::engine::{
    CacheEvent, EngineAnswer, EngineCall, EngineInventory, EngineLoadReport, EnginePort, EngineRole,
};
use crate::errors::{PortError, PortResult};
use crate::http_client::{HttpClient, check_status, drain_body};
use crate::sse::{DONE, SseDecoder};

/// Timeout of reading a report and of cancelling a request.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of an engine's response head to a completion; its tokens may take longer.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// The header in which an engine names the model that serves the completion.
pub const SERVED_MODEL: &str = "x-served-model";

/// The header that carries the priority of a request.
pub const PRIORITY: &str = "x-request-priority";

/// The JSON body of an order to load or unload an adapter.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// The adapter, as `name@version`.
    pub lora_name: AdapterRef,
    /// The fencing token of the lease under which the order is sent.
    pub fencing_token: FencingToken,
}

/// The JSON body of an order to change the engine's role.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RoleOrder {
    /// The new role.
    pub role: EngineRole,
    /// The fencing token of the lease under which the order is sent.
    pub fencing_token: FencingToken,
}

/// The HTTP client of one engine.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
        }
    }

    /// Returns a builder of a request under an id of its own.
    fn request(&self, method: Method, path: &str) -> Builder {
        let id = RequestId(rand::random());
        self.client.identified_request(id, method, path)
    }

    async fn send_order<T: Serialize + Sync>(
        &self,
        path: &str,
        order: &T,
        timeout: Duration,
    ) -> PortResult<()> {
        let body = serde_json::to_vec(order)
            .map_err(|error| PortError::Refused(format!("order can't be encoded: {error}")))?;
        let request = json_request(self.request(Method::POST, path));
        let answer = self.client.fetch(request, body.into(), timeout).await?;
        check_status(answer).map(|_| ())
    }

    async fn read_report<T: serde::de::DeserializeOwned>(&self, path: &str) -> PortResult<T> {
        let request = self.request(Method::GET, path);
        self.client
            .fetch_json(request, Bytes::new(), REPORT_TIMEOUT)
            .await
    }

    async fn open_stream(&self, request: Builder, body: Bytes) -> PortResult<EngineAnswer> {
        let response = self.client.send(request, body, ACCEPT_TIMEOUT).await?;
        if !response.status().is_success() {
            return Err(refusal(response).await);
        }
        let served_model = response
            .headers()
            .get(SERVED_MODEL)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        Ok(EngineAnswer {
            served_model,
            events: event_stream(response.into_body()),
        })
    }
}

fn json_request(builder: Builder) -> Builder {
    builder.header(CONTENT_TYPE, "application/json")
}

/// Reads the body of an answer that is not a success and returns its error.
async fn refusal(response: Response<Incoming>) -> PortError {
    let (head, body) = response.into_parts();
    let read = tokio::time::timeout(ACCEPT_TIMEOUT, body.collect()).await;
    let text = match read {
        Ok(Ok(collected)) => collected.to_bytes(),
        _ => Bytes::from_static(b"the reason could not be read"),
    };
    match check_status(Response::from_parts(head, text)) {
        Ok(_) => PortError::Uncertain("a successful status was taken for a failure".to_owned()),
        Err(error) => error,
    }
}

/// Reads the events of a streamed answer.
struct EventReader {
    /// The unread rest of the body; `None` once the stream has ended.
    body: Option<Incoming>,
    decoder: SseDecoder,
    ready: std::collections::VecDeque<Bytes>,
}

impl EventReader {
    /// Returns the next event; a body that ends without the closing event is an error.
    async fn next(&mut self) -> Option<PortResult<Bytes>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                if event.as_ref() != DONE {
                    return Some(Ok(event));
                }
                // Reads the rest, so that the connection can be reused by the next call.
                if let Some(rest) = self.body.take() {
                    drain_body(rest);
                }
            }
            match self.body.as_mut()?.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.ready.extend(self.decoder.push(&bytes));
                    }
                }
                Some(Err(error)) => return self.fail(&error.to_string()),
                None => return self.fail("no closing event"),
            }
        }
    }

    /// Ends the stream with an error.
    fn fail(&mut self, reason: &str) -> Option<PortResult<Bytes>> {
        self.body = None;
        let error = PortError::Uncertain(format!("stream ended early: {reason}"));
        Some(Err(error))
    }
}

/// Returns the data of the events in `body` as a stream.
fn event_stream(body: Incoming) -> BoxStream<'static, PortResult<Bytes>> {
    let reader = EventReader {
        body: Some(body),
        decoder: SseDecoder::new(),
        ready: std::collections::VecDeque::new(),
    };
    stream::unfold(reader, |mut reader| async {
        let event = reader.next().await?;
        Some((event, reader))
    })
    .boxed()
}

#[async_trait]
impl EnginePort for HttpEngine {
    async fn inventory(&self) -> PortResult<EngineInventory> {
        self.read_report("/inventory").await
    }

    async fn load_report(&self) -> PortResult<EngineLoadReport> {
        self.read_report("/load").await
    }

    async fn cache_events(&self, after: u64) -> PortResult<Vec<CacheEvent>> {
        self.read_report(&format!("/cache_events?after={after}"))
            .await
    }

    async fn load_adapter(
        &self,
        adapter: &AdapterRef,
        token: FencingToken,
        timeout: Duration,
    ) -> PortResult<()> {
        let order = AdapterOrder {
            lora_name: adapter.clone(),
            fencing_token: token,
        };
        self.send_order("/v1/load_lora_adapter", &order, timeout)
            .await
    }

    async fn unload_adapter(
        &self,
        adapter: &AdapterRef,
        token: FencingToken,
        timeout: Duration,
    ) -> PortResult<()> {
        let order = AdapterOrder {
            lora_name: adapter.clone(),
            fencing_token: token,
        };
        self.send_order("/v1/unload_lora_adapter", &order, timeout)
            .await
    }

    async fn set_role(
        &self,
        role: EngineRole,
        token: FencingToken,
        timeout: Duration,
    ) -> PortResult<()> {
        let order = RoleOrder {
            role,
            fencing_token: token,
        };
        self.send_order("/role", &order, timeout).await
    }

    async fn complete(&self, call: EngineCall) -> PortResult<EngineAnswer> {
        let request = self
            .client
            .identified_request(call.id, Method::POST, call.path);
        let request = json_request(request)
            .header(PRIORITY, call.priority.to_string())
            .header("traceparent", call.trace.to_string());
        self.open_stream(request, call.body).await
    }

    async fn resume(&self, id: RequestId, from: u64) -> PortResult<EngineAnswer> {
        let path = format!("/requests/{id}/events?from={from}");
        let request = self.request(Method::GET, &path);
        self.open_stream(request, Bytes::new()).await
    }

    async fn cancel(&self, id: RequestId) -> PortResult<()> {
        let path = format!("/requests/{id}");
        let request = self.request(Method::DELETE, &path);
        let answer = self
            .client
            .fetch(request, Bytes::new(), REPORT_TIMEOUT)
            .await?;
        check_status(answer).map(|_| ())
    }
}
