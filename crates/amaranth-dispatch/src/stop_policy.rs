//! Admission of calls by an entry that is stopping.
//!
//! During a rolling restart of all entries the pause between two may be shorter than a stop. The
//! balancer then still sends calls to a stopping entry, because the others are stopping or down
//! too. The entry accepts the calls that end before it does, and refuses all others at once with a
//! delay after which to retry.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// Time per generated token, with a margin for a busy engine.
const TOKEN_TIME: Duration = Duration::from_millis(12);

/// Time after the stop request in which generations are accepted, because the balancer needs about
/// this long to send callers elsewhere. It is tolerated that a generation accepted then takes
/// longer than expected.
const EARLY_TIME: Duration = Duration::from_millis(2_500);

/// Multiple of the expected time within which most generations end.
const EARLY_SAFETY: f64 = 1.6;

/// Time within which a call ends even at a slow endpoint, in multiples of its objective.
const LATE_OBJECTIVES: u32 = 4;

/// Time for which a process is unavailable while it restarts.
pub const RESTART_TIME: Duration = Duration::from_millis(1_200);

/// Admission policy of an entry after a stop request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPolicy {
    requested_at: Timestamp,
    deadline: Timestamp,
}

/// The expected duration of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedCall {
    /// The objective of the call's route.
    pub objective: Duration,
    /// The number of tokens that the call is expected to generate, if it is a generation. Callers'
    /// hints are often far off.
    pub tokens: Option<u32>,
}

impl StopPolicy {
    /// Creates the policy of a process that is killed `grace` after the stop request.
    pub fn new(requested_at: Timestamp, grace: Duration) -> Self {
        Self {
            requested_at,
            deadline: requested_at + grace,
        }
    }

    /// Returns the time of the stop request.
    pub const fn requested_at(&self) -> Timestamp {
        self.requested_at
    }

    /// Returns whether a call that arrives now ends in time. How long a generation takes is known
    /// only when it has ended, so none is accepted once the balancer has had time to send callers
    /// elsewhere.
    pub fn accepts(&self, now: Timestamp, call: ExpectedCall) -> bool {
        let early = now.since(self.requested_at) < EARLY_TIME;
        let expected = match call.tokens {
            Some(tokens) if early => (call.objective + TOKEN_TIME * tokens).mul_f64(EARLY_SAFETY),
            Some(_) => return false,
            None => call.objective * LATE_OBJECTIVES,
        };
        now + expected < self.deadline
    }

    /// Returns the delay after which a refused caller may retry: the process has restarted by then.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        self.deadline.since(now) / 2 + RESTART_TIME
    }
}
