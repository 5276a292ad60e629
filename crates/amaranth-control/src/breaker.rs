//! A circuit breaker for one endpoint.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// When a breaker opens and how long it stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerOptions {
    /// Failures in a row that open it.
    pub failures: u32,
    /// How long it stays open the first time.
    pub shortest_pause: Duration,
    /// How long it stays open at most; each failed probe doubles the pause up to here.
    pub longest_pause: Duration,
    /// How long a probe may take before another one may try.
    pub probe_timeout: Duration,
}

impl Default for BreakerOptions {
    fn default() -> Self {
        Self {
            failures: 5,
            shortest_pause: Duration::from_millis(500),
            longest_pause: Duration::from_secs(10),
            probe_timeout: Duration::from_secs(5),
        }
    }
}

/// The state of a breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakerState {
    /// Calls pass; `failures` of them failed in a row.
    Closed { failures: u32 },
    /// No call passes until a moment.
    Open { until: Timestamp, pause: Duration },
    /// One call passes as a probe; others follow if it does not end in time.
    HalfOpen {
        probe_until: Timestamp,
        pause: Duration,
    },
}

/// Leave to make one call, to be returned with its outcome.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the outcome of the call decides the state of the breaker"]
pub struct BreakerPass {
    opened: u64,
}

/// How a call ended, as far as the endpoint's health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The endpoint answered, be it with a refusal.
    Answered,
    /// It did not answer or broke off.
    Failed,
    /// The call ended for a reason that says nothing of the endpoint, such as a caller that left.
    Inconclusive,
}

/// Keeps calls away from an endpoint that fails.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    options: BreakerOptions,
    state: BreakerState,
    /// Counts how often the breaker opened, so that outcomes of older calls don't count.
    opened: u64,
}

impl CircuitBreaker {
    /// Opens a breaker that lets calls pass.
    pub const fn open(options: BreakerOptions) -> Self {
        Self {
            options,
            state: BreakerState::Closed { failures: 0 },
            opened: 0,
        }
    }

    /// Returns whether a call would pass now.
    pub fn would_pass(&self, now: Timestamp) -> bool {
        match self.state {
            BreakerState::Closed { .. } => true,
            BreakerState::Open { until, .. } => now >= until,
            BreakerState::HalfOpen { probe_until, .. } => now >= probe_until,
        }
    }

    /// Takes leave for one call. After a pause, the first one is the probe.
    pub fn pass(&mut self, now: Timestamp) -> Option<BreakerPass> {
        if !self.would_pass(now) {
            return None;
        }
        if let BreakerState::Open { pause, .. } | BreakerState::HalfOpen { pause, .. } = self.state
        {
            self.state = BreakerState::HalfOpen {
                probe_until: now + self.options.probe_timeout,
                pause,
            };
        }
        Some(BreakerPass {
            opened: self.opened,
        })
    }

    /// Takes the outcome of a call that passed.
    pub fn settle(&mut self, now: Timestamp, pass: BreakerPass, outcome: CallOutcome) {
        // A call that passed before the breaker last opened says nothing of the endpoint now.
        if pass.opened != self.opened {
            return;
        }
        match (self.state, outcome) {
            (BreakerState::Closed { .. }, CallOutcome::Answered) => {
                self.state = BreakerState::Closed { failures: 0 };
            }
            (BreakerState::Closed { failures }, CallOutcome::Failed) => {
                self.count_failure(now, failures + 1);
            }
            (BreakerState::HalfOpen { .. }, CallOutcome::Answered) => {
                self.state = BreakerState::Closed { failures: 0 };
            }
            (BreakerState::HalfOpen { pause, .. }, CallOutcome::Failed) => {
                let longest = self.options.longest_pause;
                self.open_until(now, pause.saturating_mul(2).min(longest));
            }
            // The next call probes in place of the one that proved nothing.
            (BreakerState::HalfOpen { pause, .. }, CallOutcome::Inconclusive) => {
                self.state = BreakerState::Open { until: now, pause };
            }
            (BreakerState::Closed { .. }, CallOutcome::Inconclusive)
            | (BreakerState::Open { .. }, _) => {}
        }
    }

    fn count_failure(&mut self, now: Timestamp, failures: u32) {
        if failures < self.options.failures {
            self.state = BreakerState::Closed { failures };
        } else {
            self.open_until(now, self.options.shortest_pause);
        }
    }

    fn open_until(&mut self, now: Timestamp, pause: Duration) {
        self.opened += 1;
        self.state = BreakerState::Open {
            until: now + pause,
            pause,
        };
    }
}
