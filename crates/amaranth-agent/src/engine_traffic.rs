//! One request on its engine: the checks before dispatch, the echo and the stream.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::request::{AnswerEnd, CompletionRequest, ModelTarget};
use amaranth_ports::engine::{EngineCall, EngineInventory, EnginePort, engine_body};
use amaranth_ports::{PortError, PortResult};
use bytes::Bytes;
use futures::StreamExt;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::answer_store::AnswerSlot;

/// Times that a cancel order is sent before its engine is left to itself.
const CANCEL_ATTEMPTS: u32 = 3;

/// Time that one cancel order may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

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
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The answer is whole.
    Complete,
    /// The answer broke off.
    Failed,
    /// The engine does not hold the adapter: nothing was sent.
    NotResident,
    /// Nobody waits for the answer.
    Cancelled,
}

/// Runs a request on its engine and fills the answer's slot.
pub async fn run(dispatch: EngineDispatch) -> DispatchEnd {
    let slot = dispatch.slot.clone();
    if !holds(dispatch.inventory.as_deref(), &dispatch.request.target) {
        let target = &dispatch.request.target;
        let endpoint = &dispatch.request.endpoint;
        slot.fail(Error::new(
            ErrorKind::LoadFailed,
            format!("endpoint {endpoint} does not hold {target}"),
        ));
        return DispatchEnd::NotResident;
    }
    let outcome = tokio::select! {
        outcome = stream(&dispatch) => outcome,
        () = slot.cancelled().cancelled() => Err(Error::new(
            ErrorKind::Cancelled,
            "nobody waits for the answer",
        )),
        () = sleep_until(dispatch.deadline) => Err(Error::new(
            ErrorKind::DeadlineAfterStart,
            "the deadline passed while the engine generated",
        )),
    };
    match outcome {
        Ok(()) => {
            slot.finish(AnswerEnd::Complete);
            DispatchEnd::Complete
        }
        Err(error) => {
            let cancelled = error.kind == ErrorKind::Cancelled;
            slot.fail(error);
            cancel(&dispatch).await;
            if cancelled {
                DispatchEnd::Cancelled
            } else {
                DispatchEnd::Failed
            }
        }
    }
}

/// Returns whether the engine held the target when it was last read.
fn holds(inventory: Option<&EngineInventory>, target: &ModelTarget) -> bool {
    inventory.is_some_and(|inventory| match target {
        ModelTarget::Base(base) => inventory.bases.contains(base),
        ModelTarget::Adapter { adapter, .. } => inventory.adapters.contains(adapter),
    })
}

async fn stream(dispatch: &EngineDispatch) -> Result<(), Error> {
    let request = &dispatch.request;
    let call = EngineCall {
        id: request.id,
        path: request.api.path(),
        body: engine_body(request).map_err(endpoint_error)?,
        priority: request.priority,
        trace: request.trace,
    };
    let target = request.target.to_string();
    let mut answer = dispatch.port.complete(call).await.map_err(endpoint_error)?;
    check_identity(&target, &answer.served_model)?;
    while let Some(event) = answer.events.next().await {
        let data = event.map_err(endpoint_error)?;
        check_echo(&target, &data)?;
        dispatch.slot.push(data).await;
    }
    Ok(())
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
fn endpoint_error(error: PortError) -> Error {
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
