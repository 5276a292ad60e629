//! HTTP handlers of the engine's inventory, load report and cache events, and of its restart.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::state::{EngineInner, EngineState};
use crate::control::ControlledState;

/// Answers with the value that `read` returns, with the faults that every HTTP stand-in supports.
async fn report<T: Serialize>(
    state: &EngineState,
    read: impl FnOnce(&mut EngineInner) -> T,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.inject_before_call().await {
        return refusal;
    }
    let value = state.with_inner(read);
    faults.inject_before_answer().await;
    Json(value).into_response()
}

/// Handles `GET /inventory`.
pub async fn inventory(State(state): State<Arc<EngineState>>) -> Response {
    report(&state, |inner| inner.inventory()).await
}

/// Handles `GET /load`: returns the load report as it was `load_report_lag` ago.
pub async fn load(State(state): State<Arc<EngineState>>) -> Response {
    report(&state, |inner| {
        inner.load_report.get(inner.faults.load_report_lag)
    })
    .await
}

/// The query parameters for cache events.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CacheQuery {
    after: u64,
}

/// Handles `GET /cache_events`: returns cache events with the lag and the gaps of the faults.
pub async fn cache_events(
    State(state): State<Arc<EngineState>>,
    Query(query): Query<CacheQuery>,
) -> Response {
    report(&state, |inner| {
        let faults = inner.faults;
        inner
            .cache
            .events(query.after, faults.cache_event_lag, faults.cache_event_gap)
    })
    .await
}

/// Handles `POST /control/restart`.
pub async fn restart(State(state): State<Arc<EngineState>>) -> StatusCode {
    state.restart();
    StatusCode::NO_CONTENT
}
