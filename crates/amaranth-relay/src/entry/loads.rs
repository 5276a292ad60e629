//! Loads of adapters that an entry requests from agents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_dispatch::engine_view::{LoadOutcome, LoadRequest};
use amaranth_dispatch::routes::EngineRule;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::EntryCore;
use crate::shared_loads::LoadKey;

/// Options of a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadOptions {
    /// The time for which callers wait for the load.
    pub max_wait: Duration,
    /// Whether the load reads from the weight store.
    pub from_store: bool,
    /// The priority of the call that needs the load, 0 being the most urgent.
    pub priority: u8,
}

impl EntryCore {
    /// Requests a load from the agent of an engine and waits for its outcome.
    ///
    /// Calls that need the same load share one request. A load from the weight store first waits
    /// for a permit of the load limiter.
    pub async fn load(
        self: &Arc<Self>,
        key: LoadKey,
        address: SocketAddr,
        engine: &EngineRule,
        options: LoadOptions,
    ) -> LoadOutcome {
        let request = load_request(&key, engine, options.max_wait);
        let core = Arc::clone(self);
        self.loads
            .wait(key.clone(), || async move {
                if options.from_store {
                    core.load_with_permit(key, address, request, options.priority)
                        .await
                } else {
                    core.request_load(key, address, request).await
                }
            })
            .await
    }

    async fn load_with_permit(
        &self,
        key: LoadKey,
        address: SocketAddr,
        request: LoadRequest,
        priority: u8,
    ) -> LoadOutcome {
        let (permit, granted) = oneshot::channel();
        let max_wait = request.max_wait;
        let ticket = {
            let mut state = self.state();
            let ticket = state.load_limiter.enqueue(priority);
            state.permits.insert(ticket, permit);
            state.grant_permits();
            ticket
        };
        if timeout(max_wait, granted).await.is_err() {
            let mut state = self.state();
            state.permits.remove(&ticket);
            if state.load_limiter.cancel(ticket) {
                return LoadOutcome::TimedOut;
            }
        }
        let started = self.now();
        let outcome = self.request_load(key, address, request).await;
        let now = self.now();
        let load_time = (outcome == LoadOutcome::Held).then(|| now.since(started));
        let mut state = self.state();
        state.load_limiter.finish(now, load_time);
        state.grant_permits();
        outcome
    }
    async fn request_load(
        &self,
        key: LoadKey,
        address: SocketAddr,
        request: LoadRequest,
    ) -> LoadOutcome {
        let adapter = requested_adapter(&key);
        if let Some(adapter) = &adapter {
            self.state()
                .endpoints
                .begin_load(&key.endpoint, adapter.clone());
        }
        let usage = self
            .state()
            .endpoints
            .take_usage(&self.options.name, &key.endpoint);
        let agent = self.agent_address(address);
        let started = self.now();
        let answer = self.agents.prepare(agent, usage, request).await;
        let took = self.now().since(started);
        if let Some(adapter) = &adapter {
            self.state().endpoints.end_load(&key.endpoint, adapter);
        }
        metrics::histogram!("amaranth_load_wait_seconds").record(took.as_secs_f64());
        let outcome = answer.unwrap_or_else(|error| {
            log::warn!("event=agent_silent endpoint={} error={error}", key.endpoint);
            self.state()
                .endpoints
                .clear_view(&key.endpoint, error.failure);
            LoadOutcome::Unavailable
        });
        log::info!(
            "event=load endpoint={} adapter={} version={} outcome={outcome} took_ms={}",
            key.endpoint,
            key.adapter.as_ref().map_or("-", |adapter| adapter.as_str()),
            key.version.unwrap_or(0),
            took.as_millis()
        );
        if outcome == LoadOutcome::Held
            && let Some(adapter) = adapter
            && let Some(state) = self.state().endpoints.get_mut(&key.endpoint)
        {
            state.record_held(adapter);
        }
        self.notify_change();
        outcome
    }
}

fn requested_adapter(key: &LoadKey) -> Option<amaranth_dispatch::engine_view::HeldAdapter> {
    Some(amaranth_dispatch::engine_view::HeldAdapter {
        model: key.model.clone(),
        name: key.adapter.clone()?,
        version: key.version.unwrap_or(0),
    })
}

fn load_request(key: &LoadKey, engine: &EngineRule, max_wait: Duration) -> LoadRequest {
    let model = engine.models.iter().find(|model| model.name == key.model);
    let needed = model.map_or(f64::INFINITY, |model| {
        model.weights_mb + model.adapter_mb * f64::from(engine.adapter_slots)
    });
    LoadRequest {
        endpoint: key.endpoint.clone(),
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        version: key.version,
        adapter_slots: engine.adapter_slots,
        fits_memory: needed <= engine.memory_mb,
        max_wait,
    }
}
