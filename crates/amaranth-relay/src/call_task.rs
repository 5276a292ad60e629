//! The handling of one call: read, route, send, answer.

use std::sync::Arc;

use amaranth_dispatch::attempts::{AttemptHistory, NextStep};
use amaranth_dispatch::call::{CallHead, CallProperty};
use amaranth_dispatch::memory_budget::{CallPhase, HoldPurpose, MEMORY_RETRY_AFTER};
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::answer_body::AnswerBody;
use crate::call_record::{CallRecord, refuse};
use crate::caller_memory::CallerMemory;
use crate::endpoint_selection::SelectedEndpoint;
use crate::endpoint_selection::{DEFAULT_RETRY_AFTER, UNCONFIGURED_RETRY_AFTER, select};
use crate::endpoint_send::{FailedSend, MIN_TIME_LEFT, collect, send};
use crate::entry::EntryCore;
use crate::entry_stop::{answers_due, before_send, expected_call, stop_refusal};
use crate::leased_read::{ReadFailure, ReadRules, read_request};
use crate::origin_exchange::required_software;
use crate::quota_exchange;
use crate::routed_call::{RoutedCall, request_digest};
use crate::stream_relay::{self, StreamSource};
use crate::team_access::{self, Caller};

/// Handles one call and returns its answer.
pub async fn answer(
    core: Arc<EntryCore>,
    memory: Arc<CallerMemory>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    metrics::counter!("amaranth_calls_total").increment(1);
    let (parts, body) = request.into_parts();
    let head = match core.codec.read_call(&parts) {
        Ok(head) => head,
        Err(problem) => {
            log::warn!("event=call_refused cause=bad-request problem={problem:?}");
            return refuse(&core, None, Refusal::new(RefusalCause::BadRequest));
        }
    };
    let call = match read_call(&core, memory, head, parts, body, arrived).await {
        Ok(call) => Arc::new(call),
        Err((head, refusal)) => {
            log::info!(
                "event=call_refused id={} host={} path={} cause={}",
                head.id,
                head.host,
                head.path,
                refusal.cause
            );
            return refuse(&core, Some(&head), refusal);
        }
    };
    core.state().retries.record_call(core.now(), &call.service);
    relay(core, call).await
}

/// Routes a call and reads its body within the size limit.
async fn read_call(
    core: &EntryCore,
    memory: Arc<CallerMemory>,
    head: CallHead,
    mut parts: http::request::Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<RoutedCall, (CallHead, Refusal)> {
    let Some(table) = core.table() else {
        return Err((
            head,
            Refusal::with_retry_after(RefusalCause::NoConfig, UNCONFIGURED_RETRY_AFTER),
        ));
    };
    let Some(route) = table.find(&head.host, &head.path).cloned() else {
        return Err((head, Refusal::new(RefusalCause::NoRoute)));
    };
    // A stream that is taken up goes to the service of the call that began it.
    let seed = head.resumed_call.as_ref().unwrap_or(&head.id);
    let Some(service) = route.service_for(seed.as_str()).cloned() else {
        return Err((head, Refusal::new(RefusalCause::NoRoute)));
    };
    let Caller { team, access } = match team_access::check(core, &table, &route, &mut parts.headers)
    {
        Ok(caller) => caller,
        Err(refusal) => return Err((head, refusal)),
    };
    let max_wait = head.max_wait.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + max_wait;
    let expected = || {
        let time_left = deadline.saturating_duration_since(Instant::now());
        expected_call(core, &head, &route, time_left)
    };
    if let Some(refusal) = stop_refusal(core, expected) {
        return Err((head, refusal));
    }
    let reading = read_body(&memory, body, table.limits().body_bytes, deadline);
    let body = match before_send(core, expected, reading).await {
        Ok(body) => body,
        Err(refusal) => return Err((head, refusal)),
    };
    let rule = table.service(&service);
    let engine = rule.and_then(|rule| rule.engine.clone());
    let max_calls = rule.map_or(u32::MAX, |rule| rule.max_calls());
    let need = head.generation.clone().map(Arc::new);
    let identity = access.identity(team.as_ref());
    let digest = request_digest(&head.host, &parts, &body, identity);
    let shared_parts = need.iter().flat_map(|need| need.shared_parts());
    let properties = shared_parts
        .map(CallProperty::Part)
        .chain([CallProperty::Request(digest)])
        .collect();
    Ok(RoutedCall {
        head,
        digest,
        properties,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        extensions: parts.extensions,
        body,
        memory,
        priority: team_access::priority(&table, team.as_ref(), &route),
        team,
        access,
        route,
        service,
        engine,
        max_calls,
        need,
        config_version: table.version(),
        arrived,
        deadline,
        boottime_deadline: core.now() + max_wait.saturating_sub(arrived.elapsed()),
    })
}

/// Reads the body of a call within the size limit and the call's deadline.
///
/// Memory for a body is taken before it is read, and taken back from callers that send too slowly when
/// others need it.
async fn read_body(
    memory: &Arc<CallerMemory>,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    memory.set_phase(CallPhase::Reading);
    let lease = memory.lease(HoldPurpose::Body);
    let rules = ReadRules {
        limit,
        until: deadline,
    };
    let reading = timeout_at(deadline, read_request(body, lease, rules));
    let read = tokio::select! {
        read = reading => read,
        () = memory.refused() => Ok(Err(ReadFailure::MemorySpent)),
    };
    memory.set_phase(CallPhase::Waiting);
    match read {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadFailure::TooLarge)) => Err(Refusal::new(RefusalCause::BodyTooLarge)),
        Ok(Err(ReadFailure::Broken)) => Err(Refusal::new(RefusalCause::BadRequest)),
        Ok(Err(ReadFailure::MemorySpent)) => Err(Refusal::with_retry_after(
            RefusalCause::MemorySpent,
            MEMORY_RETRY_AFTER,
        )),
        Err(_) => Err(Refusal::new(RefusalCause::BodyTimeout)),
    }
}

