//! A monotonic clock that also counts the time for which the VM is suspended.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that counts from its creation.
///
/// The usual monotonic clock stops while a VM is suspended, but callers' deadlines do not.
#[derive(Debug, Clone, Copy)]
pub struct SuspendClock {
    origin: Duration,
}

impl SuspendClock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + since_boot().saturating_sub(self.origin)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
