//! What a call asks for, as far as decisions need to know.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{AdapterName, ModelName};
use smallvec::SmallVec;

/// The id of one attempt of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallId(Arc<str>);

impl CallId {
    /// Takes an id as the caller sent it.
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

/// A part of a prompt, which prompts with the same part share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// The identity of the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The parts of a prompt in order.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// What a generation needs of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationNeed {
    /// The base model.
    pub model: ModelName,
    /// The adapter, if the call names one.
    pub adapter: Option<AdapterName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The largest number of tokens that may be generated.
    pub output_limit: u32,
    /// The caller's estimate of the tokens that will be generated.
    pub output_hint: Option<u32>,
    /// The parts of the prompt, in order.
    pub parts: PromptParts,
}

impl GenerationNeed {
    /// Returns the tokens that the generation is expected to produce.
    pub fn expected_output(&self) -> u32 {
        self.output_hint
            .unwrap_or(self.output_limit / 2)
            .min(self.output_limit)
    }
}

/// The head of a call, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The id of this attempt.
    pub id: CallId,
    /// The host that the caller addressed, without a port.
    pub host: String,
    /// The path, without a query.
    pub path: String,
    /// How long the caller waits, counted from the arrival of the call.
    pub patience: Option<Duration>,
    /// The last event that the caller has of an earlier stream.
    pub resume_after: Option<u64>,
    /// What it needs of an engine, if it is a generation.
    pub generation: Option<GenerationNeed>,
}
