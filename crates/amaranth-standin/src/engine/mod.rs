//! A stand-in for a model engine with continuous batching.

pub mod answer_text;
mod batch;
mod cache;
mod completions;
mod options;
mod orders;
mod reports;
mod state;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_core::ids::AdapterRef;
use amaranth_ports::engine::EngineInventory;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{delete, get, post};
use tokio::task::JoinHandle;

use crate::control::{ControlledState, control_router};
use crate::server::StandinServer;

pub use options::{EngineCounters, EngineFaults, EngineOptions, StreamFaults};
use state::EngineState;

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A running stand-in for an engine.
#[derive(Debug)]
pub struct EngineStandin {
    server: StandinServer,
    state: Arc<EngineState>,
    batch_task: JoinHandle<()>,
}

impl EngineStandin {
    /// Spawns an engine with its base models and without adapters.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: EngineOptions) -> io::Result<Self> {
        let listen = options.listen;
        let state = Arc::new(EngineState::new(options));
        let server = StandinServer::bind(listen, engine_router(&state)).await?;
        let batch_task = tokio::spawn(batch::run(Arc::clone(&state)));
        Ok(Self {
            server,
            state,
            batch_task,
        })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> EngineCounters {
        self.state.counters()
    }

    /// Returns the models, adapters and capacity of the engine.
    pub fn inventory(&self) -> EngineInventory {
        self.state.with_inner(|inner| inner.inventory())
    }

    /// Returns whether `adapter` is resident.
    pub fn is_resident(&self, adapter: &AdapterRef) -> bool {
        self.state
            .with_inner(|inner| inner.adapters.contains(adapter))
    }

    /// Restarts the engine with a new incarnation and without adapters, and aborts every stream.
    pub fn restart(&self) {
        self.state.restart();
    }

    /// Closes the listener and every connection immediately, and stops generating.
    pub fn kill(&self) {
        self.server.kill();
        self.batch_task.abort();
    }

    /// Stops accepting calls and returns when those in flight have ended.
    pub async fn drain(mut self) {
        self.server.drain().await;
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.batch_task.abort();
    }
}

fn engine_router(state: &Arc<EngineState>) -> Router {
    Router::new()
        .route("/v1/completions", post(completions::complete))
        .route("/v1/chat/completions", post(completions::chat))
        .route("/requests/{id}/events", get(completions::resume))
        .route("/requests/{id}", delete(completions::cancel))
        .route("/v1/load_lora_adapter", post(orders::load))
        .route("/v1/unload_lora_adapter", post(orders::unload))
        .route("/role", post(orders::change_role))
        .route("/inventory", get(reports::inventory))
        .route("/load", get(reports::load))
        .route("/cache_events", get(reports::cache_events))
        .route("/control/restart", post(reports::restart))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Arc::clone(state))
        .merge(control_router(Arc::clone(state)))
}
