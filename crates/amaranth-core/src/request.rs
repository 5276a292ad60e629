//! Requests and answers, as the processes exchange them.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::errors::Error;
use crate::ids::{
    AdapterRef, CallerId, ClaimId, ConfigRevision, EndpointId, IdempotencyKey, Incarnation,
    ModelName, RequestId, Sequence, ServiceName,
};
use crate::trace::TraceContext;
use crate::units::TokenCount;

/// The model, with or without an adapter, that serves a completion.
///
/// An entry resolves the target once, when it accepts the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ModelTarget {
    /// A base model without an adapter.
    Base(ModelName),
    /// One version of one adapter on its base model.
    Adapter {
        /// The base model.
        base: ModelName,
        /// The adapter and its version.
        adapter: AdapterRef,
    },
}

impl ModelTarget {
    /// Returns the adapter of the target, if there is one.
    pub const fn adapter(&self) -> Option<&AdapterRef> {
        match self {
            Self::Base(_) => None,
            Self::Adapter { adapter, .. } => Some(adapter),
        }
    }

    /// Returns the base model of the target.
    pub const fn base(&self) -> &ModelName {
        match self {
            Self::Base(base) | Self::Adapter { base, .. } => base,
        }
    }
}

impl fmt::Display for ModelTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Base(base) => base.fmt(formatter),
            Self::Adapter { adapter, .. } => adapter.fmt(formatter),
        }
    }
}

/// The priority of a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RequestPriority {
    /// Low priority, for requests that may wait for others.
    Low,
    /// The default priority.
    #[default]
    Normal,
    /// High priority, for requests that are served before others.
    High,
}

/// The HTTP API of a completion, which both the caller and the engine use.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum CompletionApi {
    /// `POST /v1/completions`.
    Completions,
    /// `POST /v1/chat/completions`.
    ChatCompletions,
}

impl CompletionApi {
    /// Returns the HTTP path of the API.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::ChatCompletions => "/v1/chat/completions",
        }
    }
}

/// A completion that an entry forwards to an agent. Completions are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The endpoint that the entry selected.
    pub endpoint: EndpointId,
    /// The model and adapter that serve the request.
    pub target: ModelTarget,
    /// The configuration revision by which the target was resolved.
    pub revision: ConfigRevision,
    /// The HTTP API of the request.
    pub api: CompletionApi,
    /// The caller's JSON body, with the `model` member as the caller wrote it.
    pub body: Bytes,
    /// The caller that sent the request.
    pub caller: CallerId,
    /// The priority of the request.
    pub priority: RequestPriority,
    /// The time to the caller's deadline, counted from when the request is sent.
    pub time_left: Duration,
    /// The estimated number of tokens in the prompt.
    pub prompt_tokens: TokenCount,
    /// The maximum number of tokens to generate.
    pub max_tokens: TokenCount,
    /// The trace context, with the sender's span.
    pub trace: TraceContext,
}

/// A chunk of an answer. The chunks of one answer are numbered without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChunk {
    /// The position of the chunk in the answer.
    pub sequence: Sequence,
    /// The data of one server-sent event, as the engine sent it.
    pub data: Bytes,
}

/// The end of an answer, with or without an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEnd {
    /// The answer is complete.
    Complete,
    /// The answer failed with this error before it was complete.
    Failed(Error),
}

/// The result of one read of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBatch {
    /// The id of the request.
    pub id: RequestId,
    /// The chunks in order, from the requested sequence on. An empty batch means that the answer
    /// is still in progress.
    pub chunks: Vec<AnswerChunk>,
    /// The end of the answer, if `chunks` reaches it.
    pub end: Option<AnswerEnd>,
}

/// A call of a plain service that an entry forwards to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The name of the service.
    pub service: ServiceName,
    /// The service instance that the entry selected.
    pub endpoint: EndpointId,
    /// The HTTP method.
    pub method: String,
    /// The path and query, relative to the root of the service.
    pub path: String,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The claim of a non-idempotent call; `None` for idempotent calls.
    pub claim: Option<ServiceClaim>,
    /// The time to the caller's deadline, counted from when the request is sent.
    pub time_left: Duration,
    /// The trace context, with the sender's span.
    pub trace: TraceContext,
}

/// The winning claim of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceClaim {
    /// The idempotency key of the call.
    pub key: IdempotencyKey,
    /// The id of the winning claim record.
    pub id: ClaimId,
    /// The only incarnation of the agent that may run or seal the claim. Other incarnations refuse
    /// both the call and its settlement with `Fenced`, because they don't know whether it ran.
    pub agent_incarnation: Incarnation,
}

/// The complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}
