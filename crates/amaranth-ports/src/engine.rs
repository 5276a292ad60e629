//! The port to a model engine.

use std::time::Duration;

use amaranth_core::ids::{AdapterRef, FencingToken, Incarnation, ModelName, RequestId};
use amaranth_core::request::{CompletionRequest, RequestPriority};
use amaranth_core::trace::TraceContext;
use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::errors::PortResult;

/// The phases of a completion that an engine runs.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill and decoding.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decoding only.
    Decode,
}

/// The models, adapters and capacity of an engine, as the engine reports them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInventory {
    /// The engine's current incarnation; another value means that it restarted empty.
    pub incarnation: Incarnation,
    /// The loaded base models.
    pub bases: Vec<ModelName>,
    /// The resident adapters.
    pub adapters: Vec<AdapterRef>,
    /// The number of adapters that can be resident at once.
    pub adapter_slots: u16,
    /// The number of requests that fit into one batch.
    pub batch_slots: u16,
    /// The engine's role.
    pub role: EngineRole,
    /// Whether the engine refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// An engine's own report of its load, which lags behind the actual load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineLoadReport {
    /// The number of requests in the batch.
    pub running: u16,
    /// The number of requests in the engine's queue.
    pub waiting: u16,
    /// The number of blocks of the KV cache in use.
    pub cache_blocks_used: u32,
    /// The total number of blocks of the KV cache.
    pub cache_blocks: u32,
}

/// One change of an engine's prefix cache. Events arrive late, and some are missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's sequence number; a jump shows that events are missing.
    pub number: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was added to the cache; otherwise it was evicted.
    pub cached: bool,
}

/// A completion request as it is sent to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The id of the request.
    pub id: RequestId,
    /// The HTTP path of the API.
    pub path: &'static str,
    /// The JSON body with the exact model name and `stream` set.
    pub body: Bytes,
    /// The priority of the request.
    pub priority: RequestPriority,
    /// The trace context of the agent's span.
    pub trace: TraceContext,
}

/// An engine's answer to a completion, streamed as events.
pub struct EngineAnswer {
    /// The name of the model that serves the completion, as the engine reports it.
    pub served_model: String,
    /// The data of each server-sent event, without the closing `[DONE]`.
    pub events: BoxStream<'static, PortResult<Bytes>>,
}

/// Sends orders and completions to one engine.
#[async_trait]
pub trait EnginePort: Send + Sync {
    /// Returns the engine's inventory.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    async fn inventory(&self) -> PortResult<EngineInventory>;

    /// Returns the engine's load report.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    async fn load_report(&self) -> PortResult<EngineLoadReport>;

    /// Returns the cache events with a number above `after`.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    async fn cache_events(&self, after: u64) -> PortResult<Vec<CacheEvent>>;

    /// Loads an adapter and returns when it is resident.
    ///
    /// # Errors
    ///
    /// `Fenced` for an outdated fencing token, `Limited` when the adapter store limits the rate,
    /// `Uncertain` when the answer was lost.
    async fn load_adapter(
        &self,
        adapter: &AdapterRef,
        token: FencingToken,
        timeout: Duration,
    ) -> PortResult<()>;

    /// Unloads an adapter.
    ///
    /// # Errors
    ///
    /// `Fenced` for an outdated fencing token, `Uncertain` when the answer was lost.
    async fn unload_adapter(
        &self,
        adapter: &AdapterRef,
        token: FencingToken,
        timeout: Duration,
    ) -> PortResult<()>;

    /// Changes the engine's role.
    ///
    /// # Errors
    ///
    /// As for [`EnginePort::load_adapter`].
    async fn set_role(
        &self,
        role: EngineRole,
        token: FencingToken,
        timeout: Duration,
    ) -> PortResult<()>;

    /// Starts a completion.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine refuses or can't be reached.
    async fn complete(&self, call: EngineCall) -> PortResult<EngineAnswer>;

    /// Resumes a running or recently ended completion from its event number `from` on.
    ///
    /// # Errors
    ///
    /// `Refused` when the engine does not support resumption or no longer has the request.
    async fn resume(&self, id: RequestId, from: u64) -> PortResult<EngineAnswer> {
        Err(crate::PortError::Refused(format!(
            "the engine does not resume {id} from {from}"
        )))
    }

    /// Cancels a completion whose answer is no longer wanted.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    async fn cancel(&self, id: RequestId) -> PortResult<()>;
}

/// Returns the body to send to an engine for `request`, with the exact model name and `stream` set.
///
/// # Errors
///
/// Returns `Refused` when the body is not a JSON object.
pub fn engine_body(request: &CompletionRequest) -> PortResult<Bytes> {
    let mut body: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(&request.body)
            .map_err(|error| crate::PortError::Refused(format!("body is not JSON: {error}")))?;
    body.insert("model".to_owned(), request.target.to_string().into());
    body.insert("stream".to_owned(), true.into());
    serde_json::to_vec(&body)
        .map(Bytes::from)
        .map_err(|error| crate::PortError::Refused(error.to_string()))
}
