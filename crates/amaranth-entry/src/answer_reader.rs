//! Reads one answer from the agents, over as many connections and endpoints as it takes.

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
use crate::endpoint_visit::EndpointVisit;
use crate::entry_state::EntryState;

/// Pause before a connection that was lost is replaced.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Where an answer comes from.
enum AnswerSource {
    /// This entry opens it at the endpoints that it chooses.
    Routed {
        request: Box<CompletionRequest>,
        excluded: SmallVec<[EndpointId; 2]>,
        visit: EndpointVisit,
    },
    /// It was opened through another entry or an earlier call.
    Attached,
}

/// Reads one answer. Dropping it before the end cancels the answer at its agent.
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
    /// Opens the answer to `request` at the endpoint of `visit`, the first choice.
    pub fn open(
        state: Arc<EntryState>,
        request: CompletionRequest,
        visit: EndpointVisit,
        deadline: Instant,
    ) -> Self {
        let id = request.id;
        Self {
            state,
            id,
            link: Arc::clone(visit.link()),
            source: AnswerSource::Routed {
                request: Box::new(request),
                excluded: SmallVec::new(),
                visit,
            },
            cursor: AnswerCursor::new(id, CursorLimits::default()),
            step: CursorStep::Open,
            deadline,
            opened: false,
            cancel_on_drop: true,
        }
    }

    /// Attaches to an answer that the agent behind `link` holds, from a sequence on.
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

    /// Returns the next chunks, or nothing when the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns the error with which the answer breaks off. No chunk comes after it.
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
                    self.choose_another(reason)?;
                    self.open_answer().await?
                }
            };
            if let CursorEvent::ConnectionLost(what) = &event {
                log::warn!(
                    "event=answer_interrupted request={} cause={what:?}",
                    self.id
                );
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
            self.note_outcome(&event);
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

    /// Tells the endpoint's breaker how the last step ended.
    fn note_outcome(&mut self, event: &CursorEvent) {
        let AnswerSource::Routed { visit, .. } = &mut self.source else {
            return;
        };
        match event {
            CursorEvent::Batch(batch) => match &batch.end {
                Some(AnswerEnd::Failed(error)) => visit.failed(error.kind),
                Some(AnswerEnd::Complete) | None => visit.answered(),
            },
            CursorEvent::Refused(error) => visit.failed(error.kind),
            CursorEvent::ConnectionLost(_) => visit.failed(ErrorKind::EndpointUnreachable),
        }
    }

    /// Turns to another endpoint, and stops what may still run at the last one.
    fn choose_another(&mut self, reason: Error) -> Result<()> {
        self.cancel();
        let AnswerSource::Routed {
            request,
            excluded,
            visit,
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
        let Ok((next, route_reason)) = self.state.directory.visit(&query) else {
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
        *visit = next;
        self.opened = false;
        Ok(())
    }

    fn time_left(&self) -> Result<Duration> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            return Ok(left);
        }
        let kind = if self.opened {
            ErrorKind::DeadlineAfterStart
        } else {
            ErrorKind::DeadlineBeforeStart
        };
        Err(Error::new(
            kind,
            format!("the deadline passed before answer {} was whole", self.id),
        ))
    }

    /// Tells the agent that nobody waits for the answer.
    fn cancel(&self) {
        // An attached reader leaves the answer to the one that opened it.
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
        Err(LinkError::NotSent(what) | LinkError::Lost(what)) => CursorEvent::ConnectionLost(what),
    }
}
