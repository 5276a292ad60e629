//! The thread on which the control tasks of all endpoints run.

use std::io;

use tokio::runtime::{Builder, Handle};
use tokio_util::sync::CancellationToken;

/// The runtime of the control tasks: that of a dedicated thread, or the caller's.
#[derive(Debug)]
pub struct ControlThread {
    runtime: Handle,
    stop: CancellationToken,
}

impl ControlThread {
    /// Spawns a thread, which ends when the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread or its runtime can't be created.
    pub fn spawn(name: &str) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || runtime.block_on(stopped.cancelled()))?;
        Ok(Self {
            runtime: handle,
            stop,
        })
    }

    /// Returns a handle of the caller's runtime, whose time tests can pause.
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

    /// Returns the runtime on which control tasks are spawned.
    pub const fn runtime(&self) -> &Handle {
        &self.runtime
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
