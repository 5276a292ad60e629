//! The control calls that every stand-in answers.

use std::sync::Arc;

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What the control calls need of a stand-in's state.
pub trait ControlledState: Send + Sync + 'static {
    /// Its faults, a closed struct.
    type Faults: Serialize + DeserializeOwned + Send + 'static;
    /// Its counters.
    type Counters: Serialize + Send + 'static;

    /// Replaces all faults.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns the present faults.
    fn faults(&self) -> Self::Faults;

    /// Returns the present counters.
    fn counters(&self) -> Self::Counters;
}

/// Returns the routes below `/control`.
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
