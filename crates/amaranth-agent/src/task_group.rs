//! Groups of tasks that are stopped together.

use std::future::Future;

use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

/// A group of spawned tasks, which all end when the group is stopped.
#[derive(Debug, Clone)]
pub struct TaskGroup {
    runtime: Handle,
    stop: CancellationToken,
}

impl TaskGroup {
    /// Creates a group on the caller's runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a runtime.
    pub fn current() -> Self {
        Self {
            runtime: Handle::current(),
            stop: CancellationToken::new(),
        }
    }

    /// Returns a group on another runtime that is stopped together with this one.
    #[must_use]
    pub fn on_runtime(&self, runtime: &Handle) -> Self {
        Self {
            runtime: runtime.clone(),
            stop: self.stop.clone(),
        }
    }

    /// Spawns a task of the group.
    pub fn spawn<Work>(&self, work: Work)
    where
        Work: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.runtime.spawn(async move {
            stop.run_until_cancelled_owned(work).await;
        });
    }

    /// Stops every task of the group at its next await.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}
