//! The HTTP calls that set the faults and read the counters of an HTTP stand-in.

use std::sync::Arc;

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The state of a stand-in, as the control calls read and change it.
pub trait ControlledState: Send + Sync + 'static {
    /// The faults of the stand-in, a struct that rejects unknown fields.
    type Faults: Serialize + DeserializeOwned + Send + 'static;
    /// The counters of the stand-in.
    type Counters: Serialize + Send + 'static;

    /// Replaces all faults.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns the current faults.
    fn faults(&self) -> Self::Faults;

    /// Returns the current counters.
    fn counters(&self) -> Self::Counters;
}

/// Returns the routes `/control/faults` and `/control/counters`.
pub fn control_router<S: ControlledState>(state: Arc<S>) -> Router {
    Router::new()
        .route(
            "/control/faults",
            post(replace_faults::<S>).get(show_faults::<S>),
        )
        .route("/control/counters", get(show_counters::<S>))
        .with_state(state)
}

async fn replace_faults<S: ControlledState>(
    State(state): State<Arc<S>>,
    Json(faults): Json<S::Faults>,
) -> StatusCode {
    state.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn show_faults<S: ControlledState>(State(state): State<Arc<S>>) -> Json<S::Faults> {
    Json(state.faults())
}

async fn show_counters<S: ControlledState>(State(state): State<Arc<S>>) -> Json<S::Counters> {
    Json(state.counters())
}
