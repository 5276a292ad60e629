//! The HTTP API for callers.

pub mod api_errors;
pub mod completions;
pub mod models;
pub mod request_head;
pub mod requests;
pub mod services;
pub mod whole_answers;

use std::sync::Arc;

use axum::Router;
use axum::routing::{get, post};

use crate::entry_state::EntryState;

/// Returns the routes of the API.
pub fn routes(state: Arc<EntryState>) -> Router {
    Router::new()
        .route("/v1/completions", post(completions::complete))
        .route("/v1/chat/completions", post(completions::complete_chat))
        .route("/v1/models", get(models::list))
        .route("/v1/models/{*model}", get(models::show))
        .route("/v1/requests/{id}", get(requests::fetch))
        .fallback(services::call)
        .with_state(state)
}
