//! HTTP handlers that start, resume and cancel completions.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::{CompletionApi, RequestPriority};
use amaranth_ports::engine::EngineRole;
use amaranth_ports::http_client::REQUEST_ID;
use amaranth_ports::http_engine::{PRIORITY, SERVED_MODEL};
use axum::Json;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;
use serde_json::{Value, json};

use super::answer_text::{AnswerFormat, answer_text, prompt_text};
use super::options::StreamFaults;
use super::state::{EngineInner, EngineState};
use super::stream::{ConnectionFault, EngineStream, StreamEnd, StreamRequest, event_body};
use crate::control::ControlledState;
use crate::faults::consume_fault;

/// Length of an answer whose request sets no limit, in tokens.
const DEFAULT_TOKENS: u32 = 16;

/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Model that an answer names under the faults `wrong_echoes` and `wrong_headers`.
const WRONG_MODEL: &str = "another-adapter@1";

/// The status and reason with which a completion is refused.
struct CompletionRefusal {
    status: StatusCode,
    reason: String,
}

impl CompletionRefusal {
    fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
        }
    }
}

impl IntoResponse for CompletionRefusal {
    fn into_response(self) -> Response {
        let error = json!({
            "error": {
                "message": self.reason,
                "type": "invalid_request_error",
                "param": null,
                "code": null,
            }
        });
        (self.status, Json(error)).into_response()
    }
}

/// An accepted completion, with the model in the header and the fault of its first connection.
struct AcceptedCompletion {
    stream: Arc<EngineStream>,
    header_model: String,
    fault: ConnectionFault,
}

/// Handles `POST /v1/completions`.
pub async fn complete(
    State(state): State<Arc<EngineState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    handle_completion(&state, CompletionApi::Completions, &headers, &body).await
}

/// Handles `POST /v1/chat/completions`.
pub async fn chat(
    State(state): State<Arc<EngineState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    handle_completion(&state, CompletionApi::ChatCompletions, &headers, &body).await
}

async fn handle_completion(
    state: &EngineState,
    api: CompletionApi,
    headers: &HeaderMap,
    body: &[u8],
) -> Response {
    let common = state.faults().common;
    if let Err(refusal) = common.inject_before_call().await {
        return refusal;
    }
    let accepted = parse_request(api, headers, body)
        .and_then(|(request, streamed)| Ok((accept(state, request)?, streamed)));
    common.inject_before_answer().await;
    match accepted {
        Ok((accepted, true)) => stream_answer(&accepted),
        Ok((accepted, false)) => full_answer(&accepted.stream).await,
        Err(refusal) => refusal.into_response(),
    }
}

/// Returns the answer to a streamed completion.
fn stream_answer(accepted: &AcceptedCompletion) -> Response {
    let headers = [
        (header::CONTENT_TYPE.as_str(), "text/event-stream"),
        (SERVED_MODEL, &accepted.header_model),
    ];
    let body = event_body(&accepted.stream, 0, accepted.fault);
    (headers, body).into_response()
}

/// Returns the answer to a completion that is not streamed, once it has ended.
async fn full_answer(stream: &EngineStream) -> Response {
    let mut progress = stream.progress.subscribe();
    let ended = progress.wait_for(|progress| progress.end.is_some()).await;
    if ended.is_ok_and(|progress| progress.end == Some(StreamEnd::Complete)) {
        let request = &stream.request;
        let text = answer_text(&request.model, &request.prompt, request.tokens);
        let body = request
            .format
            .full_answer(&text, request.prompt_tokens, request.tokens);
        let headers = [(header::CONTENT_TYPE, "application/json")];
        return (headers, body).into_response();
    }
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    CompletionRefusal::new(status, "the completion was aborted").into_response()
}

/// Parses a request and returns it with whether its answer is streamed.
fn parse_request(
    api: CompletionApi,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(StreamRequest, bool), CompletionRefusal> {
    let malformed = |reason: String| CompletionRefusal::new(StatusCode::BAD_REQUEST, reason);
    let body: Value = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("body is not JSON: {error}")))?;
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| malformed("model is missing".to_owned()))?
        .to_owned();
    let adapter: Option<AdapterRef> = if model.contains('@') {
        let parsed = model.parse();
        Some(parsed.map_err(|error: amaranth_core::Error| malformed(error.to_string()))?)
    } else {
        None
    };
    let prompt = prompt_text(&body);
    let number = |name: &str| body.get(name).and_then(Value::as_u64);
    let tokens = number("max_completion_tokens").or_else(|| number("max_tokens"));
    let tokens = tokens.and_then(|tokens| u32::try_from(tokens).ok());
    let flag = |value: Option<&Value>| value.and_then(Value::as_bool).unwrap_or(false);
    let with_usage = flag(body.pointer("/stream_options/include_usage"));
    let request = StreamRequest {
        adapter,
        prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        prompt,
        tokens: tokens.unwrap_or(DEFAULT_TOKENS).max(1),
        with_usage,
        priority: parse_header(headers, PRIORITY).unwrap_or(RequestPriority::Normal),
        format: AnswerFormat {
            id: parse_header(headers, REQUEST_ID).unwrap_or(RequestId(rand::random())),
            api,
            model: model.clone(),
            created: unix_seconds(),
        },
        model,
        aborts_after: None,
    };
    Ok((request, flag(body.get("stream"))))
}

fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}

/// Enqueues a request and assigns its faults.
fn accept(
    state: &EngineState,
    request: StreamRequest,
) -> Result<AcceptedCompletion, CompletionRefusal> {
    let accepted = state.with_inner(|inner| {
        check_admission(state, inner, &request)?;
        let mut request = request;
        let header_model = inject_model_faults(&mut inner.faults.streams, &mut request);
        let fault = next_connection_fault(&mut inner.faults.streams);
        let stream = Arc::new(EngineStream::new(request));
        inner.counters.accepted += 1;
        inner.streams.insert(stream.id(), Arc::clone(&stream));
        inner.batch.enqueue(Arc::clone(&stream));
        inner.update_load_report();
        Ok(AcceptedCompletion {
            stream,
            header_model,
            fault,
        })
    })?;
    state.request_arrived.notify_one();
    Ok(accepted)
}

/// Refuses a request that the engine can't serve, and any request while the queue is full.
fn check_admission(
    state: &EngineState,
    inner: &mut EngineInner,
    request: &StreamRequest,
) -> Result<(), CompletionRefusal> {
    let refuse = |status, reason: String| Err(CompletionRefusal::new(status, reason));
    let model = &request.model;
    match &request.adapter {
        Some(adapter) if !inner.adapters.contains(adapter) => {
            inner.counters.not_resident += 1;
            return refuse(StatusCode::NOT_FOUND, format!("{model} is not resident"));
        }
        None if !state
            .options
            .bases
            .iter()
            .any(|base| base.as_str() == model) =>
        {
            return refuse(StatusCode::NOT_FOUND, format!("{model} is not served"));
        }
        _ => {}
    }
    if inner.role == EngineRole::Prefill && request.tokens > 1 {
        let reason = "the engine runs prefill only".to_owned();
        return refuse(StatusCode::UNPROCESSABLE_ENTITY, reason);
    }
    if inner.streams.contains_key(&request.format.id) {
        let reason = format!("request {} already exists", request.format.id);
        return refuse(StatusCode::CONFLICT, reason);
    }
    if inner.batch.waiting.len() >= usize::from(state.options.waiting_limit) {
        let reason = "the queue is full".to_owned();
        return refuse(StatusCode::TOO_MANY_REQUESTS, reason);
    }
    Ok(())
}

/// Applies the faults `wrong_echoes`, `failed` and `wrong_headers`, and returns the model that the
/// header names.
fn inject_model_faults(faults: &mut StreamFaults, request: &mut StreamRequest) -> String {
    if consume_fault(&mut faults.wrong_echoes) {
        request.format.model = WRONG_MODEL.to_owned();
    }
    if consume_fault(&mut faults.failed) {
        request.aborts_after = Some(faults.after_events);
    }
    if consume_fault(&mut faults.wrong_headers) {
        return WRONG_MODEL.to_owned();
    }
    request.model.clone()
}

/// Returns the fault of the next connection.
fn next_connection_fault(faults: &mut StreamFaults) -> ConnectionFault {
    let after_events = faults.after_events as usize;
    if consume_fault(&mut faults.broken) {
        return ConnectionFault::AbortAfter(after_events);
    }
    if consume_fault(&mut faults.silent) {
        return ConnectionFault::SilentAfter(after_events);
    }
    ConnectionFault::None
}

/// The query parameters of a resumption.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ResumeQuery {
    from: usize,
}

/// Handles `GET /requests/{id}/events`: sends the events of a request again from an index on.
pub async fn resume(
    State(state): State<Arc<EngineState>>,
    Path(id): Path<RequestId>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let common = state.faults().common;
    if let Err(refusal) = common.inject_before_call().await {
        return refusal;
    }
    let stream = state.with_inner(|inner| {
        let stream = inner.streams.get(&id).cloned();
        inner.counters.resumes += u64::from(stream.is_some());
        stream
    });
    let Some(stream) = stream else {
        let reason = format!("request {id} is unknown");
        return CompletionRefusal::new(StatusCode::NOT_FOUND, reason).into_response();
    };
    let headers = [
        (header::CONTENT_TYPE.as_str(), "text/event-stream"),
        (SERVED_MODEL, &stream.request.format.model),
    ];
    let body = event_body(&stream, query.from, ConnectionFault::None);
    (headers, body).into_response()
}

/// Handles `DELETE /requests/{id}`: cancels a request that waits or runs.
pub async fn cancel(State(state): State<Arc<EngineState>>, Path(id): Path<RequestId>) -> Response {
    let common = state.faults().common;
    if let Err(refusal) = common.inject_before_call().await {
        return refusal;
    }
    state.with_inner(|inner| {
        if let Some(stream) = inner.batch.remove(id) {
            stream.finish(StreamEnd::Aborted);
            inner.counters.cancelled += 1;
            inner.retain_ended(id);
            inner.update_load_report();
        }
    });
    StatusCode::NO_CONTENT.into_response()
}
