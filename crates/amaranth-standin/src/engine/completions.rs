//! Completions: start, resume and cancel.

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

use super::answer_text::{AnswerShape, answer_text, prompt_text};
use super::options::StreamFaults;
use super::state::{EngineBook, EngineState};
use super::stream::{ConnectionFault, EngineStream, StreamEnd, StreamRequest, event_body};
use crate::control::ControlledState;
use crate::faults::take_one;

/// Tokens that an answer has when its request does not say.
const DEFAULT_TOKENS: u32 = 16;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The model that a faulty answer names.
const WRONG_MODEL: &str = "another-adapter@1";

/// Why a completion was not accepted.
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

/// What an accepted completion's connection needs.
struct AcceptedCompletion {
    stream: Arc<EngineStream>,
    header_model: String,
    fault: ConnectionFault,
}

/// Answers `POST /v1/completions`.
pub async fn complete(
    State(state): State<Arc<EngineState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    answer_completion(&state, CompletionApi::Completions, &headers, &body).await
}

/// Answers `POST /v1/chat/completions`.
pub async fn chat(
    State(state): State<Arc<EngineState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    answer_completion(&state, CompletionApi::ChatCompletions, &headers, &body).await
}

async fn answer_completion(
    state: &EngineState,
    api: CompletionApi,
    headers: &HeaderMap,
    body: &[u8],
) -> Response {
    let common = state.faults().common;
    if let Err(refusal) = common.before_acting().await {
        return refusal;
    }
    let accepted = parse_request(api, headers, body)
        .and_then(|(request, streamed)| Ok((accept(state, request)?, streamed)));
    common.before_answering().await;
    match accepted {
        Ok((accepted, true)) => streamed_answer(&accepted),
        Ok((accepted, false)) => whole_answer(&accepted.stream).await,
        Err(refusal) => refusal.into_response(),
    }
}

fn streamed_answer(accepted: &AcceptedCompletion) -> Response {
    let headers = [
        (header::CONTENT_TYPE.as_str(), "text/event-stream"),
        (SERVED_MODEL, &accepted.header_model),
    ];
    let body = event_body(&accepted.stream, 0, accepted.fault);
    (headers, body).into_response()
}

async fn whole_answer(stream: &EngineStream) -> Response {
    let mut progress = stream.progress.subscribe();
    let ended = progress.wait_for(|progress| progress.end.is_some()).await;
    if ended.is_ok_and(|progress| progress.end == Some(StreamEnd::Whole)) {
        let request = &stream.request;
        let text = answer_text(&request.model, &request.prompt, request.tokens);
        let body = request
            .shape
            .whole(&text, request.prompt_tokens, request.tokens);
        let headers = [(header::CONTENT_TYPE, "application/json")];
        return (headers, body).into_response();
    }
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    CompletionRefusal::new(status, "the answer was given up").into_response()
}

/// Reads a request and whether its answer is streamed.
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
        priority: parsed_header(headers, PRIORITY).unwrap_or(RequestPriority::Normal),
        shape: AnswerShape {
            id: parsed_header(headers, REQUEST_ID).unwrap_or(RequestId(rand::random())),
            api,
            model: model.clone(),
            created: unix_seconds(),
        },
        model,
        fails_after: None,
    };
    Ok((request, flag(body.get("stream"))))
}

fn parsed_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}

/// Puts a request in line and draws its faults.
fn accept(
    state: &EngineState,
    request: StreamRequest,
) -> Result<AcceptedCompletion, CompletionRefusal> {
    let accepted = state.with_book(|book| {
        check_admission(state, book, &request)?;
        let mut request = request;
        let header_model = draw_model_faults(&mut book.faults.streams, &mut request);
        let fault = draw_connection_fault(&mut book.faults.streams);
        let stream = Arc::new(EngineStream::open(request));
        book.counters.accepted += 1;
        book.streams.insert(stream.id(), Arc::clone(&stream));
        book.batch.enqueue(Arc::clone(&stream));
        book.report_load();
        Ok(AcceptedCompletion {
            stream,
            header_model,
            fault,
        })
    })?;
    state.work.notify_one();
    Ok(accepted)
}

fn check_admission(
    state: &EngineState,
    book: &mut EngineBook,
    request: &StreamRequest,
) -> Result<(), CompletionRefusal> {
    let refuse = |status, reason: String| Err(CompletionRefusal::new(status, reason));
    let model = &request.model;
    match &request.adapter {
        Some(adapter) if !book.adapters.contains(adapter) => {
            book.counters.not_resident += 1;
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
    if book.role == EngineRole::Prefill && request.tokens > 1 {
        let reason = "the engine only reads prompts".to_owned();
        return refuse(StatusCode::UNPROCESSABLE_ENTITY, reason);
    }
    if book.streams.contains_key(&request.shape.id) {
        let reason = format!("request {} exists", request.shape.id);
        return refuse(StatusCode::CONFLICT, reason);
    }
    if book.batch.waiting.len() >= usize::from(state.options.waiting_limit) {
        let reason = "too many requests wait".to_owned();
        return refuse(StatusCode::TOO_MANY_REQUESTS, reason);
    }
    Ok(())
}

/// Applies faults of identity and failure, and returns the model that the header names.
fn draw_model_faults(faults: &mut StreamFaults, request: &mut StreamRequest) -> String {
    if take_one(&mut faults.wrong_echoes) {
        request.shape.model = WRONG_MODEL.to_owned();
    }
    if take_one(&mut faults.failed) {
        request.fails_after = Some(faults.after_events);
    }
    if take_one(&mut faults.wrong_headers) {
        return WRONG_MODEL.to_owned();
    }
    request.model.clone()
}

fn draw_connection_fault(faults: &mut StreamFaults) -> ConnectionFault {
    let after = faults.after_events as usize;
    if take_one(&mut faults.broken) {
        return ConnectionFault::BreakAfter(after);
    }
    if take_one(&mut faults.silent) {
        return ConnectionFault::SilentAfter(after);
    }
    ConnectionFault::None
}

/// The query of a resumption.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ResumeQuery {
    from: usize,
}

/// Returns the events of a request again, from a number on.
pub async fn resume(
    State(state): State<Arc<EngineState>>,
    Path(id): Path<RequestId>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let common = state.faults().common;
    if let Err(refusal) = common.before_acting().await {
        return refusal;
    }
    let found = state.with_book(|book| {
        let stream = book.streams.get(&id).cloned();
        book.counters.resumes += u64::from(stream.is_some());
        stream
    });
    let Some(stream) = found else {
        let reason = format!("request {id} is not known");
        return CompletionRefusal::new(StatusCode::NOT_FOUND, reason).into_response();
    };
    let headers = [
        (header::CONTENT_TYPE.as_str(), "text/event-stream"),
        (SERVED_MODEL, &stream.request.shape.model),
    ];
    let body = event_body(&stream, query.from, ConnectionFault::None);
    (headers, body).into_response()
}

/// Cancels a request that waits or runs.
pub async fn cancel(State(state): State<Arc<EngineState>>, Path(id): Path<RequestId>) -> Response {
    let common = state.faults().common;
    if let Err(refusal) = common.before_acting().await {
        return refusal;
    }
    state.with_book(|book| {
        if let Some(stream) = book.batch.remove(id) {
            stream.end(StreamEnd::BrokenOff);
            book.counters.cancelled += 1;
            book.retire(id);
            book.report_load();
        }
    });
    StatusCode::NO_CONTENT.into_response()
}
