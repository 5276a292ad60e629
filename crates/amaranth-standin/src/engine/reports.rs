//! What an engine says of itself.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::state::{EngineBook, EngineState};
use crate::control::ControlledState;

/// Answers with what `read` returns, under the common faults.
async fn report<T: Serialize>(
    state: &EngineState,
    read: impl FnOnce(&mut EngineBook) -> T,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.before_acting().await {
        return refusal;
    }
    let value = state.with_book(read);
    faults.before_answering().await;
    Json(value).into_response()
}

/// Returns what the engine holds.
pub async fn inventory(State(state): State<Arc<EngineState>>) -> Response {
    report(&state, |book| book.inventory()).await
}

/// Returns the lagging load report.
pub async fn load(State(state): State<Arc<EngineState>>) -> Response {
    report(&state, |book| book.load.get(book.faults.load_report_lag)).await
}

/// The query for cache events.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CacheQuery {
    after: u64,
}

/// Returns late and gappy cache events.
pub async fn cache_events(
    State(state): State<Arc<EngineState>>,
    Query(query): Query<CacheQuery>,
) -> Response {
    report(&state, |book| {
        let faults = book.faults;
        book.cache
            .events(query.after, faults.cache_event_lag, faults.cache_event_gap)
    })
    .await
}

/// Restarts the engine empty.
pub async fn restart(State(state): State<Arc<EngineState>>) -> StatusCode {
    state.restart();
    StatusCode::NO_CONTENT
}
