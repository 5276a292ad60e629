//! Forwarding of a stream of events as it arrives, and its resumption at another engine on failure.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::SoftwareVersion;
use amaranth_dispatch::attempts::{AttemptHistory, NextStep, SendFailure};
use amaranth_dispatch::call::CallId;
use amaranth_dispatch::endpoint_table::EndpointOutcome;
use amaranth_dispatch::memory_budget::{HoldDecision, HoldPurpose};
use bytes::{Bytes, BytesMut};
use futures::stream;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};

use crate::answer_body::{self, AnswerBody, AnswerBroken};
use crate::caller_memory::{CallerMemory, MemoryLease};
use crate::endpoint_body::{EndpointBody, is_delimited};
use crate::endpoint_pool::EndpointConnection;
use crate::endpoint_selection::select;
use crate::endpoint_send::{FailedSend, OpenAnswer, send};
use crate::entry::EntryCore;
use crate::event_sequence::EventSequence;
use crate::event_splitter::{EventBatch, EventSplitter};
use crate::origin_exchange::OriginReceipt;
use crate::read_ahead::{AheadSource, ReadAhead};
use crate::routed_call::{AnswerPosition, RoutedCall};
use crate::send_guard::{FirstTokenPrediction, SendGuard};
use crate::silence_watch::{SilenceStep, SilenceWatch, next_poll};

/// Time after a call's deadline for which events in transit are still forwarded.
const END_SLACK: Duration = Duration::from_millis(100);

/// Time after a call's deadline after which a stream is ended that its caller does not read.
const EXPIRY_SLACK: Duration = Duration::from_millis(200);

/// Limit on the comments of a stream before its first event, in bytes.
const MAX_COMMENT_BYTES: usize = 64 << 10;

/// A stream of events from an engine.
#[derive(Debug)]
pub struct StreamSource {
    head: http::response::Parts,
    body: EndpointBody,
    splitter: EventSplitter,
    sequence: EventSequence,
    connection: EndpointConnection,
    guard: SendGuard,
    origin: Option<OriginReceipt>,
    watch: SilenceWatch,
    /// The memory for the beginning of an incomplete event.
    partial: MemoryLease,
}

/// The next item of a stream.
enum StreamStep {
    Events(EventBatch),
    Ended,
    Broken(SendFailure, String),
}

impl StreamStep {
    fn broken(reason: &str) -> Self {
        Self::Broken(SendFailure::Ambiguous, reason.to_owned())
    }
}

impl StreamSource {
    /// Creates the source from an answer that is a stream and goes on after event `last`, if there is
    /// one.
    pub fn new(answer: OpenAnswer, memory: &Arc<CallerMemory>, last: Option<u64>) -> Self {
        let (head, body) = answer.response.into_parts();
        Self {
            head,
            body,
            splitter: EventSplitter::default(),
            sequence: EventSequence::after(last),
            connection: answer.connection,
            guard: answer.guard,
            origin: answer.origin,
            watch: SilenceWatch::default(),
            partial: memory.lease(HoldPurpose::Answer),
        }
    }

    /// Returns whether the answer to a resumed stream states that its body is empty. An engine without
    /// further events ends the stream instead.
    fn has_no_events(&self) -> bool {
        self.sequence.is_resumed() && self.head.headers.contains_key(CONTENT_LENGTH)
    }

    /// Returns the first item of the stream that holds an event, with the comments before it.
    async fn first(
        &mut self,
        core: &EntryCore,
        call: &RoutedCall,
        history: &AttemptHistory,
    ) -> StreamStep {
        let position = call.start_position();
        let mut comments = BytesMut::new();
        loop {
            let step = self
                .next(core, call, Some(history), position, call.deadline)
                .await;
            let StreamStep::Events(mut batch) = step else {
                return step;
            };
            if !comments.is_empty() {
                comments.extend_from_slice(&batch.bytes);
                batch.bytes = comments.split().freeze();
            }
            if batch.events > 0 {
                return StreamStep::Events(batch);
            }
            if batch.bytes.len() > MAX_COMMENT_BYTES {
                return StreamStep::broken("the stream has only comments");
            }
            comments.extend_from_slice(&batch.bytes);
        }
    }

