//! One request on its engine: the checks before dispatch, the echo and the stream.

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

/// Times that a cancel order is sent before its engine is left to itself.
const CANCEL_ATTEMPTS: u32 = 3;

/// Time that one cancel order may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Times that a broken stream is resumed before its request is run again.
const RESUME_LIMIT: u32 = 2;

/// A request on its way to the engine.
pub struct EngineDispatch {
    /// The engine.
    pub port: Arc<dyn EnginePort>,
    /// The request.
    pub request: Arc<CompletionRequest>,
    /// Where the answer goes.
    pub slot: Arc<AnswerSlot>,
    /// What the engine held when it was last read.
    pub inventory: Option<Arc<EngineInventory>>,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Time without a chunk after which the stream is taken to be lost.
    pub stream_silence: Duration,
    /// The same for the first chunk.
    pub first_chunk_silence: Duration,
    /// The span that is passed on to the engine.
    pub trace: TraceContext,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The answer has its end.
    Settled,
    /// The engine broke off or does not hold the adapter. The request may be run again; if it is
    /// not, its answer ends with this error.
    Interrupted(Error),
}

/// Why a stream ended before its answer was whole.
enum StreamFault {
    /// The engine broke off, so that another run may yield the whole answer.
    Broken(Error),
    /// No other run would do better.
    Final(Error),
}

/// Runs a request on its engine and fills the answer's slot.
pub async fn run(mut dispatch: EngineDispatch) -> DispatchEnd {
    let mut span = HopSpan::start("agent.complete", dispatch.request.trace);
    span.set_attribute("endpoint", &dispatch.request.endpoint);
    span.set_attribute("target", &dispatch.request.target);
    dispatch.trace = span.context();
    if !holds(dispatch.inventory.as_deref(), &dispatch.request.target) {
        let target = &dispatch.request.target;
        let endpoint = &dispatch.request.endpoint;
        return DispatchEnd::Interrupted(Error::new(
            ErrorKind::LoadFailed,
            format!("endpoint {endpoint} does not hold {target}"),
        ));
    }
    let slot = &dispatch.slot;
    slot.rerun();
    let streamed = tokio::select! {
        streamed = stream(&dispatch) => streamed,
        () = slot.cancelled().cancelled() => Err(StreamFault::Final(Error::new(
            ErrorKind::Cancelled,
            "nobody waits for the answer",
        ))),
        () = sleep_until(dispatch.deadline) => Err(StreamFault::Final(Error::new(
            ErrorKind::DeadlineAfterStart,
            "the deadline passed while the engine generated",
        ))),
    };
    match streamed {
        Ok(()) => DispatchEnd::Settled,
        Err(StreamFault::Broken(error)) => {
            cancel(&dispatch).await;
            DispatchEnd::Interrupted(error)
        }
        Err(StreamFault::Final(error)) => {
            note_failure(&dispatch.request, &error);
            slot.fail(error);
            cancel(&dispatch).await;
            DispatchEnd::Settled
        }
    }
}

/// Logs and counts an answer that ends with an error after it was dispatched.
fn note_failure(request: &CompletionRequest, error: &Error) {
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

/// Returns whether the engine held the target when it was last read.
fn holds(inventory: Option<&EngineInventory>, target: &ModelTarget) -> bool {
    inventory.is_some_and(|inventory| match target {
        ModelTarget::Base(base) => inventory.bases.contains(base),
        ModelTarget::Adapter { adapter, .. } => inventory.adapters.contains(adapter),
    })
}

async fn stream(dispatch: &EngineDispatch) -> Result<(), StreamFault> {
    let request = &dispatch.request;
    let call = EngineCall {
        id: request.id,
        path: request.api.path(),
        body: engine_body(request).map_err(|error| StreamFault::Final(refusal(error)))?,
        priority: request.priority,
        trace: dispatch.trace,
    };
    let target = request.target.to_string();
    let started = dispatch.port.complete(call).await;
    let mut answer = started.map_err(start_fault)?;
    let mut next = 0;
    for attempt in 0.. {
        match pass_on(dispatch, &target, answer, &mut next).await {
            Err(StreamFault::Broken(error)) if attempt < RESUME_LIMIT => {
                // The engine may still run the request: then only the connection broke.
                answer = match dispatch.port.resume(request.id, next).await {
                    Ok(resumed) => resumed,
                    Err(_) => return Err(StreamFault::Broken(error)),
                };
            }
            ended => return ended,
        }
    }
    Ok(())
}

/// Checks and passes on what the engine sends, counting the chunks in `next`.
async fn pass_on(
    dispatch: &EngineDispatch,
    target: &str,
    mut answer: EngineAnswer,
    next: &mut u64,
) -> Result<(), StreamFault> {
    check_identity(target, &answer.served_model).map_err(StreamFault::Final)?;
    while let Some(event) = next_event(dispatch, &mut answer, *next).await? {
        let data = event.map_err(|error| {
            StreamFault::Broken(Error::new(ErrorKind::EndpointFailed, error.to_string()))
        })?;
        check_echo(target, &data).map_err(StreamFault::Final)?;
        dispatch.slot.push(data).await.map_err(StreamFault::Final)?;
        *next += 1;
    }
    dispatch.slot.complete().map_err(StreamFault::Final)
}

/// Waits for the next event. A stream that stays silent for too long is taken to be lost, since
/// something between agent and engine may have forgotten the connection.
async fn next_event(
    dispatch: &EngineDispatch,
    answer: &mut EngineAnswer,
    passed_on: u64,
) -> Result<Option<PortResult<Bytes>>, StreamFault> {
    let limit = match passed_on {
        0 => dispatch.first_chunk_silence,
        _ => dispatch.stream_silence,
    };
    timeout(limit, answer.events.next()).await.map_err(|_| {
        let message = format!("the engine was silent for {} ms", limit.as_millis());
        StreamFault::Broken(Error::new(ErrorKind::EndpointFailed, message))
    })
}

/// Returns what a completion that did not start means for its request.
fn start_fault(error: PortError) -> StreamFault {
    match error {
        // An engine that refuses may have lost the adapter since it was read.
        PortError::Refused(_) | PortError::Unreachable(_) | PortError::Uncertain(_) => {
            StreamFault::Broken(refusal(error))
        }
        PortError::Limited(_) | PortError::Fenced(_) => StreamFault::Final(refusal(error)),
    }
}

/// The member of a chunk that names what served it.
#[derive(Deserialize)]
struct ChunkEcho<'a> {
    #[serde(borrow)]
    model: Option<std::borrow::Cow<'a, str>>,
}

/// Checks the echo of one chunk before a byte of it is passed on.
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
            format!("asked for {target}, but a chunk names no model"),
        )),
    }
}

fn check_identity(target: &str, served: &str) -> Result<(), Error> {
    if target == served {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::WrongAdapter,
        format!("asked for {target}, but the engine served {served}"),
    ))
}

/// Returns the error that a caller gets for a failed call of an engine.
fn refusal(error: PortError) -> Error {
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

/// Stops the request at the engine, so that its adapter can be unpinned.
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
