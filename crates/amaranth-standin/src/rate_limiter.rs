//! A rate limiter for appends and loads.

use std::time::Duration;

use amaranth_core::units::EventRate;
use tokio::time::Instant;

/// A token bucket that returns the time until the next token when it is empty.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: EventRate,
    burst: f64,
    tokens: f64,
    last_refill: Instant,
}

impl RateLimiter {
    /// Creates a full bucket with a capacity of `burst` tokens, at least one, that refills at
    /// `rate`.
    pub fn new(rate: EventRate, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            rate,
            burst,
            tokens: burst,
            last_refill: Instant::now(),
        }
    }

    /// Removes one token from the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the bucket is empty.
    pub fn acquire(&mut self) -> Result<(), Duration> {
        let now = Instant::now();
        let elapsed = now.duration_since(self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate.0).min(self.burst);
        self.last_refill = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate.0))
    }
}
