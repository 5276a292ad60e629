//! Loads that calls wait for. Calls that need the same adapter at the same engine share a load.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use amaranth_dispatch::engine_view::LoadOutcome;
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};

/// Identifies the load of a model or an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LoadKey {
    /// The engine.
    pub endpoint: EndpointId,
    /// The model.
    pub model: ModelName,
    /// The adapter, or `None` for the model's weights.
    pub adapter: Option<AdapterName>,
    /// The required version of the adapter, if one is known.
    pub version: Option<u64>,
}

type SharedLoad = Shared<BoxFuture<'static, LoadOutcome>>;

/// The loads in progress, by key.
#[derive(Debug, Default, Clone)]
pub struct SharedLoads {
    loads: Arc<Mutex<HashMap<LoadKey, SharedLoad>>>,
}

impl SharedLoads {
    /// Waits for a load, and starts it with `load` unless it is already in progress.
    ///
    /// The load continues if the caller that started it disconnects.
    pub async fn wait<Load>(&self, key: LoadKey, load: impl FnOnce() -> Load) -> LoadOutcome
    where
        Load: Future<Output = LoadOutcome> + Send + 'static,
    {
        let shared = {
            let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
            match loads.get(&key) {
                Some(shared) => shared.clone(),
                None => {
                    let shared = self.spawn(key.clone(), load());
                    loads.insert(key, shared.clone());
                    shared
                }
            }
        };
        shared.await
    }

    fn spawn(
        &self,
        key: LoadKey,
        load: impl Future<Output = LoadOutcome> + Send + 'static,
    ) -> SharedLoad {
        let loads = Arc::clone(&self.loads);
        let task = tokio::spawn(async move {
            let outcome = load.await;
            loads
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .remove(&key);
            outcome
        });
        async move { task.await.unwrap_or(LoadOutcome::Unavailable) }
            .boxed()
            .shared()
    }
}
