//! A failure detector with a fixed timeout.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Suspects a peer whose last heartbeat is older than a fixed timeout.
#[derive(Debug, Clone)]
pub struct FixedDetector {
    timeout: Duration,
    last_heartbeat: Option<Timestamp>,
}

impl FixedDetector {
    /// Creates a detector with this timeout.
    pub const fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            last_heartbeat: None,
        }
    }
}

impl FailureDetector for FixedDetector {
    fn record_heartbeat(&mut self, now: Timestamp, _sequence: u64) {
        self.last_heartbeat = Some(now);
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        self.last_heartbeat.map(|last| last + self.timeout)
    }
}
