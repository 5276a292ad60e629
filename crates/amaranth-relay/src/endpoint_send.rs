//! Sending a call to an endpoint, and telling a success from the failures.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::attempts::{AttemptHistory, SendFailure};
use amaranth_dispatch::endpoint_table::EndpointOutcome;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::dialect::{AnswerFacts, SendTerms};
use crate::endpoint_choice::{ChosenEndpoint, is_open};
use crate::endpoint_pool::{EndpointConnection, SendError};
use crate::entry::EntryCore;
use crate::routed_call::{AnswerPosition, Call};
use crate::send_guard::SendGuard;
use crate::silence_watch::{SilenceStep, SilenceWatch, next_look};

/// Largest body of an answer that is not a stream, in bytes.
const MAX_WHOLE_ANSWER: usize = 16 << 20;

/// Least time left for which a call is still sent.
pub const LEAST_TIME_LEFT: Duration = Duration::from_millis(20);

/// The head of an endpoint's answer that is a success.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// What the head says.
    pub facts: AnswerFacts,
    /// The connection that carries it.
    pub connection: EndpointConnection,
    /// The call's place at the endpoint.
    pub guard: SendGuard,
}

/// A failed send, with the endpoint's own failure if it made one.
#[derive(Debug)]
pub struct FailedSend {
    /// How it failed.
    pub failure: SendFailure,
    /// The endpoint's whole answer.
    pub answer: Option<Response<Bytes>>,
}

impl FailedSend {
    const fn plain(failure: SendFailure) -> Self {
        Self {
            failure,
            answer: None,
        }
    }
}

/// Sends a call to an endpoint and returns the head of a successful answer.
pub async fn send(
    core: &Arc<EntryCore>,
    call: &Call,
    chosen: ChosenEndpoint,
    history: &AttemptHistory,
    position: AnswerPosition,
) -> Result<OpenAnswer, FailedSend> {
    let mut guard = chosen.guard;
    let mut connection = match core.pool.connect(chosen.address).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(
                "event=not_connected id={} endpoint={} error={error}",
                call.head.id,
                guard.endpoint()
            );
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(SendFailure::NotSent));
        }
    };
    let late = call.time_left(core) < LEAST_TIME_LEFT;
    if late || !is_open(core, guard.endpoint()) {
        let cause = if late { "time-over" } else { "endpoint-leaves" };
        log::info!(
            "event=not_sent id={} endpoint={} cause={cause}",
            call.head.id,
            guard.endpoint()
        );
        return Err(FailedSend::plain(SendFailure::NotSent));
    }
    let request = write_request(
        core,
        call,
        guard.endpoint(),
        chosen.adapter_version,
        position.last_event,
    );
    guard.prompt_sent();
    let sending = connection.send(request);
    let response = match wait_for_head(core, call, &guard, history, position, sending).await {
        HeadWait::Came(Ok(response)) => response,
        HeadWait::Came(Err(error)) => {
            let failure = match error {
                SendError::NotConnected(_) | SendError::NotSent => SendFailure::NotSent,
                SendError::Ambiguous(_) => SendFailure::Ambiguous,
            };
            if failure == SendFailure::Ambiguous {
                guard.conclude(EndpointOutcome::Failed);
            }
            log::info!(
                "event=connection_ended id={} endpoint={} error={error}",
                call.head.id,
                guard.endpoint()
            );
            return Err(FailedSend::plain(failure));
        }
        HeadWait::Silent(failure) => {
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(failure));
        }
        HeadWait::TimeOver => {
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(SendFailure::Ambiguous));
        }
    };
    classify(core, call, response, connection, guard).await
}

/// What came of waiting for the head of an answer.
enum HeadWait {
    Came(Result<Response<Incoming>, SendError>),
    Silent(SendFailure),
    TimeOver,
}

async fn wait_for_head(
    core: &EntryCore,
    call: &Call,
    guard: &SendGuard,
    history: &AttemptHistory,
    position: AnswerPosition,
    sending: impl Future<Output = Result<Response<Incoming>, SendError>>,
) -> HeadWait {
    tokio::pin!(sending);
    let mut watch = SilenceWatch::default();
    loop {
        let look = next_look(call, position).min(call.expires);
        if let Ok(came) = timeout_at(look, sending.as_mut()).await {
            return HeadWait::Came(came);
        }
        if Instant::now() >= call.expires {
            return HeadWait::TimeOver;
        }
        match watch.look(core, call, guard, Some(history), position) {
            SilenceStep::Wait => {}
            SilenceStep::Move => return HeadWait::Silent(SendFailure::Ambiguous),
            SilenceStep::GiveUp => return HeadWait::Silent(SendFailure::Abandoned),
        }
    }
}

