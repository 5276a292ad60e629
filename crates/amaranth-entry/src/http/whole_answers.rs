//! Assembly of the chunks of a streamed answer into one whole answer object.

use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::request::CompletionApi;
use bytes::Bytes;
use serde_json::{Map, Value, json};

/// Whole answer object that is assembled from the chunks of a stream.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    api: CompletionApi,
    head: Map<String, Value>,
    choices: Vec<Map<String, Value>>,
}

impl WholeAnswer {
    /// Creates an empty answer.
    pub fn new(api: CompletionApi) -> Self {
        Self {
            api,
            head: Map::new(),
            choices: Vec::new(),
        }
    }

    /// Merges the next chunk into the answer.
    ///
    /// # Errors
    ///
    /// `EndpointFailed` if the chunk is not a JSON object of the streaming format.
    pub fn push(&mut self, chunk: &[u8]) -> Result<()> {
        let parsed = serde_json::from_slice(chunk)
            .map_err(|error| malformed(format!("a chunk is not JSON: {error}")))?;
        let Value::Object(members) = parsed else {
            return Err(malformed("a chunk is not a JSON object"));
        };
        for (name, value) in members {
            match (name.as_str(), value) {
                ("choices", Value::Array(choices)) => {
                    for choice in choices {
                        self.push_choice(choice)?;
                    }
                }
                // A later null, as in `usage`, does not overwrite the value of an earlier chunk.
                (_, Value::Null) if self.head.contains_key(&name) => {}
                (_, value) => {
                    self.head.insert(name, value);
                }
            }
        }
        Ok(())
    }

    /// Returns the JSON text of the whole answer.
    pub fn finish(mut self) -> Bytes {
        let object = match self.api {
            CompletionApi::Completions => "text_completion",
            CompletionApi::ChatCompletions => "chat.completion",
        };
        self.head.insert("object".to_owned(), object.into());
        let choices: Vec<Value> = self.choices.into_iter().map(Value::Object).collect();
        self.head.insert("choices".to_owned(), choices.into());
        serde_json::to_vec(&self.head)
            .map(Bytes::from)
            .expect("a JSON value has string keys only")
    }

    fn push_choice(&mut self, choice: Value) -> Result<()> {
        let Value::Object(members) = choice else {
            return Err(malformed("a choice is not a JSON object"));
        };
        let index = members.get("index").and_then(Value::as_u64).unwrap_or(0);
        let whole = choice_at(&mut self.choices, index, self.api)?;
        for (name, value) in members {
            if name == "delta" {
                merge(whole.entry("message").or_insert(Value::Null), value);
            } else {
                merge(whole.entry(name).or_insert(Value::Null), value);
            }
        }
        Ok(())
    }
}

/// Maximum number of choices of one answer.
const MAX_CHOICES: u64 = 128;

fn choice_at(
    choices: &mut Vec<Map<String, Value>>,
    index: u64,
    api: CompletionApi,
) -> Result<&mut Map<String, Value>> {
    if index >= MAX_CHOICES {
        return Err(malformed(format!("choice {index} is beyond {MAX_CHOICES}")));
    }
    while choices.len() as u64 <= index {
        choices.push(empty_choice(choices.len(), api));
    }
    choices
        .get_mut(usize::try_from(index).unwrap_or(usize::MAX))
        .ok_or_else(|| malformed("a choice is missing"))
}

fn empty_choice(index: usize, api: CompletionApi) -> Map<String, Value> {
    let content = match api {
        CompletionApi::Completions => ("text", json!("")),
        CompletionApi::ChatCompletions => (
            "message",
            json!({"role": "assistant", "content": Value::Null}),
        ),
    };
    let mut choice = Map::new();
    choice.insert("index".to_owned(), index.into());
    choice.insert(content.0.to_owned(), content.1);
    choice.insert("logprobs".to_owned(), Value::Null);
    choice.insert("finish_reason".to_owned(), Value::Null);
    choice
}

/// Members that every chunk repeats in full instead of continuing them.
const REPEATED_MEMBERS: [&str; 6] = ["index", "id", "type", "role", "name", "finish_reason"];

/// Appends a later piece of a value to the pieces before.
fn merge(whole: &mut Value, piece: Value) {
    match (whole, piece) {
        (_, Value::Null) => {}
        (Value::String(text), Value::String(more)) => text.push_str(&more),
        (Value::Object(members), Value::Object(more)) => merge_members(members, more),
        (Value::Array(items), Value::Array(more)) => merge_items(items, more),
        (whole, piece) => *whole = piece,
    }
}

fn merge_members(members: &mut Map<String, Value>, more: Map<String, Value>) {
    for (name, value) in more {
        let repeated = REPEATED_MEMBERS.contains(&name.as_str());
        let member = members.entry(name).or_insert(Value::Null);
        if repeated && !value.is_null() {
            *member = value;
        } else {
            merge(member, value);
        }
    }
}

/// Merges array items: an item with an index, such as a tool call, continues the item of that
/// index, and others are appended.
fn merge_items(items: &mut Vec<Value>, more: Vec<Value>) {
    for item in more {
        let index = item.get("index").and_then(Value::as_u64);
        let known = index.and_then(|index| {
            items
                .iter_mut()
                .find(|known| known.get("index").and_then(Value::as_u64) == Some(index))
        });
        match known {
            Some(known) => merge(known, item),
            None => items.push(item),
        }
    }
}

fn malformed(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::EndpointFailed, message)
}
