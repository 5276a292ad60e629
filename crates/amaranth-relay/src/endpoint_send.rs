//! Sending of a call to an endpoint, up to the head of its answer or the end of its body.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::attempts::{AttemptHistory, SendFailure};
use amaranth_dispatch::endpoint_table::EndpointOutcome;
use amaranth_dispatch::memory_budget::HoldPurpose;
use amaranth_dispatch::not_run_proof::{CallSend, NotRunProof};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::time::{Instant, timeout_at};

use crate::answer_classification::AnsweredSend;
use crate::call_codec::{AnswerMetadata, ForwardContext};
use crate::endpoint_body::{EndpointBody, is_delimited};
use crate::endpoint_pool::{EndpointConnection, SendError};
use crate::endpoint_selection::{SelectedEndpoint, may_get_calls};
use crate::entry::EntryCore;
use crate::entry_stop::stop_refusal;
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
    /// Creates a failed send without an error answer of the endpoint.
    pub const fn without_answer(failure: SendFailure) -> Self {
        Self {
            failure,
            answer: None,
        }
    }

    const fn not_run(proof: NotRunProof) -> Self {
        Self::without_answer(SendFailure::NotRun(proof))
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
    let unsent = CallSend::begin();
    if !prefill_turn::take_turn(core, call, &mut guard).await {
        return Err(FailedSend::not_run(unsent.abandon()));
    }
    let id = &call.head.id;
    let mut connection = match core.pool.connect_for(selected.address, id).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(
                "event=not_connected id={} endpoint={} error={error}",
                call.head.id,
                guard.endpoint()
            );
            guard.set_outcome(EndpointOutcome::Failed);
            return Err(FailedSend::not_run(unsent.abandon()));
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
    } else if position == call.start_position()
        && stop_refusal(core, || call.expected_call(core)).is_some()
    {
        Some("stopping")
    } else {
        None
    };
    if let Some(cause) = cause {
        log::info!(
            "event=not_sent id={} endpoint={} cause={cause}",
            call.head.id,
            guard.endpoint()
        );
        return Err(FailedSend::not_run(unsent.abandon()));
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
    let sent = unsent.hand_over(connection.carried().sends_of(id));
    connection.record_call(id);
    let sending = connection.send(request);
    let response = match wait_for_head(core, call, &guard, history, position, sending).await {
        HeadWait::Received(Ok(response)) => response,
        HeadWait::Received(Err(error)) => {
            log::info!(
                "event=connection_ended id={id} endpoint={} request={} parts={} error={error}",
                guard.endpoint(),
                call.digest,
                call.part_names()
            );
            return Err(match error {
                SendError::NotSent(request) => FailedSend::not_run(sent.take_back(request)),
                SendError::Ambiguous(_) => {
                    guard.set_outcome(EndpointOutcome::Failed);
                    guard.record_lost_connection();
                    FailedSend::without_answer(SendFailure::Ambiguous)
                }
            });
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
    let answered = AnsweredSend {
        sent,
        sent_at,
        connection,
        guard,
    };
    let mut answer = answered.classify(core, call, response).await?;
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

/// Reads the body of an answer to its end.
///
/// # Errors
///
/// Returns why the body could not be read whole.
pub async fn read_full_answer(
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
