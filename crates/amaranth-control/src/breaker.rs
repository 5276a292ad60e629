//! A circuit breaker for one endpoint.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// Thresholds and times of a [`CircuitBreaker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerOptions {
    /// Number of consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// Time for which the breaker stays open the first time.
    pub initial_open_time: Duration,
    /// Longest time for which the breaker stays open. Each failed probe doubles the open time up
    /// to this limit.
    pub max_open_time: Duration,
    /// Time after which an unfinished probe no longer blocks the next one.
    pub probe_timeout: Duration,
}

impl Default for BreakerOptions {
    fn default() -> Self {
        Self {
            failure_threshold: 5,
            initial_open_time: Duration::from_millis(500),
            max_open_time: Duration::from_secs(10),
            probe_timeout: Duration::from_secs(5),
        }
    }
}

/// The state of a breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakerState {
    /// Calls are permitted; the last `failures` calls failed.
    Closed { failures: u32 },
    /// No call is permitted before `until`.
    Open {
        until: Timestamp,
        open_time: Duration,
    },
    /// One call is permitted as a probe, and another one if the probe has not ended by
    /// `probe_until`.
    HalfOpen {
        probe_until: Timestamp,
        open_time: Duration,
    },
}

/// A permit for one call, to be returned with the outcome of the call.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the outcome of the call decides the state of the breaker"]
pub struct CallPermit {
    open_count: u64,
}

/// The outcome of a call with regard to the health of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The endpoint answered; a refusal counts as an answer.
    Answered,
    /// The endpoint did not answer, or its answer ended early.
    Failed,
    /// The call ended for a reason unrelated to the endpoint, such as a caller that disconnected.
    Inconclusive,
}

/// A circuit breaker that refuses calls to a failing endpoint for a time.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    options: BreakerOptions,
    state: BreakerState,
    /// Number of times the breaker opened, so that outcomes of older calls are ignored.
    open_count: u64,
}

impl CircuitBreaker {
    /// Creates a closed breaker, which permits calls.
    pub const fn new(options: BreakerOptions) -> Self {
        Self {
            options,
            state: BreakerState::Closed { failures: 0 },
            open_count: 0,
        }
    }

    /// Returns whether a call is permitted at `now`.
    pub fn is_call_permitted(&self, now: Timestamp) -> bool {
        match self.state {
            BreakerState::Closed { .. } => true,
            BreakerState::Open { until, .. } => now >= until,
            BreakerState::HalfOpen { probe_until, .. } => now >= probe_until,
        }
    }

    /// Acquires a permit for one call, or returns `None` if no call is permitted.
    ///
    /// The first call after the open time is the probe.
    pub fn acquire(&mut self, now: Timestamp) -> Option<CallPermit> {
        if !self.is_call_permitted(now) {
            return None;
        }
        if let BreakerState::Open { open_time, .. } | BreakerState::HalfOpen { open_time, .. } =
            self.state
        {
            self.state = BreakerState::HalfOpen {
                probe_until: now + self.options.probe_timeout,
                open_time,
            };
        }
        Some(CallPermit {
            open_count: self.open_count,
        })
    }

    /// Records the outcome of a call and returns its permit.
    pub fn record_outcome(&mut self, now: Timestamp, permit: CallPermit, outcome: CallOutcome) {
        // The outcome of a call from before the breaker last opened may be outdated.
        if permit.open_count != self.open_count {
            return;
        }
        match (self.state, outcome) {
            (BreakerState::Closed { .. }, CallOutcome::Answered) => {
                self.state = BreakerState::Closed { failures: 0 };
            }
            (BreakerState::Closed { failures }, CallOutcome::Failed) => {
                self.set_failures(now, failures + 1);
            }
            (BreakerState::HalfOpen { .. }, CallOutcome::Answered) => {
                self.state = BreakerState::Closed { failures: 0 };
            }
            (BreakerState::HalfOpen { open_time, .. }, CallOutcome::Failed) => {
                let max_open_time = self.options.max_open_time;
                self.open(now, open_time.saturating_mul(2).min(max_open_time));
            }
            // The probe was inconclusive, so the next call probes again.
            (BreakerState::HalfOpen { open_time, .. }, CallOutcome::Inconclusive) => {
                self.state = BreakerState::Open {
                    until: now,
                    open_time,
                };
            }
            (BreakerState::Closed { .. }, CallOutcome::Inconclusive)
            | (BreakerState::Open { .. }, _) => {}
        }
    }

    /// Sets the number of consecutive failures of a closed breaker, and opens it at the threshold.
    fn set_failures(&mut self, now: Timestamp, failures: u32) {
        if failures < self.options.failure_threshold {
            self.state = BreakerState::Closed { failures };
        } else {
            self.open(now, self.options.initial_open_time);
        }
    }

    fn open(&mut self, now: Timestamp, open_time: Duration) {
        self.open_count += 1;
        self.state = BreakerState::Open {
            until: now + open_time,
            open_time,
        };
    }
}
