//! Sending of a call to an endpoint, and classification of the answer as success or failure.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::attempts::{AttemptHistory, SendFailure};
use amaranth_dispatch::endpoint_table::{EndpointChange, EndpointOutcome};
use amaranth_dispatch::memory_budget::HoldPurpose;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::time::{Instant, timeout_at};

use crate::call_codec::{AnswerMetadata, ForwardContext};
use crate::endpoint_body::{EndpointBody, is_delimited};
use crate::endpoint_pool::{EndpointConnection, SendError};
use crate::endpoint_selection::{SelectedEndpoint, may_get_calls};
use crate::entry::EntryCore;
use crate::leased_read::{ReadFailure, ReadRules, read_answer};
use crate::origin_exchange::{OriginReceipt, record_origin};
use crate::prefill_turn;
use crate::routed_call::{AnswerPosition, RoutedCall};
use crate::send_guard::SendGuard;
use crate::silence_watch::{SilenceStep, SilenceWatch, next_poll};

/// Limit on the body of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Minimum time left for which a call is still sent.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// A successful answer of an endpoint whose body is not read yet.
#[derive(Debug)]
pub struct OpenAnswer {
    /// The status, the headers and the unread body.
    pub response: Response<EndpointBody>,
    /// Information from the head of the answer.
    pub metadata: AnswerMetadata,
    /// The connection that carries the answer.
    pub connection: EndpointConnection,
    /// The guard that counts the call at the endpoint.
    pub guard: SendGuard,
    /// The receipt for the origin of the stream, if the call begins one that may be resumed.
    pub origin: Option<OriginReceipt>,
}

/// A failed attempt, with the endpoint's own error answer if there is one.
#[derive(Debug)]
pub struct FailedSend {
    /// The kind of failure.
    pub failure: SendFailure,
    /// The endpoint's complete error answer.
    pub answer: Option<Response<Bytes>>,
}

impl FailedSend {
    const fn without_answer(failure: SendFailure) -> Self {
        Self {
            failure,
            answer: None,
        }
    }
}

/// Sends a call to an endpoint and returns a successful answer once its head has arrived.
pub async fn send(
    core: &Arc<EntryCore>,
    call: &RoutedCall,
    selected: SelectedEndpoint,
    history: &AttemptHistory,
    position: AnswerPosition,
) -> Result<OpenAnswer, FailedSend> {
    let mut guard = selected.guard;
    if !prefill_turn::take_turn(core, call, &mut guard).await {
        return Err(FailedSend::without_answer(SendFailure::NotSent));
    }
    let mut connection = match core.pool.connect(selected.address).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(
                "event=not_connected id={} endpoint={} error={error}",
                call.head.id,
                guard.endpoint()
            );
            guard.set_outcome(EndpointOutcome::Failed);
            return Err(FailedSend::without_answer(SendFailure::NotSent));
        }
    };
    let cause = if call.time_left(core) < MIN_TIME_LEFT {
        Some("time-over")
    } else if call.quarantine_left(core).is_some() {
        Some("quarantined")
    } else if !may_get_calls(core, guard.endpoint()) {
        Some("endpoint-left-alone")
    } else if guard.has_other_software() {
        Some("endpoint-restarted")
    } else {
        None
    };
    if let Some(cause) = cause {
        log::info!(
            "event=not_sent id={} endpoint={} cause={cause}",
            call.head.id,
            guard.endpoint()
        );
        return Err(FailedSend::without_answer(SendFailure::NotSent));
    }
    let request = write_request(
        core,
        call,
        guard.endpoint(),
        selected.adapter_version,
        position.last_event,
    );
    guard.record_prompt_sent();
    let origin = call.route.may_resume().then(|| {
        let software = guard.software();
        record_origin(core, &call.head.id, software, history.sends())
    });
    let sent_at = core.now();
    connection.record_call(&call.head.id);
    let sending = connection.send(request);
    let response = match wait_for_head(core, call, &guard, history, position, sending).await {
        HeadWait::Received(Ok(response)) => response,
        HeadWait::Received(Err(error)) => {
            let failure = match error {
                SendError::NotConnected(_) | SendError::NotSent => SendFailure::NotSent,
                SendError::Ambiguous(_) => SendFailure::Ambiguous,
            };
            if failure == SendFailure::Ambiguous {
                guard.set_outcome(EndpointOutcome::Failed);
                guard.record_lost_connection();
            }
            log::info!(
                "event=connection_ended id={} endpoint={} request={} parts={} error={error}",
                call.head.id,
                guard.endpoint(),
                call.digest,
                call.part_names()
            );
            return Err(FailedSend::without_answer(failure));
        }
        HeadWait::Silent(failure) => {
            guard.set_outcome(EndpointOutcome::Failed);
            return Err(FailedSend::without_answer(failure));
        }
        HeadWait::TimedOut => {
            guard.set_outcome(EndpointOutcome::Failed);
            return Err(FailedSend::without_answer(SendFailure::Ambiguous));
        }
    };
    let mut answer = classify(core, call, response, connection, guard, sent_at).await?;
    answer.origin = origin;
    Ok(answer)
}

