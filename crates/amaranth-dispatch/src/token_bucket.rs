//! A bucket of tokens that refills at a rate, which limits on calls and quotas share.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// A bucket of tokens that refills at a rate up to its capacity.
///
/// The level may be negative: a bucket in debt grants nothing until it has refilled. The bucket also
/// counts what was denied and is expected to be asked for again, so that denied askers can be told
/// to come back one after another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    denied: f64,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket with a rate in tokens a second, a capacity and a level.
    pub const fn new(now: Timestamp, rate: f64, capacity: f64, level: f64) -> Self {
        Self {
            rate,
            capacity,
            level,
            denied: 0.0,
            updated_at: now,
        }
    }

    /// Returns the number of tokens, which is negative in debt.
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns the time of the last refill.
    pub const fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// Sets the rate and the capacity that count from the last refill on.
    pub const fn set_rate(&mut self, rate: f64, capacity: f64) {
        self.rate = rate;
        self.capacity = capacity;
    }

    /// Adds the tokens of the time since the last refill, up to the capacity.
    pub fn refill(&mut self, now: Timestamp) {
        self.refill_below(now, self.capacity);
    }

    /// Adds the tokens of the time since the last refill, up to `limit`.
    pub fn refill_below(&mut self, now: Timestamp, limit: f64) {
        let refilled = now.since(self.updated_at).as_secs_f64() * self.rate;
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + refilled).min(limit);
        self.denied = (self.denied - refilled).max(0.0);
    }

    /// Removes tokens, also more than there are.
    pub fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Counts `tokens` as denied. Returns the time until the bucket has refilled by `missing` and by
    /// what was denied before.
    pub fn deny(&mut self, missing: f64, tokens: f64) -> Duration {
        let ahead = missing + self.denied;
        self.denied += tokens;
        Duration::try_from_secs_f64(ahead / self.rate).unwrap_or(Duration::MAX)
    }

    /// Returns the number of denied tokens that the bucket has not refilled since.
    pub const fn denied(&self) -> f64 {
        self.denied
    }
}
