//! The deterministic text of an engine's answers, which tests compute to check an answer byte for
//! byte.

use amaranth_core::digest::hash64;
use amaranth_core::ids::RequestId;
use amaranth_core::request::CompletionApi;
use bytes::Bytes;
use serde_json::{Value, json};

/// Syllables of which tokens are composed.
const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
];

/// Returns the prompt in a request body: its `prompt`, or the joined contents of its `messages`.
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

/// Returns token `index` of the answer of `model` to `prompt`, with a trailing space.
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let seed = hash64(u64::from(index), model.as_bytes());
    let hash = hash64(seed, prompt.as_bytes());
    let syllable = |shift: u32| {
        let position = usize::from((hash >> shift) as u8 & 15);
        SYLLABLES[position]
    };
    format!("{}{}{} ", syllable(0), syllable(8), syllable(16))
}

/// Returns the text of the answer of `model` to `prompt`, with a length of `tokens` tokens.
pub fn answer_text(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token_text(model, prompt, index))
        .collect()
}

/// The API format of an answer, with the members that all of its events share.
#[derive(Debug, Clone)]
pub struct AnswerFormat {
    /// Id of the request.
    pub id: RequestId,
    /// API that was called.
    pub api: CompletionApi,
    /// Model that the events name.
    pub model: String,
    /// Unix time at which the request was accepted, in seconds.
    pub created: u64,
}

impl AnswerFormat {
    /// Returns the JSON data of the event that carries token `index` of `tokens`.
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
        self.encode_object(object, choice, None)
    }

    /// Returns the JSON data of the event with the token counts, which is sent on request.
    pub fn usage_event(&self, prompt_tokens: u32, tokens: u32) -> Bytes {
        let object = match self.api {
            CompletionApi::Completions => "text_completion",
            CompletionApi::ChatCompletions => "chat.completion.chunk",
        };
        self.encode_object(object, Value::Null, Some(usage(prompt_tokens, tokens)))
    }

    /// Returns the JSON body of the answer to a request that is not streamed.
    pub fn full_answer(&self, text: &str, prompt_tokens: u32, tokens: u32) -> Bytes {
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
        self.encode_object(object, choice, Some(usage(prompt_tokens, tokens)))
    }

    /// Encodes the JSON object of an event or answer.
    fn encode_object(&self, object: &str, choice: Value, usage: Option<Value>) -> Bytes {
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

/// Returns the JSON object with the token counts.
fn usage(prompt_tokens: u32, tokens: u32) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    })
}