/// The result of waiting for the head of an answer.
enum HeadWait {
    Received(Result<Response<EndpointBody>, SendError>),
    Silent(SendFailure),
    TimedOut,
}

async fn wait_for_head(
    core: &EntryCore,
    call: &RoutedCall,
    guard: &SendGuard,
    history: &AttemptHistory,
    position: AnswerPosition,
    sending: impl Future<Output = Result<Response<EndpointBody>, SendError>>,
) -> HeadWait {
    tokio::pin!(sending);
    let mut watch = SilenceWatch::default();
    loop {
        let next_poll_at = next_poll(call, position).min(call.deadline);
        if let Ok(received) = timeout_at(next_poll_at, sending.as_mut()).await {
            return HeadWait::Received(received);
        }
        if Instant::now() >= call.deadline {
            return HeadWait::TimedOut;
        }
        match watch.poll(core, call, guard, Some(history), position) {
            SilenceStep::Wait => {}
            SilenceStep::RetryElsewhere => return HeadWait::Silent(SendFailure::Ambiguous),
            SilenceStep::Abandon => return HeadWait::Silent(SendFailure::Abandoned),
        }
    }
}

fn write_request(
    core: &EntryCore,
    call: &RoutedCall,
    endpoint: &EndpointId,
    adapter_version: Option<u64>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let context = ForwardContext {
        endpoint,
        time_left: call.time_left(core),
        priority: call.engine.as_ref().map(|_| call.priority),
        adapter_version,
        resume_after,
        team: call.team.as_ref(),
        removes_credentials: call.access.removes_credentials(),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = core.codec.forward_headers(&call.headers, context);
    *request.extensions_mut() = call.extensions.clone();
    request
}

/// Classifies an answer as a success or a failure by its head.
async fn classify(
    core: &EntryCore,
    call: &RoutedCall,
    response: Response<EndpointBody>,
    mut connection: EndpointConnection,
    mut guard: SendGuard,
    sent_at: Timestamp,
) -> Result<OpenAnswer, FailedSend> {
    let (parts, body) = response.into_parts();
    let metadata = core.codec.read_answer(&parts);
    connection.record_keep_alive(metadata.keep_alive);
    record_wishes(core, guard.endpoint(), &metadata);
    let is_other_call = metadata
        .call_id
        .as_deref()
        .is_some_and(|id| id != call.head.id.as_str());
    if is_other_call || metadata.is_encoded {
        log::warn!(
            "event=foreign_answer id={} endpoint={} status={} connection={} connection_sends={}",
            call.head.id,
            guard.endpoint(),
            parts.status.as_u16(),
            connection.number(),
            connection.carried().sends()
        );
        guard.set_outcome(EndpointOutcome::Failed);
        return Err(FailedSend::without_answer(SendFailure::Ambiguous));
    }
    record_limit(core, guard.endpoint(), &metadata, sent_at);
    let response = Response::from_parts(parts, body);
    if response.status().is_success() {
        if !metadata.authenticated {
            guard.set_outcome(EndpointOutcome::Failed);
            return Err(FailedSend::without_answer(SendFailure::Ambiguous));
        }
        return Ok(OpenAnswer {
            response,
            metadata,
            connection,
            guard,
            origin: None,
        });
    }
    let failure = match (metadata.misdirected, metadata.not_run) {
        (true, _) => SendFailure::Misdirected,
        (false, true) => SendFailure::NotRun,
        (false, false) => SendFailure::Failed,
    };
    if failure == SendFailure::Misdirected {
        record_misdirected(core, call, guard.endpoint(), &metadata);
    }
    let status = response.status();
    let full_answer = read_full_answer(call, response).await.ok();
    log_failure(
        call,
        &connection,
        &guard,
        FailureLine {
            status,
            metadata: &metadata,
            is_complete: full_answer.is_some(),
        },
    );
    match &full_answer {
        Some(_) => core.pool.release(connection),
        None => drop(connection),
    }
    if failure == SendFailure::Failed {
        guard.set_outcome(EndpointOutcome::Failed);
    }
    let answer = full_answer.filter(|_| metadata.authenticated);
    let failure = match (failure, &answer) {
        (SendFailure::Failed, None) => SendFailure::Ambiguous,
        (failure, _) => failure,
    };
    Err(FailedSend { failure, answer })
}

/// What the log tells of an answer that is not a success.
struct FailureLine<'a> {
    status: StatusCode,
    metadata: &'a AnswerMetadata,
    is_complete: bool,
}

