//! Constants, engines and calls that the tests of the stand-ins share.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::time::Duration;

use amaranth_core::ids::{AdapterRef, FencingToken, RequestId};
use amaranth_core::request::RequestPriority;
use amaranth_core::trace::TraceContext;
use amaranth_ports::PortResult;
use amaranth_ports::engine::{EngineAnswer, EngineCall, EnginePort};
use amaranth_ports::http_engine::HttpEngine;
use amaranth_standin::{EngineOptions, EngineStandin};
use bytes::Bytes;
use futures::StreamExt;
use serde_json::{Value, json};

/// Timeout of orders, longer than any order in these tests takes.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Prompt of the calls.
pub const PROMPT: &str = "manifest 17: four tins of red lead";

/// Parses an adapter from its text form `name@version`.
pub fn adapter(text: &str) -> AdapterRef {
    text.parse().expect("the adapter has the form name@version")
}

/// Returns the options of an engine with one base model and short times.
pub fn fast_engine() -> EngineOptions {
    EngineOptions {
        bases: vec!["tin-llm".parse().expect("the model name is valid")],
        step_time: Duration::from_millis(1),
        step_time_per_request: Duration::ZERO,
        prefill_time_per_token: Duration::ZERO,
        load_time: Duration::from_millis(1),
        ..EngineOptions::default()
    }
}

/// Spawns an engine and creates a client for it.
pub async fn spawn_engine(options: EngineOptions) -> (EngineStandin, HttpEngine) {
    let engine = EngineStandin::spawn(options)
        .await
        .expect("the engine binds");
    let client = HttpEngine::new(engine.address());
    (engine, client)
}

/// Loads adapter `name` with fencing token `token`.
pub async fn load(client: &HttpEngine, name: &str, token: u64) -> PortResult<()> {
    client
        .load_adapter(&adapter(name), FencingToken(token), ORDER_TIMEOUT)
        .await
}

/// Unloads adapter `name` with fencing token `token`.
pub async fn unload(client: &HttpEngine, name: &str, token: u64) -> PortResult<()> {
    client
        .unload_adapter(&adapter(name), FencingToken(token), ORDER_TIMEOUT)
        .await
}

/// Returns a streamed call to `model` for an answer of `tokens` tokens.
pub fn call(id: u128, model: &str, tokens: u32) -> EngineCall {
    let body = json!({
        "model": model, "prompt": PROMPT, "max_tokens": tokens, "stream": true,
    });
    EngineCall {
        id: RequestId(id),
        path: "/v1/completions",
        body: Bytes::from(body.to_string()),
        priority: RequestPriority::Normal,
        trace: TraceContext {
            trace_id: 1,
            span_id: 1,
            sampled: false,
        },
    }
}

/// Returns the events of an answer up to its end or its first error.
pub async fn read_all(answer: EngineAnswer) -> Vec<PortResult<Bytes>> {
    answer.events.collect().await
}

/// Returns the joined text of events without errors.
pub fn joined_text(events: &[PortResult<Bytes>]) -> String {
    events.iter().map(event_text).collect()
}

fn event_text(event: &PortResult<Bytes>) -> String {
    let value = event_value(event);
    let text = value.pointer("/choices/0/text").and_then(Value::as_str);
    text.expect("the event has a text").to_owned()
}

/// Returns the JSON data of an event without an error.
pub fn event_value(event: &PortResult<Bytes>) -> Value {
    let event = event.as_ref().expect("the event has no error");
    serde_json::from_slice(event).expect("the event is JSON")
}
