//! The decision whether an endpoint is left alone, for each of the reasons to do so.
//!
//! An endpoint that leaves gets no new call until it restarts. One that asked for a pause gets none
//! until the pause is over. One that states a limit on calls gets them only by permit, and none until
//! the next permit may be asked for. One that failed repeatedly is ejected: it gets calls only where no other
//! endpoint can serve them.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use crate::call_limiter::CallRate;

/// Number of consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 2;

/// Duration of an endpoint's first ejection; doubled with each further one.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Longest pause that an endpoint may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// Weight of the newest outcome in an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Whether an endpoint gets new calls at some moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStanding {
    /// The endpoint gets new calls.
    Accepting,
    /// The endpoint failed repeatedly and gets new calls only as a last resort.
    Ejected,
    /// The endpoint asked for a pause and gets no new calls before this time.
    Paused(Timestamp),
    /// The endpoint leaves and gets no new calls.
    Leaving,
}

/// The limit on calls that an endpoint stated.
#[derive(Debug, Clone, Copy)]
struct StatedLimit {
    rate: CallRate,
    stated_at: Timestamp,
}

/// The health of one incarnation of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    leaving: bool,
    paused_until: Timestamp,
    limit: Option<StatedLimit>,
    closed_until: Timestamp,
    ejected_until: Timestamp,
    ejection_time: Duration,
    consecutive_failures: u32,
    failure_rate: f64,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            leaving: false,
            paused_until: Timestamp::ZERO,
            limit: None,
            closed_until: Timestamp::ZERO,
            ejected_until: Timestamp::ZERO,
            ejection_time: MIN_EJECTION_TIME,
            consecutive_failures: 0,
            failure_rate: 0.0,
        }
    }
}

impl EndpointHealth {
    /// Returns whether the endpoint gets new calls at `now`.
    pub fn standing(&self, now: Timestamp) -> EndpointStanding {
        if self.leaving {
            EndpointStanding::Leaving
        } else if now < self.paused_until {
            EndpointStanding::Paused(self.paused_until)
        } else if now < self.ejected_until {
            EndpointStanding::Ejected
        } else {
            EndpointStanding::Accepting
        }
    }

    /// Returns whether the endpoint leaves.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the fraction of recent calls that failed, from 0 to 1.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records that the endpoint leaves. Returns whether that is new.
    pub const fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that the endpoint asked at `now` for a pause. A shorter pause does not end a longer
    /// one early.
    pub fn record_pause(&mut self, now: Timestamp, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
    }

    /// Returns the limit on the rate of calls that the endpoint states for all entries together.
    pub fn limit(&self) -> Option<CallRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Records the limit in an answer that arrived at `now`, to a call that was sent at `sent_at`. An
    /// answer without a limit ends one that was known when its call was sent.
    pub fn record_limit(&mut self, now: Timestamp, sent_at: Timestamp, stated: Option<CallRate>) {
        match (stated, self.limit) {
            (Some(rate), None) => {
                self.limit = Some(StatedLimit {
                    rate,
                    stated_at: now,
                });
            }
            (Some(rate), Some(_)) => {
                self.limit = self.limit.map(|limit| StatedLimit { rate, ..limit });
            }
            (None, Some(limit)) if limit.stated_at <= sent_at => {
                self.limit = None;
                self.closed_until = Timestamp::ZERO;
            }
            (None, _) => {}
        }
    }

    /// Records that no permit for a call may be asked for before `wait` is over.
    pub fn record_denied(&mut self, now: Timestamp, wait: Duration) {
        self.closed_until = self.closed_until.max(now + wait);
    }

    /// Returns when the next permit may be asked for, if the endpoint is closed at `now`.
    pub fn closed_until(&self, now: Timestamp) -> Option<Timestamp> {
        (self.limit.is_some() && now < self.closed_until).then_some(self.closed_until)
    }

    /// Records that a call failed at the endpoint.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.consecutive_failures += 1;
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.ejected_until = now + self.ejection_time;
            self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION_TIME);
            self.consecutive_failures = 0;
        }
    }

    /// Records that the endpoint answered a call successfully.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejection_time = MIN_EJECTION_TIME;
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
    }
}
