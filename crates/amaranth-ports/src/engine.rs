//! Model engines.

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

/// What an engine works on.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Both prompts and generation.
    #[default]
    Mixed,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// What an engine holds, read from the engine itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInventory {
    /// The engine's present life: another value means that it restarted empty.
    pub incarnation: Incarnation,
    /// Base models.
    pub bases: Vec<ModelName>,
    /// Resident adapters.
    pub adapters: Vec<AdapterRef>,
    /// Adapters that can be resident at once.
    pub adapter_slots: u16,
    /// Requests batched at once.
    pub batch_slots: u16,
    /// The role.
    pub role: EngineRole,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// The engine's own report of its load. It lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineLoadReport {
    /// Requests in the batch.
    pub running: u16,
    /// Requests waiting in the engine.
    pub waiting: u16,
    /// Blocks of KV cache in use.
    pub cache_blocks_used: u32,
    /// Blocks of KV cache in all.
    pub cache_blocks: u32,
}

/// One change of an engine's prefix cache. Events come late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event; a jump shows a gap.
    pub number: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix is now cached, or dropped.
    pub cached: bool,
}

/// A completion as it is sent to an engine.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The request.
    pub id: RequestId,
    /// The path of the API.
    pub path: &'static str,
    /// The JSON body with the exact model name and `stream` set.
    pub body: Bytes,
    /// The priority.
    pub priority: RequestPriority,
    /// The agent's span.
    pub trace: TraceContext,
}

/// A running completion.
pub struct EngineAnswer {
    /// The model name that the engine says it serves this with.
    pub served_model: String,
    /// The data of each server-sent event, without the closing `[DONE]`.
    pub events: BoxStream<'static, PortResult<Bytes>>,
}

/// Gives orders and completions to one engine.
#[async_trait]
pub trait EnginePort: Send + Sync {
    /// Returns what the engine holds.
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

    /// Returns cache events numbered above `after`.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    async fn cache_events(&self, after: u64) -> PortResult<Vec<CacheEvent>>;

    /// Loads an adapter and returns when it is resident.
    ///
    /// # Errors
    ///
    /// `Fenced` for an old number, `Limited` when the store limits, `Uncertain` when the answer
    /// was lost.
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
    /// `Fenced` for an old number, `Uncertain` when the answer was lost.
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

    /// Fetches a running or just ended completion again, from its event number `from` on.
    ///
    /// # Errors
    ///
    /// `Refused` when the engine does not resume or no longer knows the request.
    async fn resume(&self, id: RequestId, from: u64) -> PortResult<EngineAnswer> {
        Err(crate::PortError::Refused(format!(
            "the engine does not resume {id} from {from}"
        )))
    }

    /// Stops a completion that nobody waits for.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    async fn cancel(&self, id: RequestId) -> PortResult<()>;
}

/// Builds the engine's body of `request`: its exact model name, and a streamed answer.
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
