//! Admission of calls by an entry that is stopping.
//!
//! During a rolling restart of all entries the pause between two may be shorter than a stop. The
//! balancer then still sends calls to a stopping entry, because the others are stopping or down
//! too. The entry accepts the calls that end before it does, and refuses all others at once with a
//! delay after which to retry.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use crate::answer_pace::{RoutePace, expected_time};

/// Time after the stop request in which generations are accepted, because the balancer needs about
/// this long to send callers elsewhere. It is tolerated that a generation accepted then takes
/// longer than expected.
const EARLY_TIME: Duration = Duration::from_millis(2_500);

/// Multiple of the usual time of a route within which most of its generations end.
const EARLY_SAFETY: f64 = 1.6;

/// Multiple of the slowest call of a route within which its next call ends.
const LATE_SAFETY: f64 = 1.25;

/// Shortest time within which a call ends at a slow endpoint, in multiples of its objective.
const LATE_OBJECTIVES: u32 = 4;

/// Part of the grace period in which the calls that have not ended are answered.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// Time for which a process is unavailable while it restarts.
pub const RESTART_TIME: Duration = Duration::from_millis(1_200);

/// Admission policy of an entry after a stop request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPolicy {
    requested_at: Timestamp,
    deadline: Timestamp,
}

/// The expected duration of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedCall {
    /// The objective of the call's route.
    pub objective: Duration,
    /// The number of tokens that the call is expected to generate, if it is a generation. Callers'
    /// hints are often far off.
    pub tokens: Option<u32>,
    /// The time until the call is answered in any case: the caller's deadline or the route's timeout.
    pub time_left: Duration,
    /// The pace of the route's recent calls, if it is known.
    pub pace: Option<RoutePace>,
}

impl ExpectedCall {
    /// Returns the time within which a call ends even at a slow endpoint.
    fn slowest_time(&self) -> Option<Duration> {
        let pace = self.pace?.slowest;
        let slowest = pace.time_of(self.objective).mul_f64(LATE_SAFETY);
        Some(slowest.max(self.objective * LATE_OBJECTIVES))
    }

    /// Returns the time within which most generations of this kind end.
    fn usual_time(&self) -> Option<Duration> {
        let expected = expected_time(self.objective, self.tokens);
        let usual = self.pace?.usual.time_of(expected);
        Some(usual.max(expected).mul_f64(EARLY_SAFETY))
    }
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

    /// Returns the time at which the calls that have not ended have to be answered.
    pub fn answers_due_at(&self) -> Timestamp {
        let grace = self.deadline.since(self.requested_at);
        self.requested_at + (grace - ANSWER_RESERVE.min(grace / 2))
    }

    /// Returns whether a call that is not sent yet ends in time.
    ///
    /// A call whose deadline lies within the grace period does. Of another one only the route's recent
    /// calls tell how long it takes. How long a generation takes is known only when it has ended, so
    /// none of these is accepted once the balancer has had time to send callers elsewhere.
    pub fn accepts(&self, now: Timestamp, call: ExpectedCall) -> bool {
        let due_at = self.answers_due_at();
        if now + call.time_left <= due_at {
            return true;
        }
        let early = now.since(self.requested_at) < EARLY_TIME;
        let longest = match call.tokens {
            Some(_) if early => call.usual_time(),
            Some(_) => None,
            None => call.slowest_time(),
        };
        longest.is_some_and(|longest| now + longest < due_at)
    }

    /// Returns the delay after which a refused caller may retry: the process has restarted by then.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        self.deadline.since(now) / 2 + RESTART_TIME
    }
}
