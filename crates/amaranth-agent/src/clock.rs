//! The agent's clock, which supplies the time of every decision.

use amaranth_core::time::Timestamp;
use tokio::time::Instant;

/// A monotonic clock on tokio's time, which tests can pause.
#[derive(Debug, Clone, Copy)]
pub struct AgentClock {
    origin: Instant,
}

impl AgentClock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Returns the instant of `time` on tokio's clock.
    pub fn instant(&self, time: Timestamp) -> Instant {
        self.origin + time.since(Timestamp::ZERO)
    }
}
