//! Requests and answers as they travel between the processes.

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

/// What a completion runs on. It is resolved once, when the request is accepted.
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
    /// Returns the adapter, if the target has one.
    pub const fn adapter(&self) -> Option<&AdapterRef> {
        match self {
            Self::Base(_) => None,
            Self::Adapter { adapter, .. } => Some(adapter),
        }
    }

    /// Returns the base model.
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

/// How urgent a request is.
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
    /// Served when nothing else waits.
    Low,
    /// The usual priority.
    #[default]
    Normal,
    /// Served before the others.
    High,
}

/// The API shape in which the caller asked, which the engine is asked in as well.
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
    /// Returns the path of the API.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::ChatCompletions => "/v1/chat/completions",
        }
    }
}

/// A completion that an entry hands to an agent. It may be repeated safely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The request.
    pub id: RequestId,
    /// The endpoint the entry chose.
    pub endpoint: EndpointId,
    /// What it runs on.
    pub target: ModelTarget,
    /// The revision it was resolved by.
    pub revision: ConfigRevision,
    /// The API shape.
    pub api: CompletionApi,
    /// The caller's JSON body, with `model` as the caller wrote it.
    pub body: Bytes,
    /// Who asked.
    pub caller: CallerId,
    /// How urgent it is.
    pub priority: RequestPriority,
    /// Time left until the caller gives up, counted from when this is sent.
    pub time_left: Duration,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Most tokens to generate.
    pub max_tokens: TokenCount,
    /// The sender's span.
    pub trace: TraceContext,
}

/// A piece of an answer. Pieces of one answer are numbered without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChunk {
    /// The position in the answer.
    pub sequence: Sequence,
    /// The payload: one server-sent event's data, as the engine sent it.
    pub data: Bytes,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEnd {
    /// All chunks were produced.
    Complete,
    /// The answer broke off with this error.
    Failed(Error),
}

/// What one read of an answer returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBatch {
    /// The request.
    pub id: RequestId,
    /// Chunks in order, starting at the sequence that was asked for. Empty means "still alive".
    pub chunks: Vec<AnswerChunk>,
    /// The end, if `chunks` reaches it.
    pub end: Option<AnswerEnd>,
}

/// A call of a plain service that an entry hands to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The request.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The instance that the entry chose.
    pub endpoint: EndpointId,
    /// The HTTP method.
    pub method: String,
    /// The path and query below the service's root.
    pub path: String,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The claim under which a non-idempotent call runs; absent for calls that may be repeated.
    pub claim: Option<ServiceClaim>,
    /// Time left until the caller gives up, counted from when this is sent.
    pub time_left: Duration,
    /// The sender's span.
    pub trace: TraceContext,
}

/// The winning claim of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceClaim {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The claim record that won.
    pub id: ClaimId,
    /// The only life of the agent that may run or seal the claim. An agent of another life
    /// refuses both the call and the settling with `Fenced`: it can't know what became of it.
    pub agent_incarnation: Incarnation,
}

/// The whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}
