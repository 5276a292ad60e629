//! Reader of one answer, which reconnects to its agent and fails over to other endpoints as needed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_control::answer_cursor::{
    AnswerCursor, CursorEvent, CursorLimits, CursorStep, CursorUpdate, ForwardedChunks,
};
use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::ids::{EndpointId, RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerEnd, CompletionRequest};
use amaranth_placement::router::RouteQuery;
use amaranth_wire::agent::AnswerRead;
use smallvec::SmallVec;

use crate::agent_link::{AgentLink, LinkError};
use crate::endpoint_attempt::EndpointAttempt;
use crate::entry_state::EntryState;

/// Delay before a lost connection is replaced.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// The origin of an answer: opened by its reader, or only attached to.
enum AnswerSource {
    /// The reader opens the answer at the endpoints that it selects.
    Routed {
        request: Box<CompletionRequest>,
        excluded: SmallVec<[EndpointId; 2]>,
        attempt: EndpointAttempt,
    },
    /// The answer was opened through another entry or by an earlier request.
    Attached,
}

/// Reader of one answer. Dropping it before the end cancels the answer at its agent, unless the
/// reader was attached.
pub struct AnswerReader {
    state: Arc<EntryState>,
    id: RequestId,
    link: Arc<AgentLink>,
    source: AnswerSource,
    cursor: AnswerCursor,
    step: CursorStep,
    deadline: Instant,
    opened: bool,
    cancel_on_drop: bool,
}

impl AnswerReader {
    /// Creates a reader that opens the answer to `request` at the endpoint of `attempt` first.
    pub fn new(
        state: Arc<EntryState>,
        request: CompletionRequest,
        attempt: EndpointAttempt,
        deadline: Instant,
    ) -> Self {
        let id = request.id;
        Self {
            state,
            id,
            link: Arc::clone(attempt.link()),
            source: AnswerSource::Routed {
                request: Box::new(request),
                excluded: SmallVec::new(),
                attempt,
            },
            cursor: AnswerCursor::new(id, CursorLimits::default()),
            step: CursorStep::Open,
            deadline,
            opened: false,
            cancel_on_drop: true,
        }
    }

    /// Creates a reader of an answer that the agent behind `link` buffers, starting at sequence
    /// `from`.
    pub fn attach(
        state: Arc<EntryState>,
        id: RequestId,
        link: Arc<AgentLink>,
        from: Sequence,
        deadline: Instant,
    ) -> Self {
        Self {
            state,
            id,
            link,
            source: AnswerSource::Attached,
            cursor: AnswerCursor::attach(id, CursorLimits::default(), from),
            step: CursorStep::Read(from),
            deadline,
            opened: true,
            cancel_on_drop: false,
        }
    }