/// The end of one send of a call.
enum AttemptEnd {
    /// The beginning of a stream, whose events follow.
    Stream(Response<AnswerBody>),
    /// A whole answer.
    Whole(Response<Bytes>),
    /// No answer for the caller.
    Failed(FailedSend),
}

/// Sends a call to an endpoint, and reads its answer or the beginning of its stream.
async fn attempt(
    core: &Arc<EntryCore>,
    call: &Arc<RoutedCall>,
    selected: SelectedEndpoint,
    history: &AttemptHistory,
) -> AttemptEnd {
    let open = match send(core, call, selected, history, call.start_position()).await {
        Ok(open) => open,
        Err(failed) => return AttemptEnd::Failed(failed),
    };
    if open.metadata.is_event_stream {
        // An engine of another route sends the stream from its beginning.
        let last = call.head.resume_after.filter(|_| call.route.may_resume());
        let source = StreamSource::new(open, &call.memory, last);
        let begun = stream_relay::begin(core, call, source, history).await;
        return begun.map_or_else(AttemptEnd::Failed, AttemptEnd::Stream);
    }
    let collected = collect(core, call, open).await;
    collected.map_or_else(AttemptEnd::Failed, AttemptEnd::Whole)
}

/// Sends a call, with retries, until an endpoint answers or no further attempt is allowed.
async fn relay(core: Arc<EntryCore>, call: Arc<RoutedCall>) -> Response<AnswerBody> {
    let mut history = AttemptHistory::default();
    let mut record = CallRecord::new(&core, &call);
    let mut last_failure: Option<Response<Bytes>> = None;
    let expected = || call.expected_call(&core);
    let charging = quota_exchange::charge(&core, &call);
    let mut charge = match before_send(&core, expected, charging).await {
        Ok(charge) => charge,
        Err(refusal) => return record.refuse(refusal, &history, None),
    };
    let looking_up = required_software(&core, &call);
    let software = match before_send(&core, expected, looking_up).await {
        Ok(software) => software,
        Err(refusal) => return record.refuse(refusal, &history, None),
    };
    loop {
        let selecting = select(&core, &call, &history, software.as_ref());
        let selected = match before_send(&core, expected, selecting).await {
            Ok(selected) => selected,
            Err(refusal) => return record.refuse(refusal, &history, last_failure),
        };
        if let Err(refusal) = call.access.recheck(&core) {
            return record.refuse(refusal, &history, last_failure);
        }
        record.endpoint = Some(selected.guard.endpoint().clone());
        let endpoint = selected.guard.endpoint().clone();
        if let Some(charge) = &mut charge {
            charge.set_may_have_run(true);
        }
        let end = tokio::select! {
            biased;
            end = attempt(&core, &call, selected, &history) => end,
            () = answers_due(&core) => {
                let refusal = Refusal::new(RefusalCause::OutcomeUnknown);
                return record.refuse(refusal, &history, last_failure);
            }
        };
        let failed = match end {
            AttemptEnd::Stream(response) => {
                record.defer_to_stream();
                return response;
            }
            AttemptEnd::Whole(response) => return record.forward(response),
            AttemptEnd::Failed(failed) => failed,
        };
        log::info!(
            "event=send_failed id={} endpoint={endpoint} failure={} sends={}",
            call.head.id,
            failed.failure,
            history.sends() + 1
        );
        last_failure = failed.answer;
        let step = call.record_failure(&core, &mut history, &endpoint, failed.failure);
        if let Some(charge) = &mut charge {
            charge.set_may_have_run(history.may_have_run());
        }
        match step {
            NextStep::SendAgain if call.time_left(&core) > MIN_TIME_LEFT => {}
            NextStep::SendAgain => {
                let cause = expired_cause(&history);
                return record.refuse(Refusal::new(cause), &history, last_failure);
            }
            NextStep::Forward => match last_failure.take() {
                Some(response) => return record.forward(response),
                None => {
                    let refusal = Refusal::new(RefusalCause::OutcomeUnknown);
                    return record.refuse(refusal, &history, None);
                }
            },
            NextStep::Refuse(cause) => {
                let refusal = Refusal::with_retry_after(cause, DEFAULT_RETRY_AFTER);
                return record.refuse(refusal, &history, last_failure);
            }
        }
    }
}

const fn expired_cause(history: &AttemptHistory) -> RefusalCause {
    if history.may_have_run() {
        RefusalCause::TimedOut
    } else {
        RefusalCause::EndpointsRefused
    }
}
