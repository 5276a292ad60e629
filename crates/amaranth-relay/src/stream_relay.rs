//! Passing a stream of events on as it arrives, and going on at another engine when one breaks.

use std::sync::Arc;
use std::time::Duration;

use amaranth_dispatch::attempts::{AttemptHistory, NextStep, SendFailure};
use amaranth_dispatch::endpoint_table::EndpointOutcome;
use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::answer_body::{self, AnswerBody, AnswerBroken};
use crate::endpoint_choice::choose;
use crate::endpoint_pool::EndpointConnection;
use crate::endpoint_send::{FailedSend, OpenAnswer, send};
use crate::entry::EntryCore;
use crate::event_splitter::{EventRun, EventSplitter};
use crate::routed_call::{AnswerPosition, Call};
use crate::send_guard::{FirstEventPrediction, SendGuard};
use crate::silence_watch::{SilenceStep, SilenceWatch, next_look};

/// Time beyond a call's end for which events that are under way are still passed on.
const END_SLACK: Duration = Duration::from_millis(100);

/// An engine's stream.
#[derive(Debug)]
pub struct StreamSource {
    head: http::response::Parts,
    body: Incoming,
    splitter: EventSplitter,
    connection: EndpointConnection,
    guard: SendGuard,
    watch: SilenceWatch,
}

/// What came next of a stream.
enum StreamStep {
    Events(EventRun),
    Ended,
    Broken(SendFailure, String),
}

impl StreamStep {
    fn broken(reason: &str) -> Self {
        Self::Broken(SendFailure::Ambiguous, reason.to_owned())
    }
}

impl StreamSource {
    /// Takes the head of an answer that is a stream.
    pub fn open(answer: OpenAnswer) -> Self {
        let (head, body) = answer.response.into_parts();
        Self {
            head,
            body,
            splitter: EventSplitter::default(),
            connection: answer.connection,
            guard: answer.guard,
            watch: SilenceWatch::default(),
        }
    }

    /// Returns what comes next until a moment. A silent engine breaks the stream if `history` allows
    /// that the call leaves it.
    async fn next(
        &mut self,
        core: &EntryCore,
        call: &Call,
        history: Option<&AttemptHistory>,
        position: AnswerPosition,
        until: Instant,
    ) -> StreamStep {
        loop {
            let look = next_look(call, position).min(until);
            let frame = match timeout_at(look, self.body.frame()).await {
                Err(_) if Instant::now() >= until => {
                    return StreamStep::broken("the time for the call is over");
                }
                Err(_) => match self.watch.look(core, call, &self.guard, history, position) {
                    SilenceStep::Wait => continue,
                    SilenceStep::Move => {
                        return StreamStep::broken("the engine has fallen silent");
                    }
                    SilenceStep::GiveUp => {
                        let reason = "the engine stayed silent until the caller was about to leave";
                        return StreamStep::Broken(SendFailure::Abandoned, reason.to_owned());
                    }
                },
                Ok(None) if self.splitter.is_within_event() => {
                    return StreamStep::broken("the stream ended within an event");
                }
                Ok(None) => return StreamStep::Ended,
                Ok(Some(Err(error))) => return StreamStep::broken(&error.to_string()),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Ok(Some(run)) => {
                    self.guard.heard();
                    return StreamStep::Events(run);
                }
                Ok(None) => {}
                Err(error) => return StreamStep::broken(&error.to_string()),
            }
        }
    }
}

/// Waits for the first event and returns the answer whose body passes the stream on.
///
/// # Errors
///
/// Returns the failed send if the stream broke before its first event.
pub async fn begin(
    core: &Arc<EntryCore>,
    call: &Arc<Call>,
    mut source: StreamSource,
    history: &AttemptHistory,
) -> Result<Response<AnswerBody>, FailedSend> {
    let first = source
        .next(core, call, Some(history), call.start(), call.expires)
        .await;
    let (first, ended) = match first {
        StreamStep::Events(run) => (Some(run), false),
        StreamStep::Ended => (None, true),
        StreamStep::Broken(failure, reason) => {
            log::info!(
                "event=stream_broken id={} endpoint={} events=0 reason={reason:?}",
                call.head.id,
                source.guard.endpoint()
            );
            source.guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend {
                failure,
                answer: None,
            });
        }
    };
    source.guard.first_event_came();
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() = source.head.status;
    *response.headers_mut() = core.dialect.answer_headers(&source.head.headers);
    *response.extensions_mut() = source.head.extensions.clone();
    let prediction = source.guard.prediction();
    let mut relay = StreamRelay {
        core: Arc::clone(core),
        call: Arc::clone(call),
        source: Some(source),
        history: history.clone(),
        position: call.start(),
        events: 0,
        first_event: call.arrived.elapsed(),
        prediction,
        outcome: "caller-left",
    };
    metrics::histogram!("amaranth_first_event_seconds").record(relay.first_event.as_secs_f64());
    if ended {
        relay.end();
        return Ok(response);
    }
    let pending = first.map(|run| relay.note(run));
    let body = stream::unfold((relay, pending), |(mut relay, pending)| async move {
        let item = match pending {
            Some(bytes) => Some(Ok(bytes)),
            None => relay.next().await,
        };
        item.map(|item| (item.map(Frame::data), (relay, None)))
    });
    *response.body_mut() = answer_body::pieces(body);
    Ok(response)
}

