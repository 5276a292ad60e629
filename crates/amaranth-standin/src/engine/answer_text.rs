//! The text that an engine answers, which anyone can compute to check an answer byte for byte.

use amaranth_core::digest::hash64;
use amaranth_core::ids::RequestId;
use amaranth_core::request::CompletionApi;
use bytes::Bytes;
use serde_json::{Value, json};

/// Syllables from which tokens are put together.
const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
];

/// Returns the text of the prompt in a request body: `prompt`, or the contents of `messages`.
pub fn prompt_text(body: &Value) -> String {
    if let Some(prompt) = body.get("prompt") {
        return value_text(prompt);
    }
    let messages = body.get("messages").and_then(Value::as_array);
    let contents = messages
        .into_iter()
        .flatten()
        .filter_map(|message| message.get("content"));
    contents.map(value_text).collect::<Vec<_>>().join("\n")
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns token `index` of the answer of `model` to `prompt`, with its trailing space.
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let seed = hash64(u64::from(index), model.as_bytes());
    let hash = hash64(seed, prompt.as_bytes());
    let syllable = |shift: u32| {
        let position = usize::from((hash >> shift) as u8 & 15);
        SYLLABLES[position]
    };
    format!("{}{}{} ", syllable(0), syllable(8), syllable(16))
}

/// Returns the whole answer of `model` to `prompt`, `tokens` long.
pub fn answer_text(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token_text(model, prompt, index))
        .collect()
}

/// What the events of one answer have in common.
#[derive(Debug, Clone)]
pub struct AnswerShape {
    /// The request.
    pub id: RequestId,
    /// The API that was called.
    pub api: CompletionApi,
    /// The model that the events name.
    pub model: String,
    /// When the request was accepted, in seconds of Unix time.
    pub created: u64,
}

impl AnswerShape {
    /// Returns the data of the event that carries token `index` of `tokens`.
    pub fn event(&self, text: &str, index: u32, tokens: u32) -> Bytes {
        let finish = (index + 1 == tokens).then_some("length");
        let choice = match self.api {
            CompletionApi::Completions => {
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": finish})
            }
            CompletionApi::ChatCompletions => {
                let delta = if index == 0 {
                    json!({"role": "assistant", "content": text})
                } else {
                    json!({"content": text})
                };
                json!({"index": 0, "delta": delta, "logprobs": null, "finish_reason": finish})
            }
        };
        let object = match self.api {
            CompletionApi::Completions => "text_completion",
            CompletionApi::ChatCompletions => "chat.completion.chunk",
        };
        self.envelope(object, choice, None)
    }

    /// Returns the event that states the token counts, which callers may ask for.
    pub fn usage_event(&self, prompt_tokens: u32, tokens: u32) -> Bytes {
        let object = match self.api {
            CompletionApi::Completions => "text_completion",
            CompletionApi::ChatCompletions => "chat.completion.chunk",
        };
        self.envelope(object, Value::Null, Some(usage(prompt_tokens, tokens)))
    }

    /// Returns the answer in one piece, as callers that do not stream get it.
    pub fn whole(&self, text: &str, prompt_tokens: u32, tokens: u32) -> Bytes {
        let (object, choice) = match self.api {
            CompletionApi::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": "length"}),
            ),
            CompletionApi::ChatCompletions => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "logprobs": null,
                    "finish_reason": "length",
                }),
            ),
        };
        self.envelope(object, choice, Some(usage(prompt_tokens, tokens)))
    }

    fn envelope(&self, object: &str, choice: Value, usage: Option<Value>) -> Bytes {
        let prefix = match self.api {
            CompletionApi::Completions => "cmpl",
            CompletionApi::ChatCompletions => "chatcmpl",
        };
        let choices = if choice.is_null() {
            json!([])
        } else {
            json!([choice])
        };
        let mut value = json!({
            "id": format!("{prefix}-{}", self.id),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            value["usage"] = usage;
        }
        Bytes::from(value.to_string())
    }
}

fn usage(prompt_tokens: u32, tokens: u32) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    })
}
