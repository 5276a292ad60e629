//! Loads that calls wait for. Calls that need the same adapter at the same engine share one.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use amaranth_dispatch::engine_view::LoadOutcome;
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};

/// What is being loaded where.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LoadKey {
    /// The engine.
    pub endpoint: EndpointId,
    /// The model.
    pub model: ModelName,
    /// The adapter; none stands for the model's weights.
    pub adapter: Option<AdapterName>,
    /// The version that is needed, if one was named.
    pub version: Option<u64>,
}

type SharedLoad = Shared<BoxFuture<'static, LoadOutcome>>;

/// The loads under way.
#[derive(Debug, Default, Clone)]
pub struct LoadWaits {
    loads: Arc<Mutex<HashMap<LoadKey, SharedLoad>>>,
}

impl LoadWaits {
    /// Waits for a load; starts it with `load` unless it is under way.
    ///
    /// The load goes on if the caller that started it leaves.
    pub async fn wait<Load>(&self, key: LoadKey, load: impl FnOnce() -> Load) -> LoadOutcome
    where
        Load: Future<Output = LoadOutcome> + Send + 'static,
    {
        let shared = {
            let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
            match loads.get(&key) {
                Some(shared) => shared.clone(),
                None => {
                    let shared = self.start(key.clone(), load());
                    loads.insert(key, shared.clone());
                    shared
                }
            }
        };
        shared.await
    }

    fn start(
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