    /// Returns the next item of the stream, at the latest at `until`. Silence of the engine breaks
    /// the stream if `history` allows a retry at another engine.
    async fn next(
        &mut self,
        core: &EntryCore,
        call: &RoutedCall,
        history: Option<&AttemptHistory>,
        position: AnswerPosition,
        until: Instant,
    ) -> StreamStep {
        loop {
            let next_poll_at = next_poll(call, position).min(until);
            let frame = match timeout_at(next_poll_at, self.body.frame()).await {
                Err(_) if Instant::now() >= until => {
                    return StreamStep::broken("the deadline of the call has passed");
                }
                Err(_) => match self.watch.poll(core, call, &self.guard, history, position) {
                    SilenceStep::Wait => continue,
                    SilenceStep::RetryElsewhere => {
                        return StreamStep::broken("the engine is silent");
                    }
                    SilenceStep::Abandon => {
                        let reason = "the engine stayed silent until shortly before the deadline";
                        return StreamStep::Broken(SendFailure::Abandoned, reason.to_owned());
                    }
                },
                Ok(None) if self.splitter.is_within_event() => {
                    self.guard.record_lost_connection();
                    return StreamStep::broken("the stream ended within an event");
                }
                Ok(None) if !self.guard.has_event() && !is_delimited(&self.head.headers) => {
                    self.guard.record_lost_connection();
                    return StreamStep::broken("the stream ended before its first event");
                }
                Ok(None) if !self.guard.has_event() && self.has_no_events() => {
                    return StreamStep::broken("the resumed stream has no body");
                }
                Ok(None) => return StreamStep::Ended,
                Ok(Some(Err(error))) => {
                    self.guard.record_lost_connection();
                    return StreamStep::broken(&error.to_string());
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Ok(Some(batch)) => {
                    if let Err(error) = self.sequence.record(&batch) {
                        return StreamStep::broken(&error.to_string());
                    }
                    self.partial.shrink_to(self.splitter.pending_bytes());
                    if batch.events > 0 {
                        self.guard.record_events(batch.events);
                    }
                    return StreamStep::Events(batch);
                }
                Ok(None) => {
                    let missing = self.splitter.pending_bytes() - self.partial.bytes();
                    if self.partial.grow_by(missing, until).await != HoldDecision::Granted {
                        return StreamStep::broken("the memory for an event is spent");
                    }
                }
                Err(error) => return StreamStep::broken(&error.to_string()),
            }
        }
    }
}

/// Waits for the first event and returns an answer whose body forwards the stream.
///
/// # Errors
///
/// Returns the failed send if the stream broke before its first event.
pub async fn begin(
    core: &Arc<EntryCore>,
    call: &Arc<RoutedCall>,
    mut source: StreamSource,
    history: &AttemptHistory,
) -> Result<Response<AnswerBody>, FailedSend> {
    let first = source.first(core, call, history).await;
    let (first, ended) = match first {
        StreamStep::Events(batch) => (Some(batch), false),
        StreamStep::Ended => (None, true),
        StreamStep::Broken(failure, reason) => {
            log::info!(
                "event=stream_broken id={} endpoint={} events=0 request={} parts={} reason={reason:?}",
                call.head.id,
                source.guard.endpoint(),
                call.digest,
                call.part_names()
            );
            source.guard.set_outcome(EndpointOutcome::Failed);
            return Err(FailedSend {
                failure,
                answer: None,
            });
        }
    };
    source.guard.record_first_token();
    log_resumed_call(call, &source.guard);
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() = source.head.status;
    *response.headers_mut() = core.codec.answer_headers(&source.head.headers);
    *response.extensions_mut() = source.head.extensions.clone();
    let prediction = source.guard.prediction();
    let predicted_pause = source.guard.pauses().suffered;
    let software = source.guard.software().clone();
    if let Some(origin) = source.origin.take() {
        origin.confirmed().await;
    }
    let mut relay = StreamRelay {
        status: source.head.status,
        core: Arc::clone(core),
        call: Arc::clone(call),
        source: Some(source),
        history: history.clone(),
        position: call.start_position(),
        software,
        events: 0,
        first_event_delay: call.arrived.elapsed(),
        prediction,
        longest_pause: Duration::ZERO,
        predicted_pause,
        outcome: "caller-left",
    };
    metrics::histogram!("amaranth_first_event_seconds")
        .record(relay.first_event_delay.as_secs_f64());
    if ended {
        relay.complete();
        return Ok(response);
    }
    let pending = first.map(|batch| relay.record(batch));
    let lease = call.memory.lease(HoldPurpose::Stream);
    let ahead = ReadAhead::spawn(relay, pending, lease, call.deadline + EXPIRY_SLACK);
    let body = stream::unfold(ahead, |ahead| async move {
        let item = ahead.next().await?;
        Some((item.map(Frame::data), ahead))
    });
    *response.body_mut() = answer_body::streamed(body);
    Ok(response)
}

impl AheadSource for StreamRelay {
    async fn next(&mut self) -> Option<Result<Bytes, AnswerBroken>> {
        self.next_item().await
    }

