//! Completion and chat completion calls, streamed and not streamed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranth_core::ids::ConfigRevision;
use amaranth_core::request::CompletionApi;
use amaranth_ports::http_client::drain_body;
use amaranth_ports::sse::{DONE, SseDecoder};
use bytes::Bytes;
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::json;

use crate::caller::client::{CallResponse, CallerClient, error_result, parse_run_state};
use crate::checker::evidence::CallResult;

/// A completion request as a caller sends it.
#[derive(Debug, Clone)]
pub struct CompletionCall {
    /// The API that the request uses.
    pub api: CompletionApi,
    /// The value of the `model` member of the body.
    pub model: String,
    /// The prompt, sent as a single user message in the chat API.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// The outcome of a completion call as its caller sees it.
#[derive(Debug, Clone)]
pub struct CompletionOutcome {
    /// The answer or error that the call ended with.
    pub result: CallResult,
    /// The configuration revision that the call was routed by, if the response names one.
    pub revision: Option<ConfigRevision>,
    /// The time from sending to the first token, or to the end of an answer that was not streamed.
    pub first_token: Duration,
    /// The number of tokens received; 0 if the answer was not streamed or broke off.
    pub tokens: u32,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    choices: Vec<CompletionChoice>,
    error: Option<serde::de::IgnoredAny>,
    #[serde(default)]
    run: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct CompletionChoice {
    text: Option<String>,
    message: Option<ChatMessage>,
    delta: Option<ChatMessage>,
}

#[derive(Debug, Default, Deserialize)]
struct ChatMessage {
    content: Option<String>,
}

impl CompletionChoice {
    fn into_text(self) -> String {
        let chat = self.message.or(self.delta).and_then(|part| part.content);
        self.text.or(chat).unwrap_or_default()
    }
}

/// The part of a streamed answer that has been received so far.
#[derive(Debug, Default)]
struct PartialAnswer {
    served_model: String,
    text: String,
    tokens: u32,
    first_token: Option<Duration>,
}

impl CompletionCall {
    /// Returns the JSON body of the request.
    pub fn body(&self) -> Bytes {
        let mut body = json!({
            "model": self.model,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        });
        match self.api {
            CompletionApi::Completions => body["prompt"] = json!(self.prompt),
            CompletionApi::ChatCompletions => {
                body["messages"] = json!([{"role": "user", "content": self.prompt}]);
            }
        }
        Bytes::from(body.to_string())
    }
}

impl CallerClient {
    /// Sends a completion request to the entry at `address` and reads the answer to its end.
    pub async fn complete(&self, address: SocketAddr, call: &CompletionCall) -> CompletionOutcome {
        let started = Instant::now();
        let running = self.run_completion(address, call, started);
        match tokio::time::timeout(self.timeout(), running).await {
            Ok(outcome) => outcome,
            Err(_) => broken(
                "the answer did not end within the caller's timeout",
                started,
                None,
            ),
        }
    }

    async fn run_completion(
        &self,
        address: SocketAddr,
        call: &CompletionCall,
        started: Instant,
    ) -> CompletionOutcome {
        let response = match self.post(address, call.api.path(), call.body(), None).await {
            Ok(response) => response,
            Err(reason) => return broken(&reason, started, None),
        };
        if call.stream && response.status == 200 {
            read_stream(response, started).await
        } else {
            read_full_answer(response, started).await
        }
    }
}

fn broken(reason: &str, started: Instant, revision: Option<ConfigRevision>) -> CompletionOutcome {
    CompletionOutcome {
        result: CallResult::Broken {
            reason: reason.to_owned(),
            entry_killed: false,
        },
        revision,
        first_token: started.elapsed(),
        tokens: 0,
    }
}

async fn read_full_answer(response: CallResponse, started: Instant) -> CompletionOutcome {
    let revision = response.revision();
    let run = response.run_state();
    let status = response.status;
    let body = match response.body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return broken(&format!("{error:?}"), started, revision),
    };
    let result = if status == 200 {
        full_answer_result(&body)
    } else {
        error_result(status, run, &body)
    };
    CompletionOutcome {
        result,
        revision,
        first_token: started.elapsed(),
        tokens: 0,
    }
}

fn full_answer_result(body: &[u8]) -> CallResult {
    match serde_json::from_slice::<CompletionBody>(body) {
        Ok(parsed) => CallResult::Answered {
            served_model: parsed.model,
            text: parsed
                .choices
                .into_iter()
                .map(CompletionChoice::into_text)
                .collect(),
        },
        Err(error) => CallResult::Broken {
            reason: format!("the body is not a completion object: {error}"),
            entry_killed: false,
        },
    }
}

/// Reads a streamed answer up to its final event.
///
/// The result is broken if the stream ends without `[DONE]` or an error event.
async fn read_stream(mut response: CallResponse, started: Instant) -> CompletionOutcome {
    let revision = response.revision();
    let mut decoder = SseDecoder::new();
    let mut answer = PartialAnswer::default();
    while let Some(frame) = response.body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return broken(&format!("{error:?}"), started, revision),
        };
        let bytes: &[u8] = frame.data_ref().map_or(&[], |data| data.as_ref());
        for data in decoder.push(bytes) {
            if let Some(result) = answer.apply_event(&data, started) {
                // Only a connection whose response was read to its end can be reused.
                drain_body(response.body);
                return CompletionOutcome {
                    result,
                    revision,
                    first_token: answer.first_token.unwrap_or(started.elapsed()),
                    tokens: answer.tokens,
                };
            }
        }
    }
    broken(
        "the stream ended without [DONE] or an error",
        started,
        revision,
    )
}

impl PartialAnswer {
    /// Applies the data of one event and returns the result if the event ends the answer.
    fn apply_event(&mut self, data: &[u8], started: Instant) -> Option<CallResult> {
        if data == DONE {
            return Some(CallResult::Answered {
                served_model: std::mem::take(&mut self.served_model),
                text: std::mem::take(&mut self.text),
            });
        }
        let body: CompletionBody = match serde_json::from_slice(data) {
            Ok(body) => body,
            Err(error) => {
                return Some(CallResult::Broken {
                    reason: format!("the event is not a completion chunk: {error}"),
                    entry_killed: false,
                });
            }
        };
        if body.error.is_some() {
            let run = body.run.as_deref();
            return Some(error_result(200, parse_run_state(run), data));
        }
        self.first_token.get_or_insert_with(|| started.elapsed());
        if self.served_model.is_empty() {
            self.served_model = body.model;
        }
        for choice in body.choices {
            let text = choice.into_text();
            self.tokens += u32::from(!text.is_empty());
            self.text.push_str(&text);
        }
        None
    }
}
