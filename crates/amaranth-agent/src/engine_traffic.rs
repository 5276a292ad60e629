//! Runs one request on its engine: checks the inventory, streams the answer, and checks in each
//! chunk which model served it.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::request::{CompletionRequest, ModelTarget};
use amaranth_core::trace::TraceContext;
use amaranth_ports::engine::{EngineAnswer, EngineCall, EngineInventory, EnginePort, engine_body};
use amaranth_ports::{PortError, PortResult};
use amaranth_telemetry::spans::HopSpan;
use bytes::Bytes;
use futures::StreamExt;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::answer_store::AnswerSlot;

/// Maximum number of attempts to cancel a request at its engine.
const CANCEL_ATTEMPTS: u32 = 3;

/// Timeout of one attempt to cancel, and the delay before the next attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of times that a broken stream is resumed before its request is run again.
const RESUME_LIMIT: u32 = 2;

/// One dispatch of a request to its engine.
pub struct EngineDispatch {
    /// The client of the engine.
    pub port: Arc<dyn EnginePort>,
    /// The request.
    pub request: Arc<CompletionRequest>,
    /// The slot that receives the answer.
    pub slot: Arc<AnswerSlot>,
    /// The engine's inventory as it was last read.
    pub inventory: Option<Arc<EngineInventory>>,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The time without a chunk after which the stream counts as lost.
    pub stream_silence: Duration,
    /// The time without the first chunk after which the stream counts as lost.
    pub first_chunk_silence: Duration,
    /// The trace context that is passed to the engine.
    pub trace: TraceContext,
}

/// The outcome of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineDispatchOutcome {
    /// The answer has ended, complete or with an error.
    AnswerEnded,
    /// The engine interrupted the answer or does not have the adapter loaded. The request may be
    /// run again; if it is not, its answer ends with this error.
    Interrupted(Error),
}

/// The reason why a stream ended before its answer was complete.
enum StreamError {
    /// The stream broke. Another run may produce the complete answer.
    Broken(Error),
    /// The answer fails, since another run would not help.
    Final(Error),
}

/// Runs a request on its engine and writes the answer to its slot.
pub async fn run(mut dispatch: EngineDispatch) -> EngineDispatchOutcome {
    let mut span = HopSpan::start("agent.complete", dispatch.request.trace);
    span.set_attribute("endpoint", &dispatch.request.endpoint);
    span.set_attribute("target", &dispatch.request.target);
    dispatch.trace = span.context();
    if !contains_target(dispatch.inventory.as_deref(), &dispatch.request.target) {
        let target = &dispatch.request.target;
        let endpoint = &dispatch.request.endpoint;
        return EngineDispatchOutcome::Interrupted(Error::new(
            ErrorKind::LoadFailed,
            format!("endpoint {endpoint} does not have {target} loaded"),
        ));
    }
    let slot = &dispatch.slot;
    slot.rerun();
    let streamed = tokio::select! {
        streamed = stream(&dispatch) => streamed,
        () = slot.cancelled().cancelled() => Err(StreamError::Final(Error::new(
            ErrorKind::Cancelled,
            "the request was cancelled",
        ))),
        () = sleep_until(dispatch.deadline) => Err(StreamError::Final(Error::new(
            ErrorKind::DeadlineAfterStart,
            "the deadline passed while the engine generated the answer",
        ))),
    };
    match streamed {
        Ok(()) => EngineDispatchOutcome::AnswerEnded,
        Err(StreamError::Broken(error)) => {
            cancel(&dispatch).await;
            EngineDispatchOutcome::Interrupted(error)
        }
        Err(StreamError::Final(error)) => {
            record_failure(&dispatch.request, &error);
            slot.fail(error);
            cancel(&dispatch).await;
            EngineDispatchOutcome::AnswerEnded
        }
    }
}

/// Logs and counts an answer that failed after its request was dispatched.
fn record_failure(request: &CompletionRequest, error: &Error) {
    let kind: &'static str = error.kind.into();
    metrics::counter!("amaranth_agent_answers_failed_total", "kind" => kind).increment(1);
    log::warn!(
        "event=answer_failed request={} endpoint={} target={} kind={kind} cause={:?}",
        request.id,
        request.endpoint,
        request.target,
        error.message
    );
}

/// Returns whether the inventory contains the base model or adapter of `target`.
fn contains_target(inventory: Option<&EngineInventory>, target: &ModelTarget) -> bool {
    inventory.is_some_and(|inventory| match target {
        ModelTarget::Base(base) => inventory.bases.contains(base),
        ModelTarget::Adapter { adapter, .. } => inventory.adapters.contains(adapter),
    })
}

