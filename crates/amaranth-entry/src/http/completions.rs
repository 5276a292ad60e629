//! Handlers of completions and chat completions, streamed and whole.

use std::sync::Arc;
use std::time::Instant;

use amaranth_config::catalogue::ResolvedModel;
use amaranth_core::errors::{Result, RunState, invalid_request};
use amaranth_core::ids::{EndpointId, RequestId};
use amaranth_core::request::{CompletionApi, CompletionRequest};
use amaranth_core::trace::TraceContext;
use amaranth_core::units::TokenCount;
use amaranth_telemetry::spans::HopSpan;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderValue, Response, header};
use axum::response::IntoResponse;
use bytes::Bytes;
use futures::stream;
use serde_json::{Map, Value, json};

use super::api_errors::{AnswerLabels, ApiError, error_json};
use super::request_head::{RequestHead, new_request_id, read_body};
use super::whole_answers::WholeAnswer;
use crate::answer_reader::AnswerReader;
use crate::directory::first_query;
use crate::entry_state::{AdmittedRequest, EntryState};

/// The event that ends a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Number of bytes of a request body that count as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum number of tokens that a request generates if it states no limit.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Answers `POST /v1/completions`.
pub async fn complete(State(state): State<Arc<EntryState>>, request: Request) -> Response<Body> {
    serve(state, CompletionApi::Completions, request).await
}

/// Answers `POST /v1/chat/completions`.
pub async fn complete_chat(
    State(state): State<Arc<EntryState>>,
    request: Request,
) -> Response<Body> {
    serve(state, CompletionApi::ChatCompletions, request).await
}

async fn serve(state: Arc<EntryState>, api: CompletionApi, request: Request) -> Response<Body> {
    let mut labels = AnswerLabels {
        request: new_request_id(),
        revision: state.catalogue.load().revision(),
    };
    metrics::counter!("amaranth_entry_requests_total", "api" => api.path()).increment(1);
    let answered = answer(&state, api, request, &mut labels).await;
    answered.unwrap_or_else(|error| {
        log::info!(
            "event=request_refused request={} kind={}",
            labels.request,
            error.kind
        );
        metrics::counter!("amaranth_entry_refusals_total", "kind" => <&str>::from(error.kind))
            .increment(1);
        ApiError { labels, error }.into_response()
    })
}

/// The reader of an accepted completion, with its trace span and its admission.
pub struct OpenedAnswer {
    reader: AnswerReader,
    _span: Option<HopSpan>,
    _admitted: AdmittedRequest,
}

impl OpenedAnswer {
    /// Creates an opened answer, which counts as in flight until it is dropped.
    pub const fn new(reader: AnswerReader, admitted: AdmittedRequest) -> Self {
        Self {
            reader,
            _span: None,
            _admitted: admitted,
        }
    }
}

async fn answer(
    state: &Arc<EntryState>,
    api: CompletionApi,
    request: Request,
    labels: &mut AnswerLabels,
) -> Result<Response<Body>> {
    let admitted = state.limiter.admit(state.settings.max_in_flight)?;
    state.readiness.check_configuration()?;
    // The whole request uses one revision of the configuration.
    let catalogue = state.catalogue.load_full();
    labels.revision = catalogue.revision();
    let (parts, body) = request.into_parts();
    let head = RequestHead::read(&parts.headers, catalogue.limits())?;
    let mut span = HopSpan::start("entry", head.trace);
    span.set_attribute("request", labels.request);
    let body = read_body(&parts.headers, body, catalogue.limits()).await?;
    let parsed = ParsedBody::parse(api, body)?;
    let resolved = catalogue.resolve_model(&parsed.model, &head.caller)?;
    span.set_attribute("model", &resolved.target);
    let accepted = AcceptedCompletion {
        id: labels.request,
        api,
        head,
        parsed,
        resolved,
        trace: span.context(),
    };
    let streamed = accepted.parsed.streamed;
    let reader = accepted.open_reader(state)?;
    let mut opened = OpenedAnswer::new(reader, admitted);
    opened._span = Some(span);
    if streamed {
        stream_answer(opened, *labels, RunState::Run).await
    } else {
        whole_answer(opened, api, *labels).await
    }
}

