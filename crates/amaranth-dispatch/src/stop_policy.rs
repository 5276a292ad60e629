//! Which calls a stopping entry still takes.
//!
//! Answers the planned restart of all entries in turn, where the pause between two is shorter than
//! a stop: while the others are stopping or down too, the balancer still sends calls here, and
//! whoever can be served before the end is served. All others are told at once to come back.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// Time of one generated token, with room for a busy engine.
const TOKEN_TIME: Duration = Duration::from_millis(12);

/// Time after the request to stop in which calls that turn out longer than expected are excused.
/// The balancer needs about as long to send callers elsewhere.
const EARLY_TIME: Duration = Duration::from_millis(2_500);

/// Factor of the expected time within which most calls end.
const EARLY_SAFETY: f64 = 1.6;

/// Objectives of a call within which it ends also at a slow endpoint.
const LATE_OBJECTIVES: u32 = 4;

/// Time for which a process is away when it starts again.
pub const RESTART_TIME: Duration = Duration::from_millis(1_200);

/// When an entry was asked to stop, and when it has to have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPolicy {
    asked_at: Timestamp,
    last_end: Timestamp,
}

/// What a call is expected to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedCall {
    /// The objective of its route.
    pub objective: Duration,
    /// Tokens that it is expected to generate, if it is a generation. Hints are often far off.
    pub tokens: Option<u32>,
}

impl StopPolicy {
    /// Opens the policy of a process that was asked to stop and is killed after `grace`.
    pub fn open(asked_at: Timestamp, grace: Duration) -> Self {
        Self {
            asked_at,
            last_end: asked_at + grace,
        }
    }

    /// Returns when the process was asked to stop.
    pub const fn asked_at(&self) -> Timestamp {
        self.asked_at
    }

    /// Returns whether a call that arrives now ends in time. What a generation takes is known only
    /// when it has ended, so none is taken once the balancer has had time to send callers elsewhere.
    pub fn takes(&self, now: Timestamp, call: ExpectedCall) -> bool {
        let early = now.since(self.asked_at) < EARLY_TIME;
        let expected = match call.tokens {
            Some(tokens) if early => (call.objective + TOKEN_TIME * tokens).mul_f64(EARLY_SAFETY),
            Some(_) => return false,
            None => call.objective * LATE_OBJECTIVES,
        };
        now + expected < self.last_end
    }

    /// Returns when a caller that is not served may come back: when the process has started again.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        self.last_end.since(now) / 2 + RESTART_TIME
    }
}