/// Logs an answer that is not a success, with what ties it to the call.
fn log_failure(
    call: &RoutedCall,
    connection: &EndpointConnection,
    guard: &SendGuard,
    line: FailureLine<'_>,
) {
    let FailureLine {
        status,
        metadata,
        is_complete,
    } = line;
    let event = if metadata.not_run || metadata.misdirected {
        "endpoint_refusal"
    } else {
        "endpoint_failure"
    };
    log::info!(
        "event={event} id={} endpoint={} status={} stated_not_run={} authenticated={} names_call={} complete={is_complete} connection={} connection_sends={} call_sends={}",
        call.head.id,
        guard.endpoint(),
        status.as_u16(),
        metadata.not_run,
        metadata.authenticated,
        metadata.call_id.is_some(),
        connection.number(),
        connection.carried().sends(),
        connection.carried().sends_of(&call.head.id)
    );
}

/// Records what an endpoint states about itself in the head of any answer: that it is leaving, or
/// that it wants a pause.
fn record_wishes(core: &EntryCore, endpoint: &EndpointId, metadata: &AnswerMetadata) {
    let answered_by = metadata.answered_by.as_deref();
    if answered_by.is_some_and(|other| other != endpoint.as_str()) {
        return;
    }
    let now = core.now();
    let mut state = core.state();
    if metadata.is_leaving {
        let change = state.endpoints.record_leaving(endpoint);
        if change == EndpointChange::Draining {
            log::info!("event=endpoint endpoint={endpoint} change={change} source=answer");
        }
    }
    if let Some(pause) = metadata.pause {
        state.endpoints.record_pause(now, endpoint, pause);
        log::info!(
            "event=endpoint_paused endpoint={endpoint} pause_ms={}",
            pause.as_millis()
        );
    }
}

/// Records the limit that an endpoint states in the head of an answer, or that it states none any
/// more, which only an authenticated answer shows.
fn record_limit(
    core: &EntryCore,
    endpoint: &EndpointId,
    metadata: &AnswerMetadata,
    sent_at: Timestamp,
) {
    if metadata.misdirected || (metadata.limit.is_none() && !metadata.authenticated) {
        return;
    }
    let now = core.now();
    let mut state = core.state();
    let has_changed = state
        .endpoints
        .record_limit(now, endpoint, sent_at, metadata.limit);
    drop(state);
    if has_changed {
        let limit = metadata.limit.map(|limit| limit.to_string());
        log::info!(
            "event=endpoint_limit endpoint={endpoint} limit={}",
            limit.as_deref().unwrap_or("none")
        );
    }
}

/// Corrects the table after an endpoint refused a call as misdirected: another endpoint has its
/// address, or the endpoint lacks the adapter.
fn record_misdirected(
    core: &EntryCore,
    call: &RoutedCall,
    endpoint: &EndpointId,
    metadata: &AnswerMetadata,
) {
    let other = metadata.answered_by.as_deref();
    if let Some(other) = other.filter(|other| *other != endpoint.as_str()) {
        let change = core.state().endpoints.record_replaced(endpoint);
        log::info!("event=endpoint endpoint={endpoint} change={change} replaced_by={other}");
        return;
    }
    let Some(need) = &call.need else {
        return;
    };
    let Some(adapter) = &need.adapter else {
        return;
    };
    if let Some(state) = core.state().endpoints.get_mut(endpoint) {
        state.record_missing(&need.model, adapter);
    }
}

async fn read_full_answer(
    call: &RoutedCall,
    response: Response<EndpointBody>,
) -> Result<Response<Bytes>, ReadFailure> {
    let (parts, body) = response.into_parts();
    let rules = ReadRules {
        limit: MAX_ANSWER_BYTES,
        until: call.deadline,
    };
    let reading = read_answer(body, call.memory.lease(HoldPurpose::Answer), rules);
    let bytes = timeout_at(call.deadline, reading)
        .await
        .unwrap_or(Err(ReadFailure::Broken))?;
    Ok(Response::from_parts(parts, bytes))
}

/// Reads the body of a successful answer to its end.
pub async fn collect(
    core: &EntryCore,
    call: &RoutedCall,
    open: OpenAnswer,
) -> Result<Response<Bytes>, FailedSend> {
    let OpenAnswer {
        response,
        connection,
        mut guard,
        ..
    } = open;
    let full_answer = match read_full_answer(call, response).await {
        Ok(full_answer) => full_answer,
        // The endpoint is not at fault.
        Err(ReadFailure::MemorySpent) => {
            return Err(FailedSend::without_answer(SendFailure::Ambiguous));
        }
        Err(ReadFailure::TooLarge | ReadFailure::Broken) => {
            guard.set_outcome(EndpointOutcome::Failed);
            if Instant::now() < call.deadline {
                guard.record_lost_connection();
            }
            return Err(FailedSend::without_answer(SendFailure::Ambiguous));
        }
    };
    guard.set_outcome(EndpointOutcome::Succeeded);
    if is_delimited(full_answer.headers()) {
        guard.record_survival();
    }
    core.pool.release(connection);
    Ok(full_answer)
}
