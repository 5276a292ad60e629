//! The properties of a call that decisions depend on.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use smallvec::SmallVec;

/// The id of one attempt of a caller's call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallId(Arc<str>);

impl CallId {
    /// Creates an id from the text that the caller sent.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The identity of the text of a prompt's part, written in hexadecimal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A part of a prompt that other prompts may contain too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// The identity of the part's text.
    pub id: PartId,
    /// The length of the part in tokens.
    pub tokens: u32,
}

/// The parts of a prompt in order.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// The requirements of a generation on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationNeed {
    /// The base model.
    pub model: ModelName,
    /// The adapter, if the call names one.
    pub adapter: Option<AdapterName>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The largest number of tokens that may be generated.
    pub output_limit: u32,
    /// The caller's estimate of the number of tokens that will be generated.
    pub output_hint: Option<u32>,
    /// The parts of the prompt, in order.
    pub parts: PromptParts,
}

impl GenerationNeed {
    /// Returns the ids of the parts that other prompts may contain too: all but the last one, which
    /// belongs to the call or its session.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id)
    }

    /// Returns the number of tokens that the generation is expected to produce.
    pub fn expected_output(&self) -> u32 {
        self.output_hint
            .unwrap_or(self.output_limit / 2)
            .min(self.output_limit)
    }

    /// Returns the number of tokens of an engine's memory that the generation is expected to need.
    pub fn needed_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.expected_output())
    }
}

/// The digest of what an endpoint receives of a call, which is the same for each attempt of its caller.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DeserializeFromStr, SerializeDisplay,
)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of the fields of a request, in order.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self(fields.into_iter().fold(0, hash64))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A property that several calls may share, by which crashes of their endpoints are attributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CallProperty {
    /// A shared part of the prompt.
    Part(PartId),
    /// The whole request.
    Request(RequestDigest),
}

impl CallProperty {
    /// Returns whether the property is a whole request.
    pub const fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for CallProperty {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(formatter),
            Self::Request(digest) => write!(formatter, "request:{digest}"),
        }
    }
}

/// The decoded head of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The id of this attempt.
    pub id: CallId,
    /// The host that the caller addressed, without a port.
    pub host: String,
    /// The path, without a query.
    pub path: String,
    /// The time that the caller waits, counted from the arrival of the call.
    pub max_wait: Option<Duration>,
    /// The id of the last event that the caller has received of an earlier stream.
    pub resume_after: Option<u64>,
    /// The attempt that brought the first event of that stream.
    pub resumed_call: Option<CallId>,
    /// The sum of the prompt's tokens and of the largest number of generated ones, if the call states
    /// them.
    pub stated_tokens: Option<u64>,
    /// The requirements on an engine, if the call is a generation.
    pub generation: Option<GenerationNeed>,
}