    fn record_unread(&mut self) {
        self.outcome = "caller-stopped-reading";
    }
}

/// Logs that a call goes on with a stream that its caller received in part.
fn log_resumed_call(call: &RoutedCall, guard: &SendGuard) {
    let Some(last_event) = call.head.resume_after else {
        return;
    };
    let resumed = call.head.resumed_call.as_ref().map_or("-", CallId::as_str);
    log::info!(
        "event=stream_taken_up id={} resumes={resumed} endpoint={} software={} last_event={last_event}",
        call.head.id,
        guard.endpoint(),
        guard.software()
    );
}

/// Forwards the stream of one call and logs the outcome of the call when dropped.
#[derive(Debug)]
struct StreamRelay {
    core: Arc<EntryCore>,
    call: Arc<RoutedCall>,
    source: Option<StreamSource>,
    history: AttemptHistory,
    position: AnswerPosition,
    /// The status of the answer that began the stream.
    status: StatusCode,
    /// The version at which the stream began, which is that of each engine at which it goes on.
    software: SoftwareVersion,
    events: u32,
    first_event_delay: Duration,
    prediction: Option<FirstTokenPrediction>,
    longest_pause: Duration,
    predicted_pause: Duration,
    outcome: &'static str,
}

impl StreamRelay {
    async fn next_item(&mut self) -> Option<Result<Bytes, AnswerBroken>> {
        loop {
            let until = self.call.deadline + END_SLACK;
            let history = self.position.last_event.map(|_| &self.history);
            let source = self.source.as_mut()?;
            match source
                .next(&self.core, &self.call, history, self.position, until)
                .await
            {
                StreamStep::Events(batch) => return Some(Ok(self.record(batch))),
                StreamStep::Ended => {
                    self.complete();
                    return None;
                }
                StreamStep::Broken(failure, reason) => {
                    if let Err(broken) = self.resume_elsewhere(failure, reason).await {
                        self.outcome = "broken";
                        return Some(Err(broken));
                    }
                }
            }
        }
    }

    /// Returns whether an answer may hold the rest of the stream.
    fn goes_on_with(&self, answer: &OpenAnswer) -> bool {
        answer.metadata.is_event_stream && answer.response.status() == self.status
    }

    fn record(&mut self, batch: EventBatch) -> Bytes {
        if batch.events > 0 {
            if self.events > 0 {
                let pause = self.position.last_event_at.elapsed();
                self.longest_pause = self.longest_pause.max(pause);
            }
            self.events += batch.events;
            self.position = AnswerPosition {
                last_event: batch.last_id.or(self.position.last_event),
                last_event_at: Instant::now(),
            };
        }
        batch.bytes
    }

