//! Handler that fetches the answer to an earlier request by its id, through any entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_core::errors::{Result, RunState, not_found};
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_wire::agent::AnswerRead;
use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::Response;
use axum::response::IntoResponse;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::Deserialize;

use super::api_errors::{AnswerLabels, ApiError};
use super::completions::{OpenedAnswer, stream_answer};
use super::request_head::new_request_id;
use crate::agent_link::AgentLink;
use crate::answer_reader::AnswerReader;
use crate::entry_state::EntryState;

/// Query parameters of a fetch: the position at which the answer resumes.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct FetchQuery {
    /// The number of events that the caller has received.
    #[serde(default)]
    from: u64,
}

/// Answers `GET /v1/requests/{id}?from=N`.
pub async fn fetch(
    State(state): State<Arc<EntryState>>,
    Path(id): Path<String>,
    Query(query): Query<FetchQuery>,
) -> Response<Body> {
    let mut labels = AnswerLabels {
        request: new_request_id(),
        revision: state.catalogue.load().revision(),
    };
    let answered = attach(&state, &id, query, &mut labels).await;
    answered.unwrap_or_else(|error| ApiError { labels, error }.into_response())
}

async fn attach(
    state: &Arc<EntryState>,
    id: &str,
    query: FetchQuery,
    labels: &mut AnswerLabels,
) -> Result<Response<Body>> {
    let id: RequestId = id.parse()?;
    labels.request = id;
    let admitted = state.limiter.admit(state.settings.max_in_flight)?;
    let from = Sequence(query.from);
    let link = find_answer(state, id, from)
        .await
        .ok_or_else(|| not_found(format!("no agent has an answer to request {id}")))?;
    let deadline = Instant::now() + state.catalogue.load().limits().default_deadline;
    let reader = AnswerReader::attach(Arc::clone(state), id, link, from, deadline);
    let opened = OpenedAnswer::new(reader, admitted);
    stream_answer(opened, *labels, RunState::Run).await
}

/// Queries all agents for the answer and returns the link to the first one that has it.
async fn find_answer(
    state: &Arc<EntryState>,
    id: RequestId,
    from: Sequence,
) -> Option<Arc<AgentLink>> {
    let links = state.directory.links();
    let timeout = state.settings.peers.silence;
    let read = AnswerRead {
        id,
        from,
        wait: Duration::ZERO,
    };
    let mut reads: FuturesUnordered<_> = links
        .iter()
        .map(|link| async move {
            let reply = link.call(timeout, |client, context| async move {
                client.read_answer(context, read).await
            });
            reply.await.is_ok().then(|| Arc::clone(link))
        })
        .collect();
    while let Some(found) = reads.next().await {
        if found.is_some() {
            return found;
        }
    }
    None
}
