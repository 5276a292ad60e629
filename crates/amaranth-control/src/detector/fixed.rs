//! A fixed timeout.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Suspects a peer after a fixed silence.
#[derive(Debug, Clone)]
pub struct FixedDetector {
    timeout: Duration,
    last: Option<Timestamp>,
}

impl FixedDetector {
    /// Opens a detector with this timeout.
    pub const fn open(timeout: Duration) -> Self {
        Self {
            timeout,
            last: None,
        }
    }
}

impl FailureDetector for FixedDetector {
    fn heard(&mut self, now: Timestamp, _sequence: u64) {
        self.last = Some(now);
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        self.last.map(|last| last + self.timeout)
    }
}