    fn complete(&mut self) {
        self.outcome = "answered";
        if let Some(mut source) = self.source.take() {
            source.guard.set_outcome(EndpointOutcome::Succeeded);
            if is_delimited(&source.head.headers) {
                source.guard.record_survival();
            }
            self.core.pool.release(source.connection);
        }
    }

    /// Resumes a broken stream at another engine.
    async fn resume_elsewhere(
        &mut self,
        mut failure: SendFailure,
        reason: String,
    ) -> Result<(), AnswerBroken> {
        let Some(mut broken) = self.source.take() else {
            return Err(AnswerBroken(reason));
        };
        broken.guard.set_outcome(EndpointOutcome::Failed);
        let mut endpoint = broken.guard.endpoint().clone();
        drop(broken);
        log::info!(
            "event=stream_broken id={} endpoint={endpoint} software={} events={} last_event={} request={} parts={} reason={reason:?}",
            self.call.head.id,
            self.software,
            self.events,
            self.position.last_event.unwrap_or(0),
            self.call.digest,
            self.call.part_names()
        );
        if !self.call.route.may_resume() || self.position.last_event.is_none() {
            return Err(AnswerBroken(reason));
        }
        loop {
            let step = self
                .call
                .record_failure(&self.core, &mut self.history, &endpoint, failure);
            if step != NextStep::SendAgain || Instant::now() >= self.call.deadline {
                return Err(AnswerBroken(reason));
            }
            let software = Some(&self.software);
            let selected = select(&self.core, &self.call, &self.history, software)
                .await
                .map_err(|refusal| AnswerBroken(format!("{reason}; {}", refusal.cause)))?;
            endpoint = selected.guard.endpoint().clone();
            match send(
                &self.core,
                &self.call,
                selected,
                &self.history,
                self.position,
            )
            .await
            {
                Ok(answer) if self.goes_on_with(&answer) => {
                    let last = self.position.last_event;
                    let mut source = StreamSource::new(answer, &self.call.memory, last);
                    source.guard.record_first_token();
                    log::info!(
                        "event=stream_resumed id={} endpoint={endpoint} software={} last_event={}",
                        self.call.head.id,
                        source.guard.software(),
                        self.position.last_event.unwrap_or(0)
                    );
                    metrics::counter!("amaranth_streams_resumed_total").increment(1);
                    self.source = Some(source);
                    return Ok(());
                }
                Ok(_) => failure = SendFailure::Ambiguous,
                Err(failed) => failure = failed.failure,
            }
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let took = self.call.arrived.elapsed();
        if self.outcome == "answered" {
            self.call.record_pace(&self.core);
        }
        metrics::histogram!("amaranth_call_seconds").record(took.as_secs_f64());
        metrics::histogram!("amaranth_stream_pause_seconds")
            .record(self.longest_pause.as_secs_f64());
        log::info!(
            "event=call id={} route={} kind={} endpoint={} outcome={} adapter={} status=200 predicted_ms={} engine_ms={} first_ms={} pause_ms={} predicted_pause_ms={} took_ms={} events={} sends={} config={}",
            self.call.head.id,
            self.call.route.name,
            self.call.route.kind,
            self.source
                .as_ref()
                .map_or("-", |source| source.guard.endpoint().as_str()),
            self.outcome,
            self.call.adapter_name(),
            self.prediction
                .map_or(0, |prediction| prediction.expected.as_millis()),
            self.prediction
                .map_or(0, |prediction| prediction.actual.as_millis()),
            self.first_event_delay.as_millis(),
            self.longest_pause.as_millis(),
            self.predicted_pause.as_millis(),
            took.as_millis(),
            self.events,
            self.history.sends() + 1,
            self.call.config_version,
        );
    }
}