/// The members of a request body that the entry evaluates, and the body to forward.
struct ParsedBody {
    model: String,
    streamed: bool,
    max_tokens: TokenCount,
    prompt_tokens: TokenCount,
    body: Bytes,
}

impl ParsedBody {
    fn parse(api: CompletionApi, body: Bytes) -> Result<Self> {
        let parsed = serde_json::from_slice(&body)
            .map_err(|error| invalid_request(format!("the body is not JSON: {error}")))?;
        let Value::Object(mut members) = parsed else {
            return Err(invalid_request("the body is not a JSON object"));
        };
        let model = match members.get("model") {
            Some(Value::String(model)) => model.clone(),
            Some(_) => return Err(invalid_request("\"model\" is not a string")),
            None => return Err(invalid_request("\"model\" is missing")),
        };
        let streamed = match members.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(streamed)) => *streamed,
            Some(_) => return Err(invalid_request("\"stream\" is neither true nor false")),
        };
        check_prompt(api, &members)?;
        check_choices(&members)?;
        let max_tokens = max_tokens(&members)?;
        let prompt_tokens = body.len() / BYTES_PER_TOKEN;
        let body = if streamed {
            body
        } else {
            request_usage(&mut members)
        };
        Ok(Self {
            model,
            streamed,
            max_tokens,
            prompt_tokens: TokenCount(u32::try_from(prompt_tokens).unwrap_or(u32::MAX)),
            body,
        })
    }
}

fn check_prompt(api: CompletionApi, members: &Map<String, Value>) -> Result<()> {
    match api {
        CompletionApi::Completions => match members.get("prompt") {
            Some(Value::String(_) | Value::Array(_)) => Ok(()),
            Some(_) => Err(invalid_request(
                "\"prompt\" is neither a string nor an array",
            )),
            None => Err(invalid_request("\"prompt\" is missing")),
        },
        CompletionApi::ChatCompletions => match members.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => Ok(()),
            Some(_) => Err(invalid_request(
                "\"messages\" is not an array with a message",
            )),
            None => Err(invalid_request("\"messages\" is missing")),
        },
    }
}

/// Checks that the request is for one choice: engines generate one answer for each request.
fn check_choices(members: &Map<String, Value>) -> Result<()> {
    match members.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(choices) if choices.as_u64() == Some(1) => Ok(()),
        Some(choices) => Err(invalid_request(format!(
            "\"n\" is {choices}; only one choice is supported"
        ))),
    }
}

fn max_tokens(members: &Map<String, Value>) -> Result<TokenCount> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match members.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                return value
                    .as_u64()
                    .and_then(|count| u32::try_from(count).ok())
                    .map(TokenCount)
                    .ok_or_else(|| invalid_request(format!("{name:?} is not a token count")));
            }
        }
    }
    Ok(TokenCount(DEFAULT_MAX_TOKENS))
}

/// Returns the body with an option that makes the engine report usage in its stream, because a
/// whole answer states the usage.
fn request_usage(members: &mut Map<String, Value>) -> Bytes {
    let options = json!({"include_usage": true});
    members.insert("stream_options".to_owned(), options);
    serde_json::to_vec(members)
        .map(Bytes::from)
        .expect("a JSON value has string keys only")
}

/// A completion request that was validated and whose model was resolved.
struct AcceptedCompletion {
    id: RequestId,
    api: CompletionApi,
    head: RequestHead,
    parsed: ParsedBody,
    resolved: ResolvedModel,
    trace: TraceContext,
}

impl AcceptedCompletion {
    /// Selects an endpoint and returns a reader of the answer from there.
    fn open_reader(self, state: &Arc<EntryState>) -> Result<AnswerReader> {
        let query = first_query(self.resolved.target.clone());
        let (attempt, reason) = state.directory.start_attempt(&query)?;
        state.retries.deposit();
        state.decisions.record(format!(
            "event=request_routed request={} model={} revision={} endpoint={} reason={reason}",
            self.id,
            self.resolved.target,
            self.resolved.revision,
            attempt.endpoint()
        ));
        let deadline = self.head.deadline;
        let request = self.into_request(attempt.endpoint().clone());
        Ok(AnswerReader::new(
            Arc::clone(state),
            request,
            attempt,
            deadline,
        ))
    }