fn write_request(
    core: &EntryCore,
    call: &Call,
    endpoint: &EndpointId,
    adapter_version: Option<u64>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let terms = SendTerms {
        endpoint,
        time_left: call.time_left(core),
        priority: call.engine.as_ref().map(|_| call.route.priority),
        adapter_version,
        resume_after,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = core.dialect.forward_headers(&call.headers, terms);
    *request.extensions_mut() = call.extensions.clone();
    request
}

/// Tells a success from the failures by the head of an answer.
async fn classify(
    core: &EntryCore,
    call: &Call,
    response: Response<Incoming>,
    mut connection: EndpointConnection,
    mut guard: SendGuard,
) -> Result<OpenAnswer, FailedSend> {
    let (parts, body) = response.into_parts();
    let facts = core.dialect.read_answer(&parts);
    connection.note_keep_alive(facts.keep_alive);
    let other_call = facts
        .call_id
        .as_deref()
        .is_some_and(|id| id != call.head.id.as_str());
    if other_call || facts.is_encoded {
        log::warn!(
            "event=foreign_answer id={} endpoint={}",
            call.head.id,
            guard.endpoint()
        );
        guard.conclude(EndpointOutcome::Failed);
        return Err(FailedSend::plain(SendFailure::Ambiguous));
    }
    let response = Response::from_parts(parts, body);
    if response.status().is_success() {
        if !facts.authenticated {
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(SendFailure::Ambiguous));
        }
        return Ok(OpenAnswer {
            response,
            facts,
            connection,
            guard,
        });
    }
    let failure = match (facts.misdirected, facts.not_run) {
        (true, _) => SendFailure::Misdirected,
        (false, true) => SendFailure::NotRun,
        (false, false) => SendFailure::Failed,
    };
    if failure == SendFailure::Misdirected {
        note_misdirected(core, call, guard.endpoint(), &facts);
    }
    let status = response.status();
    let whole = read_whole(call, response).await;
    match &whole {
        Some(_) => core.pool.give_back(connection),
        None => drop(connection),
    }
    if failure == SendFailure::Failed {
        guard.conclude(EndpointOutcome::Failed);
        log::info!(
            "event=endpoint_failure id={} endpoint={} status={}",
            call.head.id,
            guard.endpoint(),
            status.as_u16()
        );
    }
    let answer = whole.filter(|_| facts.authenticated);
    let failure = match (failure, &answer) {
        (SendFailure::Failed, None) => SendFailure::Ambiguous,
        (failure, _) => failure,
    };
    Err(FailedSend { failure, answer })
}

/// Corrects what is believed of an endpoint that refused a call as misdirected: another one has
/// its address, or it lacks the adapter.
fn note_misdirected(core: &EntryCore, call: &Call, endpoint: &EndpointId, facts: &AnswerFacts) {
    let other = facts.answered_by.as_deref();
    if let Some(other) = other.filter(|other| *other != endpoint.as_str()) {
        let change = core.state().book.record_replaced(endpoint);
        log::info!("event=endpoint endpoint={endpoint} change={change} replaced_by={other}");
        return;
    }
    let Some(need) = &call.need else {
        return;
    };
    let Some(adapter) = &need.adapter else {
        return;
    };
    if let Some(state) = core.state().book.get_mut(endpoint) {
        state.record_missing(&need.model, adapter);
    }
}

async fn read_whole(call: &Call, response: Response<Incoming>) -> Option<Response<Bytes>> {
    let (parts, body) = response.into_parts();
    let collecting = Limited::new(body, MAX_WHOLE_ANSWER).collect();
    let collected = timeout_at(call.expires, collecting).await.ok()?.ok()?;
    Some(Response::from_parts(parts, collected.to_bytes()))
}

/// Reads a successful answer to its end.
pub async fn collect(
    core: &EntryCore,
    call: &Call,
    open: OpenAnswer,
) -> Result<Response<Bytes>, FailedSend> {
    let OpenAnswer {
        response,
        connection,
        mut guard,
        ..
    } = open;
    let Some(whole) = read_whole(call, response).await else {
        guard.conclude(EndpointOutcome::Failed);
        return Err(FailedSend::plain(SendFailure::Ambiguous));
    };
    guard.conclude(EndpointOutcome::Succeeded);
    core.pool.give_back(connection);
    Ok(whole)
}
