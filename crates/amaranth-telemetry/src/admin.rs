//! The HTTP server of a program's health and metrics pages.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::metrics::MetricsHandle;

/// The readiness of a program, shared between the program and its admin server.
#[derive(Debug, Clone, Default)]
pub struct ReadyFlag {
    ready: Arc<AtomicBool>,
}

impl ReadyFlag {
    /// Sets whether the program is ready.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Returns whether the program is ready.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// The state of the request handlers.
#[derive(Debug, Clone)]
struct AdminState {
    metrics: MetricsHandle,
    ready: ReadyFlag,
}

/// A handle of the running admin server. Dropping the handle stops the server.
#[derive(Debug)]
pub struct AdminHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl AdminHandle {
    /// Returns the address that the server is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `/metrics`, `/healthz` and `/readyz` on `address`.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    metrics: MetricsHandle,
    ready: ReadyFlag,
) -> io::Result<AdminHandle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route("/metrics", get(show_metrics))
        .route("/healthz", get(show_health))
        .route("/readyz", get(show_readiness))
        .with_state(AdminState { metrics, ready });
    let task = tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!("event=admin_ended error={error:?}");
        }
    });
    Ok(AdminHandle { address, task })
}

async fn show_metrics(State(state): State<AdminState>) -> String {
    state.metrics.render()
}

async fn show_health() -> &'static str {
    "ok\n"
}

async fn show_readiness(State(state): State<AdminState>) -> (StatusCode, &'static str) {
    if state.ready.get() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