    fn into_request(self, endpoint: EndpointId) -> CompletionRequest {
        CompletionRequest {
            id: self.id,
            endpoint,
            target: self.resolved.target,
            revision: self.resolved.revision,
            api: self.api,
            body: self.parsed.body,
            priority: self.head.priority.unwrap_or(self.resolved.priority),
            time_left: self.head.time_left(),
            caller: self.head.caller,
            prompt_tokens: self.parsed.prompt_tokens,
            max_tokens: self.parsed.max_tokens,
            trace: self.trace,
        }
    }
}

/// Streams an answer as server-sent events. The first chunk is awaited, so that an answer that
/// fails before it gets an error status.
///
/// # Errors
///
/// Returns the error of an answer that fails before its first chunk.
pub async fn stream_answer(
    mut opened: OpenedAnswer,
    labels: AnswerLabels,
    run: RunState,
) -> Result<Response<Body>> {
    let started = Instant::now();
    let first = opened.reader.next_chunks().await?;
    metrics::histogram!("amaranth_entry_first_chunk_seconds")
        .record(started.elapsed().as_secs_f64());
    let mut text = Vec::new();
    let phase = match first {
        Some(chunks) => {
            for chunk in &chunks {
                write_event(&mut text, &chunk.data);
            }
            StreamPhase::Open(Box::new(opened))
        }
        None => {
            text.extend_from_slice(DONE_EVENT);
            StreamPhase::Ended
        }
    };
    let head = stream::once(async move { Ok::<_, std::convert::Infallible>(Bytes::from(text)) });
    let rest = stream::unfold(phase, next_events);
    let body = Body::from_stream(futures::StreamExt::chain(head, rest));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    labels.write(run, headers);
    Ok(response)
}

/// Progress of a streamed answer.
enum StreamPhase {
    Open(Box<OpenedAnswer>),
    Ended,
}

type StreamedEvents = std::result::Result<Bytes, std::convert::Infallible>;

/// Returns the next events of a stream. The body polls this only after the caller has received the
/// events before, so that the agent's buffer bounds the memory that a slow caller uses.
async fn next_events(phase: StreamPhase) -> Option<(StreamedEvents, StreamPhase)> {
    let StreamPhase::Open(mut opened) = phase else {
        return None;
    };
    let mut text = Vec::new();
    match opened.reader.next_chunks().await {
        Ok(Some(chunks)) => {
            for chunk in &chunks {
                write_event(&mut text, &chunk.data);
            }
            Some((Ok(text.into()), StreamPhase::Open(opened)))
        }
        Ok(None) => {
            text.extend_from_slice(DONE_EVENT);
            Some((Ok(text.into()), StreamPhase::Ended))
        }
        Err(error) => {
            log::warn!("event=answer_broken kind={} cause={error}", error.kind);
            write_event(&mut text, &error_json(&error));
            Some((Ok(text.into()), StreamPhase::Ended))
        }
    }
}

fn write_event(text: &mut Vec<u8>, data: &[u8]) {
    text.extend_from_slice(b"data: ");
    text.extend_from_slice(data);
    text.extend_from_slice(b"\n\n");
}

/// Collects all chunks of an answer and returns it as one object.
async fn whole_answer(
    mut opened: OpenedAnswer,
    api: CompletionApi,
    labels: AnswerLabels,
) -> Result<Response<Body>> {
    let mut whole = WholeAnswer::new(api);
    while let Some(chunks) = opened.reader.next_chunks().await? {
        for chunk in &chunks {
            whole.push(&chunk.data)?;
        }
    }
    let mut response = Response::new(Body::from(whole.finish()));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    labels.write(RunState::Run, headers);
    Ok(response)
}
