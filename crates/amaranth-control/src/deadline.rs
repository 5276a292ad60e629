//! Deadlines that travel as the time left, since clocks of two processes are never compared.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// The moment on this process's clock at which a caller gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline(Timestamp);

impl RequestDeadline {
    /// Opens a deadline from the time left that a request arrived with.
    pub fn open(now: Timestamp, time_left: Duration) -> Self {
        Self(now + time_left)
    }

    /// Returns the moment.
    pub const fn at(self) -> Timestamp {
        self.0
    }

    /// Returns the time left, zero once the deadline has passed.
    pub const fn time_left(self, now: Timestamp) -> Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn is_past(self, now: Timestamp) -> bool {
        now >= self.0
    }

    /// Returns the time left to state to the next hop, which keeps `margin` for the answer's way
    /// back, or nothing if no time is left for the hop.
    pub fn for_next_hop(self, now: Timestamp, margin: Duration) -> Option<Duration> {
        let left = self.time_left(now).checked_sub(margin)?;
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether work that takes `expected` would end in time.
    pub fn allows(self, now: Timestamp, expected: Duration) -> bool {
        now + expected < self.0
    }
}
