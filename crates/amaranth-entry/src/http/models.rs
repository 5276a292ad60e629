//! Handlers of the list of models that callers may name.

use std::collections::BTreeSet;
use std::sync::Arc;

use amaranth_config::catalogue::Catalogue;
use amaranth_core::errors::Error;
use amaranth_core::ids::CallerId;
use axum::Json;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::Response;
use axum::response::IntoResponse;
use serde::Serialize;

use super::api_errors::{AnswerLabels, ApiError};
use super::request_head::new_request_id;
use crate::entry_state::EntryState;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelObject>,
}

#[derive(Serialize)]
struct ModelObject {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl ModelObject {
    fn new(id: String) -> Self {
        Self {
            id,
            object: "model",
            created: 0,
            owned_by: "amaranthfield",
        }
    }
}

/// Answers `GET /v1/models`.
pub async fn list(State(state): State<Arc<EntryState>>) -> Response<Body> {
    let list = ModelList {
        object: "list",
        data: model_names(&state.catalogue.load())
            .into_iter()
            .map(ModelObject::new)
            .collect(),
    };
    Json(list).into_response()
}

/// Returns the names of base models, of adapters and of the models of rules, sorted.
fn model_names(catalogue: &Catalogue) -> BTreeSet<String> {
    let bases = catalogue.models().map(|model| model.name.to_string());
    let adapters = catalogue.adapters().map(|adapter| adapter.name.to_string());
    let rule_models = catalogue.rules().map(|rule| rule.model.to_string());
    bases.chain(adapters).chain(rule_models).collect()
}

/// Answers `GET /v1/models/{model}`.
pub async fn show(
    State(state): State<Arc<EntryState>>,
    Path(model): Path<String>,
) -> Response<Body> {
    let anonymous: CallerId = "anonymous"
        .parse()
        .expect("`anonymous` is a valid caller id");
    match state.catalogue.load().resolve_model(&model, &anonymous) {
        Ok(_) => Json(ModelObject::new(model)).into_response(),
        Err(error) => refuse(&state, error),
    }
}

fn refuse(state: &EntryState, error: Error) -> Response<Body> {
    let labels = AnswerLabels {
        request: new_request_id(),
        revision: state.catalogue.load().revision(),
    };
    ApiError { labels, error }.into_response()
}