    /// Returns the next chunks, or `None` when the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns the error with which the answer fails. No chunk follows it.
    pub async fn next_chunks(&mut self) -> Result<Option<ForwardedChunks>> {
        loop {
            let event = match std::mem::replace(&mut self.step, CursorStep::Complete) {
                CursorStep::Complete => {
                    self.cancel_on_drop = false;
                    return Ok(None);
                }
                CursorStep::Fail(error) => return Err(error),
                CursorStep::Open => self.open_answer().await?,
                CursorStep::Read(from) => self.read_answer(from).await?,
                CursorStep::FailOver(reason) => {
                    self.fail_over(reason)?;
                    self.open_answer().await?
                }
            };
            if let CursorEvent::ConnectionLost(cause) = &event {
                log::warn!(
                    "event=answer_interrupted request={} cause={cause:?}",
                    self.id
                );
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
            self.record_outcome(&event);
            let CursorUpdate { chunks, step } = self.cursor.handle(event);
            self.step = step;
            if !chunks.is_empty() {
                return Ok(Some(chunks));
            }
        }
    }

    async fn open_answer(&mut self) -> Result<CursorEvent> {
        let time_left = self.time_left()?;
        let AnswerSource::Routed { request, .. } = &self.source else {
            return Err(amaranth_core::errors::internal(
                "an attached answer can't be opened",
            ));
        };
        let mut request = CompletionRequest::clone(request);
        request.time_left = time_left;
        let wait = self.state.settings.peers.heartbeat.min(time_left);
        let timeout = wait + self.state.settings.peers.silence;
        let reply = self
            .link
            .call(timeout, |client, context| async move {
                client.open_answer(context, request, wait).await
            })
            .await;
        self.opened |= !matches!(reply, Err(LinkError::NotSent(_)));
        Ok(cursor_event(reply))
    }

    async fn read_answer(&mut self, from: Sequence) -> Result<CursorEvent> {
        let wait = self.state.settings.peers.heartbeat.min(self.time_left()?);
        let timeout = wait + self.state.settings.peers.silence;
        let id = self.id;
        let read = AnswerRead { id, from, wait };
        let reply = self
            .link
            .call(timeout, |client, context| async move {
                client.read_answer(context, read).await
            })
            .await;
        Ok(cursor_event(reply))
    }

    /// Records the outcome of the last step, which the endpoint's breaker receives when the attempt
    /// ends.
    fn record_outcome(&mut self, event: &CursorEvent) {
        let AnswerSource::Routed { attempt, .. } = &mut self.source else {
            return;
        };
        match event {
            CursorEvent::Batch(batch) => match &batch.end {
                Some(AnswerEnd::Failed(error)) => attempt.record_failure(error.kind),
                Some(AnswerEnd::Complete) | None => attempt.record_answer(),
            },
            CursorEvent::Refused(error) => attempt.record_failure(error.kind),
            CursorEvent::ConnectionLost(_) => {
                attempt.record_failure(ErrorKind::EndpointUnreachable);
            }
        }
    }

    /// Cancels the answer at the current endpoint and selects another one, or returns `reason` if
    /// no retry or endpoint is left.
    fn fail_over(&mut self, reason: Error) -> Result<()> {
        self.cancel();
        let AnswerSource::Routed {
            request,
            excluded,
            attempt,
        } = &mut self.source
        else {
            return Err(reason);
        };
        if !self.state.retries.withdraw() {
            log::warn!("event=retry_budget_spent request={}", self.id);
            return Err(reason);
        }
        excluded.push(request.endpoint.clone());
        let query = RouteQuery {
            target: request.target.clone(),
            excluded: excluded.clone(),
        };
        let Ok((next, route_reason)) = self.state.directory.start_attempt(&query) else {
            return Err(reason);
        };
        self.state.decisions.record(format!(
            "event=answer_retried request={} from={} to={} reason={route_reason} cause={}",
            self.id,
            request.endpoint,
            next.endpoint(),
            reason.kind
        ));
        metrics::counter!("amaranth_entry_retries_total").increment(1);
        request.endpoint = next.endpoint().clone();
        self.link = Arc::clone(next.link());
        *attempt = next;
        self.opened = false;
        Ok(())
    }

    fn time_left(&self) -> Result<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            return Ok(remaining);
        }
        let kind = if self.opened {
            ErrorKind::DeadlineAfterStart
        } else {
            ErrorKind::DeadlineBeforeStart
        };
        Err(Error::new(
            kind,
            format!("the deadline passed before answer {} was complete", self.id),
        ))
    }

    /// Cancels the answer at its agent, if it may have been opened there.
    fn cancel(&self) {
        // An attached reader did not open the answer, so it does not cancel it.
        let AnswerSource::Routed { request, .. } = &self.source else {
            return;
        };
        if !self.opened {
            return;
        }
        let endpoint = request.endpoint.clone();
        let (link, id) = (Arc::clone(&self.link), self.id);
        let timeout = self.state.settings.peers.silence;
        self.state.traffic.spawn(async move {
            let cancelling = link.call(timeout, |client, context| async move {
                client.cancel_answer(context, id, endpoint).await
            });
            if let Err(error) = cancelling.await {
                log::debug!("event=cancel_failed request={id} error={error:?}");
            }
        });
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        if self.cancel_on_drop {
            log::info!("event=answer_cancelled request={}", self.id);
            self.cancel();
        }
    }
}

fn cursor_event(reply: std::result::Result<AnswerBatch, LinkError>) -> CursorEvent {
    match reply {
        Ok(batch) => CursorEvent::Batch(batch),
        Err(LinkError::Refused(error)) => CursorEvent::Refused(error),
        Err(LinkError::NotSent(cause) | LinkError::Lost(cause)) => {
            CursorEvent::ConnectionLost(cause)
        }
    }
}