/// Passes one call's stream on.
#[derive(Debug)]
struct StreamRelay {
    core: Arc<EntryCore>,
    call: Arc<Call>,
    source: Option<StreamSource>,
    history: AttemptHistory,
    position: AnswerPosition,
    events: u32,
    first_event: Duration,
    prediction: Option<FirstEventPrediction>,
    outcome: &'static str,
}

impl StreamRelay {
    async fn next(&mut self) -> Option<Result<Bytes, AnswerBroken>> {
        loop {
            let until = self.call.expires + END_SLACK;
            let history = self.position.last_event.map(|_| &self.history);
            let source = self.source.as_mut()?;
            match source
                .next(&self.core, &self.call, history, self.position, until)
                .await
            {
                StreamStep::Events(run) => return Some(Ok(self.note(run))),
                StreamStep::Ended => {
                    self.end();
                    return None;
                }
                StreamStep::Broken(failure, reason) => {
                    if let Err(broken) = self.go_on_elsewhere(failure, reason).await {
                        self.outcome = "broken";
                        return Some(Err(broken));
                    }
                }
            }
        }
    }

    fn note(&mut self, run: EventRun) -> Bytes {
        self.events += run.events;
        self.position = AnswerPosition {
            last_event: run.last_id.or(self.position.last_event),
            heard_at: Instant::now(),
        };
        run.bytes
    }

    fn end(&mut self) {
        self.outcome = "answered";
        if let Some(mut source) = self.source.take() {
            source.guard.conclude(EndpointOutcome::Succeeded);
            self.core.pool.give_back(source.connection);
        }
    }

    /// Has another engine produce the rest of a stream that broke.
    async fn go_on_elsewhere(
        &mut self,
        mut failure: SendFailure,
        reason: String,
    ) -> Result<(), AnswerBroken> {
        let Some(mut broken) = self.source.take() else {
            return Err(AnswerBroken(reason));
        };
        broken.guard.conclude(EndpointOutcome::Failed);
        let mut endpoint = broken.guard.endpoint().clone();
        drop(broken);
        log::info!(
            "event=stream_broken id={} endpoint={endpoint} events={} last_event={} reason={reason:?}",
            self.call.head.id,
            self.events,
            self.position.last_event.unwrap_or(0)
        );
        if !self.call.route.may_resume() || self.position.last_event.is_none() {
            return Err(AnswerBroken(reason));
        }
        loop {
            let step = self
                .call
                .after_failure(&self.core, &mut self.history, &endpoint, failure);
            if step != NextStep::SendAgain || Instant::now() >= self.call.expires {
                return Err(AnswerBroken(reason));
            }
            let chosen = choose(&self.core, &self.call, &self.history)
                .await
                .map_err(|refusal| AnswerBroken(format!("{reason}; {}", refusal.cause)))?;
            endpoint = chosen.guard.endpoint().clone();
            match send(&self.core, &self.call, chosen, &self.history, self.position).await {
                Ok(answer) if answer.facts.is_event_stream => {
                    let mut source = StreamSource::open(answer);
                    source.guard.first_event_came();
                    log::info!(
                        "event=stream_resumed id={} endpoint={endpoint} last_event={}",
                        self.call.head.id,
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
        metrics::histogram!("amaranth_call_seconds").record(took.as_secs_f64());
        log::info!(
            "event=call id={} route={} kind={} endpoint={} outcome={} adapter={} status=200 predicted_ms={} engine_ms={} first_ms={} took_ms={} events={} sends={} config={}",
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
                .map_or(0, |prediction| prediction.took.as_millis()),
            self.first_event.as_millis(),
            took.as_millis(),
            self.events,
            self.history.sends() + 1,
            self.call.config_version,
        );
    }
}
