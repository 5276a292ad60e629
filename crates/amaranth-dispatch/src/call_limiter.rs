//! Limits on the rate of calls that endpoints state, which hold for all entries together.
//!
//! One agent grants the permits of an endpoint: the agent beside an engine, and one that all entries
//! select alike for an endpoint without an agent. An entry that knows of a limit sends no call
//! without a permit, so neither the number of entries nor their demand has to be known. An agent
//! that restarts begins with an empty bucket; an entry that can't reach the agent leaves the endpoint
//! alone.

use std::collections::HashMap;
use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::token_bucket::TokenBucket;

/// Time whose permits may be saved up, but at least one permit.
const SAVED_TIME: Duration = Duration::from_millis(250);

/// Longest time after which a refused entry asks again.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Shortest time after which a refused entry asks again.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Rate at which permits are granted at least, since only an answer shows that a limit has ended.
const MIN_CALLS_A_SECOND: f64 = 0.25;

/// Its multiples have fractions that spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_8;

/// Time for which the lowest rate that an entry named is kept. Entries that name a higher one may not
/// have heard of it.
const RATE_HOLD_TIME: Duration = Duration::from_secs(5);

/// Time without a question after which an endpoint's bucket is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// A rate of calls, in calls a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallRate(f64);

/// A text that is no rate of calls.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallRateError {
    /// The text is no decimal number.
    #[error(transparent)]
    NotANumber(#[from] ParseFloatError),
    /// The number is negative or not finite.
    #[error("a rate has to be finite and not negative")]
    OutOfRange,
}

impl CallRate {
    /// Creates a rate from calls a second. Returns `None` unless it is finite and not negative.
    pub fn per_second(calls: f64) -> Option<Self> {
        (calls.is_finite() && calls >= 0.0).then_some(Self(calls))
    }

    /// Returns the number of calls a second.
    pub const fn as_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for CallRate {
    type Err = CallRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        Self::per_second(number.parse()?).ok_or(CallRateError::OutOfRange)
    }
}

/// The answer to an entry that wants to send a call to an endpoint with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallPermit {
    /// The entry may send one call now.
    Granted,
    /// The entry may not send a call, and may ask again after this time.
    Denied(Duration),
}

/// The saved permits of one endpoint.
#[derive(Debug)]
struct PermitBucket {
    rate: CallRate,
    rate_named_at: Timestamp,
    permits: TokenBucket,
}

impl PermitBucket {
    fn new(now: Timestamp, rate: CallRate) -> Self {
        let calls_a_second = calls_a_second(rate);
        Self {
            rate,
            rate_named_at: now,
            permits: TokenBucket::new(now, calls_a_second, most_saved(calls_a_second), 0.0),
        }
    }

    fn update(&mut self, now: Timestamp, rate: CallRate) {
        self.permits.refill(now);
        let is_forgotten = now.since(self.rate_named_at) >= RATE_HOLD_TIME;
        if rate <= self.rate || is_forgotten {
            self.rate = rate;
            self.rate_named_at = now;
            let calls_a_second = calls_a_second(rate);
            self.permits
                .set_rate(calls_a_second, most_saved(calls_a_second));
        }
    }

    fn acquire(&mut self) -> CallPermit {
        if self.permits.level() >= 1.0 {
            self.permits.take(1.0);
            return CallPermit::Granted;
        }
        let missing = 1.0 - self.permits.level();
        let ahead = missing + self.permits.denied();
        let wait = self.permits.deny(missing, 1.0);
        // Entries that ask again sooner than it is their turn must not do so all at once.
        let longest = MAX_WAIT.mul_f64(1.0 - 0.5 * (ahead * GOLDEN_RATIO).fract());
        CallPermit::Denied(wait.clamp(MIN_WAIT, longest))
    }
}

fn calls_a_second(rate: CallRate) -> f64 {
    rate.as_per_second().max(MIN_CALLS_A_SECOND)
}

fn most_saved(calls_a_second: f64) -> f64 {
    (calls_a_second * SAVED_TIME.as_secs_f64()).max(1.0)
}

/// Grants the permits for calls to endpoints with a limit.
#[derive(Debug, Default)]
pub struct CallLimiter {
    buckets: HashMap<EndpointId, PermitBucket>,
}

impl CallLimiter {
    /// Answers an entry that wants to send a call to an endpoint, which stated `rate` to it.
    pub fn acquire(&mut self, now: Timestamp, endpoint: &EndpointId, rate: CallRate) -> CallPermit {
        if !self.buckets.contains_key(endpoint) {
            self.buckets
                .retain(|_, bucket| now.since(bucket.permits.updated_at()) < IDLE_TIME);
            self.buckets
                .insert(endpoint.clone(), PermitBucket::new(now, rate));
        }
        let Some(bucket) = self.buckets.get_mut(endpoint) else {
            return CallPermit::Denied(MAX_WAIT);
        };
        bucket.update(now, rate);
        bucket.acquire()
    }
}

/// Returns the engine whose agent grants the permits of an endpoint that has no agent. Entries that
/// know the same engines select the same one.
pub fn permit_grantor<'a>(
    endpoint: &EndpointId,
    engines: impl Iterator<Item = &'a EndpointId>,
) -> Option<&'a EndpointId> {
    let seed = hash64(0, endpoint.as_str().as_bytes());
    engines.max_by_key(|engine| hash64(seed, engine.as_str().as_bytes()))
}
