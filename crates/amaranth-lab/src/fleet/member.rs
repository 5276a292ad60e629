//! One process of a fleet that can be stopped, killed and started again.

use std::io;
use std::net::{SocketAddr, TcpListener};

/// A process with the settings that it is started from.
pub struct FleetMember<Settings, Process> {
    settings: Settings,
    process: Option<Process>,
}

impl<Settings: Clone, Process> FleetMember<Settings, Process> {
    /// Creates a member that runs.
    pub const fn running(settings: Settings, process: Process) -> Self {
        Self {
            settings,
            process: Some(process),
        }
    }

    /// Returns the process, if it runs.
    pub const fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes the process out, so that it can be drained or killed.
    pub const fn take(&mut self) -> Option<Process> {
        self.process.take()
    }

    /// Puts a new process in.
    pub fn put(&mut self, process: Process) {
        self.process = Some(process);
    }
}

/// Returns the loopback address with a port that the operating system picks.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address whose port is free now, for a process that must know it beforehand.
///
/// # Errors
///
/// Returns an error when no port is free.
pub fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind(any_port())?.local_addr()
}
