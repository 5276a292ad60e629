//! Request deadlines.
//!
//! Processes send each other the time left instead of a point in time, since their clocks are not
//! comparable.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// The time on this process's clock at which the caller of a request stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline(Timestamp);

impl RequestDeadline {
    /// Creates the deadline of a request that arrived at `now` with `time_left`.
    pub fn new(now: Timestamp, time_left: Duration) -> Self {
        Self(now + time_left)
    }

    /// Returns the time of the deadline.
    pub const fn at(self) -> Timestamp {
        self.0
    }

    /// Returns the time left, which is zero once the deadline has passed.
    pub const fn time_left(self, now: Timestamp) -> Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn is_past(self, now: Timestamp) -> bool {
        now >= self.0
    }

    /// Returns the time left to send to the next hop, or `None` if none is left.
    ///
    /// `margin` is reserved for the return of the answer.
    pub fn for_next_hop(self, now: Timestamp, margin: Duration) -> Option<Duration> {
        let time_left = self.time_left(now).checked_sub(margin)?;
        (!time_left.is_zero()).then_some(time_left)
    }

    /// Returns whether work that takes `expected` would end before the deadline.
    pub fn allows(self, now: Timestamp, expected: Duration) -> bool {
        now + expected < self.0
    }
}
