//! The shutdown signals of the operating system.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A listener for SIGTERM and SIGINT.
#[derive(Debug)]
pub struct ShutdownSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignal {
    /// Installs the signal handlers. From then on the signals no longer terminate the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the handlers can't be installed.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal and returns its name.
    pub async fn wait(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