async fn stream(dispatch: &EngineDispatch) -> Result<(), StreamError> {
    let request = &dispatch.request;
    let call = EngineCall {
        id: request.id,
        path: request.api.path(),
        body: engine_body(request).map_err(|error| StreamError::Final(engine_error(error)))?,
        priority: request.priority,
        trace: dispatch.trace,
    };
    let target = request.target.to_string();
    let started = dispatch.port.complete(call).await;
    let mut answer = started.map_err(start_error)?;
    let mut next = 0;
    for attempt in 0.. {
        match forward(dispatch, &target, answer, &mut next).await {
            Err(StreamError::Broken(error)) if attempt < RESUME_LIMIT => {
                // If only the connection broke, the engine still runs the request.
                answer = match dispatch.port.resume(request.id, next).await {
                    Ok(resumed) => resumed,
                    Err(_) => return Err(StreamError::Broken(error)),
                };
            }
            ended => return ended,
        }
    }
    Ok(())
}

/// Checks the engine's chunks and forwards them to the slot, counting them in `next`.
async fn forward(
    dispatch: &EngineDispatch,
    target: &str,
    mut answer: EngineAnswer,
    next: &mut u64,
) -> Result<(), StreamError> {
    check_identity(target, &answer.served_model).map_err(StreamError::Final)?;
    while let Some(event) = next_event(dispatch, &mut answer, *next).await? {
        let data = event.map_err(|error| {
            StreamError::Broken(Error::new(ErrorKind::EndpointFailed, error.to_string()))
        })?;
        check_echo(target, &data).map_err(StreamError::Final)?;
        dispatch.slot.push(data).await.map_err(StreamError::Final)?;
        *next += 1;
    }
    dispatch.slot.complete().map_err(StreamError::Final)
}

/// Waits for the next event. A stream that is silent for too long counts as lost, since a device
/// between agent and engine may have dropped the connection without a reset.
async fn next_event(
    dispatch: &EngineDispatch,
    answer: &mut EngineAnswer,
    forwarded: u64,
) -> Result<Option<PortResult<Bytes>>, StreamError> {
    let limit = match forwarded {
        0 => dispatch.first_chunk_silence,
        _ => dispatch.stream_silence,
    };
    timeout(limit, answer.events.next()).await.map_err(|_| {
        let message = format!("the engine sent nothing for {} ms", limit.as_millis());
        StreamError::Broken(Error::new(ErrorKind::EndpointFailed, message))
    })
}

/// Returns the stream error for a completion that did not start.
fn start_error(error: PortError) -> StreamError {
    match error {
        // An engine that refuses may no longer have the adapter that its inventory contained.
        PortError::Refused(_) | PortError::Unreachable(_) | PortError::Uncertain(_) => {
            StreamError::Broken(engine_error(error))
        }
        PortError::Limited(_) | PortError::Fenced(_) => StreamError::Final(engine_error(error)),
    }
}

/// The member of a chunk that names the model or adapter that served it.
#[derive(Deserialize)]
struct ChunkEcho<'a> {
    #[serde(borrow)]
    model: Option<std::borrow::Cow<'a, str>>,
}

/// Checks that a chunk names `target` as the model that served it, before the chunk is forwarded.
fn check_echo(target: &str, data: &Bytes) -> Result<(), Error> {
    let echo: ChunkEcho<'_> = serde_json::from_slice(data).map_err(|error| {
        Error::new(
            ErrorKind::EndpointFailed,
            format!("the engine sent a chunk that is not JSON: {error}"),
        )
    })?;
    match echo.model {
        Some(model) => check_identity(target, &model),
        None => Err(Error::new(
            ErrorKind::WrongAdapter,
            format!("requested {target}, but a chunk names no model"),
        )),
    }
}

fn check_identity(target: &str, served: &str) -> Result<(), Error> {
    if target == served {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::WrongAdapter,
        format!("requested {target}, but the engine served {served}"),
    ))
}

/// Returns the error that a caller gets for a failed call to an engine.
fn engine_error(error: PortError) -> Error {
    let message = error.to_string();
    match error {
        PortError::Unreachable(_) => Error::new(ErrorKind::EndpointUnreachable, message),
        PortError::Uncertain(_) => Error::new(ErrorKind::EndpointFailed, message),
        PortError::Refused(_) => Error::new(ErrorKind::EndpointFailed, message),
        PortError::Limited(delay) => {
            Error::new(ErrorKind::Overloaded, message).with_retry_after(delay)
        }
        PortError::Fenced(_) => Error::new(ErrorKind::Fenced, message),
    }
}

/// Cancels the request at the engine, so that its adapter can be unpinned.
async fn cancel(dispatch: &EngineDispatch) {
    let id = dispatch.request.id;
    for attempt in 1..=CANCEL_ATTEMPTS {
        let cancelled: PortResult<()> = timeout(CANCEL_TIMEOUT, dispatch.port.cancel(id))
            .await
            .unwrap_or_else(|_| Err(PortError::Uncertain("no answer".to_owned())));
        match cancelled {
            Ok(()) => return,
            Err(error) => log::warn!(
                "event=cancel_failed request={id} attempt={attempt} error={:?}",
                error.to_string()
            ),
        }
        sleep(CANCEL_TIMEOUT).await;
    }
}
