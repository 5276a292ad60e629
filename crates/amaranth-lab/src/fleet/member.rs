//! A process of a fleet that can be drained, killed and restarted.

use std::io;
use std::net::{SocketAddr, TcpListener};

/// A process of a fleet, running or not, with the settings from which it is started.
pub struct FleetMember<Settings, Process> {
    settings: Settings,
    process: Option<Process>,
}

impl<Settings: Clone, Process> FleetMember<Settings, Process> {
    /// Creates a member with a running process.
    pub const fn running(settings: Settings, process: Process) -> Self {
        Self {
            settings,
            process: Some(process),
        }
    }

    /// Returns the process if it is running.
    pub const fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Returns the settings of the process.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Removes the running process from the member, so that it can be drained or killed.
    pub const fn take_process(&mut self) -> Option<Process> {
        self.process.take()
    }

    /// Sets the running process after a restart.
    pub fn set_process(&mut self, process: Process) {
        self.process = Some(process);
    }
}

/// Returns the loopback address with port 0, for which the operating system assigns a port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address whose port is free now, for a process that needs its address before
/// it starts.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind(any_port())?.local_addr()
}
